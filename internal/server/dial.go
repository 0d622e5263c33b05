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

// attemptProgress is how far an attempt had progressed when it ended.
type attemptProgress uint8

const (
	notSent    attemptProgress = iota // nothing was sent: it never ran
	sent                              // sent, and the connection broke before the answer
	mayHaveRun                        // sent, and the other side had the full timeout to run it
	attemptProgressCount
)

// String returns the progress's name.
func (p attemptProgress) String() string {
	return [...]string{"not_sent", "sent", "may_have_run", "unknown"}[min(p, attemptProgressCount)]
}

// outcome returns the outcome that the controller receives for a call that ended at this point.
func (p attemptProgress) outcome() admission.Outcome {
	switch p {
	case notSent:
		return admission.Unreachable
	case sent:
		return admission.Disconnected
	}
	return admission.TimedOut
}

// attemptError is the failure of an attempt that received no answer. A nil cause stands for an
// orderly close by the other side.
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
		return errClosedByPeer
	}
	return e.cause
}

const (
	// dialTimeout bounds one dial. Within a machine or a local network a connection is established
	// far sooner.
	dialTimeout = time.Second
	// dialBackoffStep is how much each failure adds to the backoff, up to maxDialBackoff. The
	// backoffs are short so that a link is restored soon after the other side is back; the attempts
	// cost next to nothing.
	dialBackoffStep = 30 * time.Millisecond
	maxDialBackoff  = 300 * time.Millisecond
	// dialFailuresLogged is the number of failures after which one line is logged. Fewer failures
	// are normal while the other side starts.
	dialFailuresLogged = 5
)

// dialBackoff returns the pause before a dial after a number of failures. Up to half of it is jitter
// derived from the server's seed, so that servers that lose the same peer at the same time do not
// all dial it again at the same moment.
func dialBackoff(seed int64, failures int) time.Duration {
	if failures <= 0 {
		return 0
	}
	longest := min(time.Duration(failures)*dialBackoffStep, maxDialBackoff)
	jitter := rand.New(rand.NewPCG(uint64(seed), 0)).Float64()
	return time.Duration(float64(longest) * (1 + jitter) / 2)
}

// endpoints are the addresses of the processes that the server dials. When they change, the context
// is cancelled, and with it the dials in progress.
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

// addressFunc selects one of the addresses.
type addressFunc func(*endpoints) string

func executorAddress(e *endpoints) string { return e.Executor }
func upstreamAddress(e *endpoints) string { return e.Upstream }
func registryAddress(e *endpoints) string { return e.Registry }

// SetEndpoints changes the addresses that the server dials. Any goroutine may call it; it returns at
// once. New calls and links use the new addresses; calls in flight may still complete at the old
// ones.
func (s *Server) SetEndpoints(addresses config.Addresses) {
	s.endpoints.Swap(newEndpoints(s.lifetime.context, addresses)).cancel()
	go s.loop.waitAndExecute(s.lifetime.context, s.replaceOutdatedConns)
}

// replaceOutdatedConns closes the connections to addresses that have changed. The executor and the
// registry are dialed again at once, the upstream when a call needs a connection.
func (s *Server) replaceOutdatedConns() {
	current := s.endpoints.Load()
	if e := s.executor; e.conn != nil && e.address != current.Executor {
		e.handOver()
	}
	if r := s.registry; r.conn != nil && r.address != current.Registry {
		r.reconnect(errAddressChanged)
	}
	for _, conn := range slices.Clone(s.upstream.all) {
		if conn.conn != nil && conn.address != current.Upstream {
			conn.retire()
		}
	}
}

// dialTarget is an address to dial, and the handler of the connection.
type dialTarget struct {
	addressOf     addressFunc
	handler       connHandler
	failures      int  // number of previous failed attempts
	singleAttempt bool // one attempt only; if it fails, the handler's handleClose is called
}

// dialResult is the gnet context of a dialed connection until OnOpen passes it to its handler.
type dialResult struct {
	dialTarget
	address string
}

// registerFunc registers a connection, given in a context made by gnet, on the loop.
type registerFunc func(context.Context) (<-chan gnet.RegisteredResult, error)

// dial opens a connection and registers it on the loop, which passes it to the target's handler.
// Unless the target allows one attempt only, dial retries until it succeeds or the server stops. It
// returns at once; the returned function cancels it.
func (s *Server) dial(target dialTarget) (cancel context.CancelFunc) {
	loop := s.loop.handle
	return s.dialWith(func(ctx context.Context) (<-chan gnet.RegisteredResult, error) {
		conn, _ := gnet.FromNetConnContext(ctx)
		return loop.Enroll(ctx, conn)
	}, target)
}

// dialWith is dial with a given function to register the connection. The first connection needs a
// different one, as it is dialed before the loop is known. (gnet's Client.Register is not safe for
// concurrent use.)
func (s *Server) dialWith(register registerFunc, target dialTarget) (cancel context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.lifetime.context)
	go func() {
		defer cancel()
		s.dialUntilDone(ctx, register, target)
	}()
	return cancel
}

// dialUntilDone implements dialWith on the caller's goroutine. It returns when the connection is
// registered, the only allowed attempt has failed, or ctx ends.
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
			if err = registerDialed(conn, register, &dialResult{target, address}); err == nil {
				return
			}
		case ctx.Err() != nil: // cancelled
			return
		case current.context.Err() != nil:
			failures-- // the address changed: this is no failure of the new one
			continue
		}
		if target.singleAttempt {
			s.reportDialFailure(ctx, target.handler, err)
			return
		}
		if failures == dialFailuresLogged {
			slog.Info("dial_failing", "addr", address, "err", err)
		}
	}
}

// registerDialed registers an open connection on the loop, and closes it if that fails.
func registerDialed(conn net.Conn, register registerFunc, d *dialResult) error {
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

// dialAddress dials an address. The end of either context cancels the dial: that of the dial itself,
// and that of the endpoints which the address belongs to.
func dialAddress(ctx, addressesCtx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(addressesCtx, cancel)()
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
}
