package server

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
)

// attemptProgress tells how far an attempt had come when it ended.
type attemptProgress uint8

const (
	notSent    attemptProgress = iota // nothing left this server: it never ran
	sent                              // it left, and the connection broke before the answer
	mayHaveRun                        // it left, and the other side had its time to run it
)

// attemptError is the end of an attempt without an answer.
type attemptError struct {
	progress attemptProgress
	cause    error
}

func (e *attemptError) Error() string {
	if e.cause == nil {
		return "the other side closed the connection"
	}
	return e.cause.Error()
}

func (e *attemptError) Unwrap() error { return e.cause }

// outcome is what the module hears of a call that ended so.
func (e *attemptError) outcome() admission.Outcome {
	switch e.progress {
	case notSent:
		return admission.Unreachable
	case sent:
		return admission.Disconnected
	}
	return admission.TimedOut
}

// singleAttempt, in place of a count, has a dial tried once.
const singleAttempt = -1

// dialBackoff is how long to wait before a dial after n vain ones: not at all, then a little, then some quarter of a second, so that a link is
// back as soon as the other side is, at no cost that is felt. Each server's own part of that, half to all, is drawn from its
// seed, or servers that lost the same party at once would all come back to it in step.
func dialBackoff(seed int64, n int) time.Duration {
	if n <= 0 {
		return 0
	}
	most := min(time.Duration(n)*30*time.Millisecond, 300*time.Millisecond)
	return time.Duration(float64(most) * (1 + rand.New(rand.NewPCG(uint64(seed), 0)).Float64()) / 2)
}

// dialTimeout bounds one dial: on one machine or its network an answer takes far less.
const dialTimeout = time.Second

// endpoints is where the other parties are; its context ends, with the dials under way, when they move.
type endpoints struct {
	config.Addresses
	ctx    context.Context
	cancel context.CancelFunc
}

func newEndpoints(living context.Context, a config.Addresses) *endpoints {
	ctx, burn := context.WithCancel(living)
	return &endpoints{a, ctx, burn}
}

func executorAddress(b *endpoints) string { return b.Executor }
func upstreamAddress(b *endpoints) string { return b.Upstream }
func registryAddress(b *endpoints) string { return b.Registry }

// SetEndpoints tells the server, from any goroutine, where the other parties are now. Nothing new goes to where they
// were; calls in hand may still end there.
func (s *Server) SetEndpoints(to config.Addresses) {
	s.endpoints.Swap(newEndpoints(s.runContext, to)).cancel()
	go func() {
		select {
		case <-s.loopReady:
		case <-s.runContext.Done():
			return
		}
		_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			s.leaveOldEndpoints()
			return nil
		}))
	}()
}

func (s *Server) leaveOldEndpoints() {
	b := s.endpoints.Load()
	if l := s.executor; l.conn != nil && l.address != b.Executor {
		l.reconnect()
	}
	if r := s.registry; r.conn != nil && r.address != b.Registry {
		r.reconnect(errMoved)
	}
	for _, l := range slices.Clone(s.upstream.all) {
		if l.conn != nil && l.address != b.Upstream {
			l.retire()
		}
	}
}

// dialedTarget is a connection that we opened, on its way to the loop.
type dialedTarget struct {
	connHandler
	addressOf func(*endpoints) string
	address   string
	failures  int
}

var errMoved = errors.New("the other side has a new address")

// dial opens a connection and hands it to the loop, where p meets it, and goes on until it succeeds or the server is over. vain counts
// the links before that led nowhere; with once there is one dial, and p.closed hears if it leads nowhere. What it returns gives it up.
func (s *Server) dial(link func(*endpoints) string, p connHandler, vain int) (giveUp func()) {
	loop := s.loop
	return s.dialWith(func(ctx context.Context) (<-chan gnet.RegisteredResult, error) {
		c, _ := gnet.FromNetConnContext(ctx)
		return loop.Enroll(ctx, c)
	}, link, p, vain)
}

type registerFunc func(context.Context) (<-chan gnet.RegisteredResult, error)

// dialWith is dial where the loop is not known yet. The engine's own register is not made for two at once.
func (s *Server) dialWith(hand registerFunc, link func(*endpoints) string, p connHandler, vain int) (giveUp func()) {
	ctx, giveUp := context.WithCancel(s.runContext)
	go func() {
		defer giveUp()
		s.dialUntilDone(ctx, hand, link, p, vain)
	}()
	return giveUp
}

// dialUntilDone is dialBy on the caller's goroutine, until ctx is over.
func (s *Server) dialUntilDone(ctx context.Context, hand registerFunc, link func(*endpoints) string, p connHandler, vain int) {
	for n := vain; ; n++ {
		select {
		case <-time.After(dialBackoff(s.startup.Seed, n)):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return
		}
		b := s.endpoints.Load()
		addr := link(b)
		c, err := dialAddress(ctx, b.ctx, addr)
		switch {
		case err != nil && ctx.Err() != nil: // nobody wants it any more
			return
		case err != nil && b.ctx.Err() != nil:
			n-- // it moved: the dial led nowhere for no fault of the new address
			continue
		case err == nil:
			to := gnet.NewContext(gnet.NewNetConnContext(context.Background(), c), &dialedTarget{p, link, addr, vain})
			if _, err = hand(to); err == nil {
				return
			}
			_ = c.Close()
		}
		if vain == singleAttempt {
			select {
			case <-s.loopReady:
			case <-ctx.Done():
				return
			}
			_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
				p.handleClose(&attemptError{notSent, err})
				return nil
			}))
			return
		}
		if n == 5 { // the first few pass while the other side starts
			slog.Info("link_waits", "addr", addr, "err", err)
		}
	}
}

// dialAddress dials while both contexts last.
func dialAddress(ctx, other context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(other, cancel)()
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
}
