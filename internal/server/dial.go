package server

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
)

// attemptProgress is how far an attempt had come when it ended.
type attemptProgress uint8

const (
	notSent    attemptProgress = iota // nothing left this server: it never ran
	sent                              // it left, and the connection broke before the answer
	mayHaveRun                        // it left, and the other side had its time to run it
	attemptProgresses
)

// String returns the progress's name.
func (p attemptProgress) String() string {
	return [...]string{"not_sent", "sent", "may_have_run", "unknown"}[min(p, attemptProgresses)]
}

// outcome is what the controller hears of a call that ended so.
func (p attemptProgress) outcome() admission.Outcome {
	switch p {
	case notSent:
		return admission.Unreachable
	case sent:
		return admission.Disconnected
	}
	return admission.TimedOut
}

// attemptError is the end of an attempt without an answer. A nil cause is an orderly close by the
// other side.
type attemptError struct {
	progress attemptProgress
	cause    error
}

// Error returns the cause's text.
func (e *attemptError) Error() string {
	if e.cause == nil {
		return errClosedByOtherSide.Error()
	}
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error {
	if e.cause == nil {
		return errClosedByOtherSide
	}
	return e.cause
}

const (
	// dialTimeout bounds one dial: on one machine or its network an answer takes far less.
	dialTimeout = time.Second
	// dialBackoffStep is by how much each failure lengthens the pause before the next dial, up to
	// maxDialBackoff: a link is back as soon as the other side is, at no cost that is felt.
	dialBackoffStep = 30 * time.Millisecond
	maxDialBackoff  = 300 * time.Millisecond
	// dialFailuresLogged is the number of failures that is logged: the first few pass while the
	// other side starts.
	dialFailuresLogged = 5
)

// dialBackoff is how long to wait before a dial after so many that failed. Each server's own part
// of that, half to all, is drawn from its seed, or servers that lost the same party at once would
// all come back to it in step.
func dialBackoff(seed int64, failures int) time.Duration {
	if failures <= 0 {
		return 0
	}
	most := min(time.Duration(failures)*dialBackoffStep, maxDialBackoff)
	jitter := rand.New(rand.NewPCG(uint64(seed), 0)).Float64()
	return time.Duration(float64(most) * (1 + jitter) / 2)
}

// endpoints is where the other parties are; its context ends, with the dials under way, when they
// move.
type endpoints struct {
	config.Addresses
	context context.Context
	cancel  context.CancelFunc
}

func newEndpoints(parent context.Context, addresses config.Addresses) *endpoints {
	e := &endpoints{Addresses: addresses}
	e.context, e.cancel = context.WithCancel(parent)
	return e
}

// addressFunc picks one party's address.
type addressFunc func(*endpoints) string

func executorAddress(e *endpoints) string { return e.Executor }
func upstreamAddress(e *endpoints) string { return e.Upstream }
func registryAddress(e *endpoints) string { return e.Registry }

// SetEndpoints tells the server, from any goroutine, where the other parties are now. It returns at
// once. Nothing new goes to where they were; calls in hand may still end there.
func (s *Server) SetEndpoints(addresses config.Addresses) {
	s.endpoints.Swap(newEndpoints(s.lifetime.context, addresses)).cancel()
	go func() {
		select {
		case <-s.loop.ready:
		case <-s.lifetime.context.Done():
			return
		}
		_ = s.loop.execute(s.leaveOldEndpoints)
	}()
}

func (s *Server) leaveOldEndpoints() {
	current := s.endpoints.Load()
	if e := s.executor; e.conn != nil && e.address != current.Executor {
		e.reconnect()
	}
	if r := s.registry; r.conn != nil && r.address != current.Registry {
		r.reconnect(errAddressMoved)
	}
	for _, conn := range slices.Clone(s.upstream.all) {
		if conn.conn != nil && conn.address != current.Upstream {
			conn.retire()
		}
	}
}

// dialTarget is a party to dial, and who meets the connection.
type dialTarget struct {
	addressOf addressFunc
	handler   connHandler
	failures  int  // connections before that led nowhere
	once      bool // dialed once; the handler hears by handleClose if that leads nowhere
}

// dialed is a connection that the server opened, on its way to the loop.
type dialed struct {
	dialTarget
	address string
}

// registerFunc hands a connection, in a context of gnet's, to the loop.
type registerFunc func(context.Context) (<-chan gnet.RegisteredResult, error)

// dial opens a connection and hands it to the loop, where the target's handler meets it, and goes
// on until it succeeds or the server has stopped. What it returns gives it up.
func (s *Server) dial(target dialTarget) (cancel context.CancelFunc) {
	loop := s.loop.handle
	return s.dialWith(func(ctx context.Context) (<-chan gnet.RegisteredResult, error) {
		conn, _ := gnet.FromNetConnContext(ctx)
		return loop.Enroll(ctx, conn)
	}, target)
}

// dialWith is dial where the loop is not known yet. The engine's own Register is not made for two
// at once.
func (s *Server) dialWith(register registerFunc, target dialTarget) (cancel context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.lifetime.context)
	go func() {
		defer cancel()
		s.dialUntilDone(ctx, register, target)
	}()
	return cancel
}

// dialUntilDone is dialWith on the caller's goroutine, until ctx is over.
func (s *Server) dialUntilDone(ctx context.Context, register registerFunc, target dialTarget) {
	for failures := target.failures; ; failures++ {
		select {
		case <-time.After(dialBackoff(s.startup.Seed, failures)):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return
		}
		current := s.endpoints.Load()
		address := target.addressOf(current)
		conn, err := dialAddress(ctx, current.context, address)
		switch {
		case err == nil:
			if err = handOver(conn, register, &dialed{target, address}); err == nil {
				return
			}
		case ctx.Err() != nil: // nobody wants it any more
			return
		case current.context.Err() != nil:
			failures-- // it moved: the dial led nowhere for no fault of the new address
			continue
		}
		if target.once {
			s.reportDialFailure(ctx, target.handler, err)
			return
		}
		if failures == dialFailuresLogged {
			slog.Info("dial_failing", "addr", address, "err", err)
		}
	}
}

// handOver gives an open connection to the loop, and closes it where that fails.
func handOver(conn net.Conn, register registerFunc, d *dialed) error {
	ctx := gnet.NewContext(gnet.NewNetConnContext(context.Background(), conn), d)
	_, err := register(ctx)
	if err != nil {
		_ = conn.Close()
	}
	return err
}

// reportDialFailure has the handler hear, on the loop, that its only dial led nowhere.
func (s *Server) reportDialFailure(ctx context.Context, handler connHandler, err error) {
	select {
	case <-s.loop.ready:
	case <-ctx.Done():
		return
	}
	_ = s.loop.execute(func() { handler.handleClose(&attemptError{notSent, err}) })
}

// dialAddress dials while both contexts last.
func dialAddress(ctx, other context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(other, cancel)()
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
}
