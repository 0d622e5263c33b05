package serve

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/choice"
	"swiftcourse/internal/life"
)

// reach tells how far an attempt had come when it ended.
type reach uint8

const (
	unsent   reach = iota // nothing left this server: it never ran
	sent                  // it left, and the connection broke before the answer
	maybeRun              // it left, and the other side had its time to run it
)

// attemptError is the end of an attempt without an answer.
type attemptError struct {
	reach reach
	cause error
}

func (e *attemptError) Error() string {
	if e.cause == nil {
		return "the other side closed the connection"
	}
	return e.cause.Error()
}

func (e *attemptError) Unwrap() error { return e.cause }

// outcome is what the module hears of a call that ended so.
func (e *attemptError) outcome() choice.Outcome {
	switch e.reach {
	case unsent:
		return choice.Unreachable
	case sent:
		return choice.Disconnected
	}
	return choice.TimedOut
}

// once, in place of a count, has a dial tried once.
const once = -1

// pause is how long to wait before a dial after n vain ones: not at all, then a little, then some quarter of a second, so that a link is
// back as soon as the other side is, at no cost that is felt. Each server's own part of that, half to all, is drawn from its
// seed, or servers that lost the same party at once would all come back to it in step.
func pause(seed int64, n int) time.Duration {
	if n <= 0 {
		return 0
	}
	most := min(time.Duration(n)*30*time.Millisecond, 300*time.Millisecond)
	return time.Duration(float64(most) * (1 + rand.New(rand.NewPCG(uint64(seed), 0)).Float64()) / 2)
}

// dialFor bounds one dial: on one machine or its network an answer takes far less.
const dialFor = time.Second

// endpoints is where the other parties are; its context ends, with the dials under way, when they move.
type endpoints struct {
	life.Addresses
	ctx  context.Context
	burn context.CancelFunc
}

func newEndpoints(living context.Context, a life.Addresses) *endpoints {
	ctx, burn := context.WithCancel(living)
	return &endpoints{a, ctx, burn}
}

func toProcessor(b *endpoints) string { return b.Executor }
func toCatalogue(b *endpoints) string { return b.Upstream }
func toRoster(b *endpoints) string    { return b.Registry }

// Move tells the server, from any goroutine, where the other parties are now. Nothing new goes to where they
// were; calls in hand may still end there.
func (s *Server) Move(to life.Addresses) {
	s.endpoints.Swap(newEndpoints(s.living, to)).burn()
	go func() {
		select {
		case <-s.looping:
		case <-s.living.Done():
			return
		}
		_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			s.move()
			return nil
		}))
	}()
}

func (s *Server) move() {
	b := s.endpoints.Load()
	if l := s.processor; l.conn != nil && l.to != b.Executor {
		l.leave()
	}
	if r := s.roster; r.conn != nil && r.to != b.Registry {
		r.leave(errMoved)
	}
	for _, l := range slices.Clone(s.connPool.all) {
		if l.conn != nil && l.to != b.Upstream {
			l.leave()
		}
	}
}

// dialled is a connection that we opened, on its way to the loop.
type dialled struct {
	connHandler
	link func(*endpoints) string
	to   string
	vain int
}

var errMoved = errors.New("the other side has a new address")

// dial opens a connection and hands it to the loop, where p meets it, and goes on until it succeeds or the server is over. vain counts
// the links before that led nowhere; with once there is one dial, and p.closed hears if it leads nowhere. What it returns gives it up.
func (s *Server) dial(link func(*endpoints) string, p connHandler, vain int) (giveUp func()) {
	loop := s.loop
	return s.dialBy(func(ctx context.Context) (<-chan gnet.RegisteredResult, error) {
		c, _ := gnet.FromNetConnContext(ctx)
		return loop.Enroll(ctx, c)
	}, link, p, vain)
}

type register func(context.Context) (<-chan gnet.RegisteredResult, error)

// dialBy is dial where the loop is not known yet. The engine's own register is not made for two at once.
func (s *Server) dialBy(hand register, link func(*endpoints) string, p connHandler, vain int) (giveUp func()) {
	ctx, giveUp := context.WithCancel(s.living)
	go func() {
		defer giveUp()
		s.dialOn(ctx, hand, link, p, vain)
	}()
	return giveUp
}

// dialOn is dialBy on the caller's goroutine, until ctx is over.
func (s *Server) dialOn(ctx context.Context, hand register, link func(*endpoints) string, p connHandler, vain int) {
	for n := vain; ; n++ {
		select {
		case <-time.After(pause(s.start.Seed, n)):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return
		}
		b := s.endpoints.Load()
		addr := link(b)
		c, err := dialOnce(ctx, b.ctx, addr)
		switch {
		case err != nil && ctx.Err() != nil: // nobody wants it any more
			return
		case err != nil && b.ctx.Err() != nil:
			n-- // it moved: the dial led nowhere for no fault of the new address
			continue
		case err == nil:
			to := gnet.NewContext(gnet.NewNetConnContext(context.Background(), c), &dialled{p, link, addr, vain})
			if _, err = hand(to); err == nil {
				return
			}
			_ = c.Close()
		}
		if vain == once {
			select {
			case <-s.looping:
			case <-ctx.Done():
				return
			}
			_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
				p.closed(&attemptError{unsent, err})
				return nil
			}))
			return
		}
		if n == 5 { // the first few pass while the other side starts
			slog.Info("link_waits", "addr", addr, "err", err)
		}
	}
}

// dialOnce dials while both contexts last.
func dialOnce(ctx, other context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(other, cancel)()
	return (&net.Dialer{Timeout: dialFor}).DialContext(ctx, "tcp", addr)
}
