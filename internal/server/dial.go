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
	attemptProgressCount
)

// String returns the progress's name.
func (p attemptProgress) String() string {
	return [...]string{"not_sent", "sent", "may_have_run", "unknown"}[min(p, attemptProgressCount)]
}

// outcome is the outcome that is reported to the controller for a call that got so far.
func (p attemptProgress) outcome() admission.Outcome {
	switch p {
	case notSent:
		return admission.Unreachable
	case sent:
		return admission.Disconnected
	}
	return admission.TimedOut
}

// attemptError is the end of an attempt that got no answer. A nil cause is an orderly close by the
// other side.
type attemptError struct {
	progress attemptProgress
	cause    error
}

// Error returns the cause's text.
func (e *attemptError) Error() string {
	return e.Unwrap().Error()
}

// Unwrap returns the cause, which is never nil.
func (e *attemptError) Unwrap() error {
	if e.cause == nil {
		return errClosedByOtherSide
	}
	return e.cause
}

const (
	// dialTimeout bounds one dial: on one machine or in its network the answer takes far less.
	dialTimeout = time.Second
	// dialBackoffStep is how much each failure adds to the backoff, up to maxDialBackoff: a link is
	// up again as soon as the other side is, at a negligible cost.
	dialBackoffStep = 30 * time.Millisecond
	maxDialBackoff  = 300 * time.Millisecond
	// dialFailuresLogged is the number of failures that is logged: the first few happen while the
	// other side starts.
	dialFailuresLogged = 5
)

// dialBackoff is the pause before a dial after so many failures. Half of it is jitter that is drawn
// from the server's seed, so that servers that lost the same party at once don't return to it in
// step.
func dialBackoff(seed int64, failures int) time.Duration {
	if failures <= 0 {
		return 0
	}
	longest := min(time.Duration(failures)*dialBackoffStep, maxDialBackoff)
	jitter := rand.New(rand.NewPCG(uint64(seed), 0)).Float64()
	return time.Duration(float64(longest) * (1 + jitter) / 2)
}

// endpoints are the addresses of the other parties. The context ends, with the dials under way,
// when they change.
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

// addressFunc selects one party's address.
type addressFunc func(*endpoints) string

func executorAddress(e *endpoints) string { return e.Executor }
func upstreamAddress(e *endpoints) string { return e.Upstream }
func registryAddress(e *endpoints) string { return e.Registry }

// SetEndpoints changes the addresses of the other parties. Any goroutine may call it; it returns at
// once. New calls and links use the new addresses; calls in flight may still end at the old ones.
func (s *Server) SetEndpoints(addresses config.Addresses) {
	s.endpoints.Swap(newEndpoints(s.lifetime.context, addresses)).cancel()
	go s.loop.waitAndExecute(s.lifetime.context, s.replaceMovedConns)
}

// replaceMovedConns closes the connections to addresses that are no longer those of their parties.
// The links are dialed again, and the upstream's connections as calls need them.
func (s *Server) replaceMovedConns() {
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

// dialTarget is a party to dial, and the handler of the connection.
type dialTarget struct {
	addressOf addressFunc
	handler   connHandler
	failures  int  // of the dials before
	once      bool // dialed once; the handler's handleClose reports a failure
}

// dialed is a connection that the server opened, until the loop takes it over.
type dialed struct {
	dialTarget
	address string
}

// registerFunc hands a connection, wrapped in a context of gnet's, to the loop.
type registerFunc func(context.Context) (<-chan gnet.RegisteredResult, error)

// dial opens a connection and hands it to the loop, which passes it to the target's handler. It
// retries until it succeeds or the server stops; the returned function cancels it.
func (s *Server) dial(target dialTarget) (cancel context.CancelFunc) {
	loop := s.loop.handle
	return s.dialWith(func(ctx context.Context) (<-chan gnet.RegisteredResult, error) {
		conn, _ := gnet.FromNetConnContext(ctx)
		return loop.Enroll(ctx, conn)
	}, target)
}

// dialWith is dial with a given way to hand the connection to the loop, for the first one: it is
// dialed before the loop is known. (gnet's Client.Register is not safe for two callers at once.)
func (s *Server) dialWith(register registerFunc, target dialTarget) (cancel context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.lifetime.context)
	go func() {
		defer cancel()
		s.dialUntilDone(ctx, register, target)
	}()
	return cancel
}

// dialUntilDone is dialWith on the caller's goroutine, until ctx ends.
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
		case ctx.Err() != nil: // cancelled
			return
		case current.context.Err() != nil:
			failures-- // it moved: the new address did not fail
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

// reportDialFailure reports to the handler, on the loop, that its only dial failed.
func (s *Server) reportDialFailure(ctx context.Context, handler connHandler, err error) {
	s.loop.waitAndExecute(ctx, func() { handler.handleClose(&attemptError{notSent, err}) })
}

// dialAddress dials until either context ends.
func dialAddress(ctx, other context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(other, cancel)()
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
}
