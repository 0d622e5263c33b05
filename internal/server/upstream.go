package server

import (
	"fmt"
	"log/slog"
	"slices"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/wire/catalogue"
)

const (
	// maxCallsPerConn bounds the calls made over one connection, and so the request IDs that the
	// connection remembers. The cost of a dial for every 32nd call is negligible.
	maxCallsPerConn = 32
	// upstreamIdleTimeoutSeconds is how long an idle connection is kept. It is short because the
	// upstream may drop an idle connection, which breaks the next call on it; the upstream closes
	// them after 10 s. It is long enough because under load the most recently used connections are
	// reused within 0.1 s.
	upstreamIdleTimeoutSeconds = 1.0
	// upstreamConnLimit bounds the upstream connections of a server with 1,024 descriptors or more.
	// One core never has more calls in flight.
	upstreamConnLimit = 256
	// upstreamDescriptorDivisor is the divisor of the descriptors that bounds upstream connections;
	// clients are entitled to half of all descriptors.
	upstreamDescriptorDivisor = 4
	// lossLogIntervalSeconds is the least time between two log lines about lost connections.
	lossLogIntervalSeconds = 1
)

// upstreamPool holds the connections to the upstream, and the calls in flight or waiting.
type upstreamPool struct {
	all          []*upstreamConn
	idle         []*upstreamConn          // a stack: the most recently used one is last and is reused first
	waiting      []*upstreamCall          // calls without a connection, as the pool is at its limit
	calls        map[string]*upstreamCall // by request ID
	lossLoggedAt float64                  // when a broken connection was last logged
}

// upstreamConn is a connection to the upstream. It carries one call at a time, so that a malformed,
// late or missing reply affects only that call. It never carries two calls of the same request, so
// that a duplicate of the first reply is not mistaken for the second.
type upstreamConn struct {
	dialedConn
	server     *Server
	call       *upstreamCall // in flight, or waiting for the connection to open; nil for none
	requestIDs []string      // of the requests whose calls were assigned to it
	idleSince  float64
	idleFor    float64 // how long, in seconds, it had been idle when the present call was assigned; 0 if new
	retired    bool    // gets no further call
	cancelDial func()  // cancels the dial if it is still in progress
}

// maxUpstreamConns returns the limit on upstream connections.
func (s *Server) maxUpstreamConns() int {
	return min(s.startup.MaxSockets/upstreamDescriptorDivisor, upstreamConnLimit)
}

// assignCall assigns a call to an idle connection or to a new one; at the limit the call waits.
func (s *Server) assignCall(call *upstreamCall) {
	pool := &s.upstream
	if conn := s.takeIdle(call); conn != nil {
		conn.assign(call)
		return
	}
	if len(pool.all) >= s.maxUpstreamConns() && len(pool.idle) > 0 { // no idle connection can be used for this call
		pool.idle[0].retire()
	}
	if len(pool.all) >= s.maxUpstreamConns() {
		pool.waiting = append(pool.waiting, call)
		return
	}
	conn := &upstreamConn{server: s}
	pool.all = append(pool.all, conn)
	conn.assign(call)
	conn.cancelDial = s.dial(dialTarget{addressOf: upstreamAddress, handler: conn, singleAttempt: true})
}

// takeIdle removes an idle connection that can be used for a call from the pool, and returns it, or
// nil if there is none. A call that must not run twice, or that is retried, always needs a new
// connection: if an idle one breaks, it is unknown whether the upstream received the call.
func (s *Server) takeIdle(call *upstreamCall) *upstreamConn {
	class := &s.startup.Settings.Classes[call.request.Class]
	if class.Idempotency != admission.Idempotent || call.retried {
		return nil
	}
	now := s.now()
	pool := &s.upstream
	for i := len(pool.idle) - 1; i >= 0; i-- {
		conn := pool.idle[i]
		if now-conn.idleSince <= upstreamIdleTimeoutSeconds && !slices.Contains(conn.requestIDs, call.request.ID) {
			pool.idle = slices.Delete(pool.idle, i, i+1)
			conn.idleFor = now - conn.idleSince
			return conn
		}
	}
	return nil
}

// assignWaitingCall assigns the first waiting call to a connection.
func (s *Server) assignWaitingCall() {
	pool := &s.upstream
	for len(pool.waiting) > 0 {
		call := pool.waiting[0]
		pool.waiting = pool.waiting[1:]
		if !call.done {
			s.assignCall(call)
			return
		}
	}
}

// closeIdleUpstream closes connections that have been idle for longer than upstreamIdleTimeoutSeconds.
func (s *Server) closeIdleUpstream(now float64) {
	for _, conn := range slices.Clone(s.upstream.idle) {
		if now-conn.idleSince > upstreamIdleTimeoutSeconds {
			conn.retire()
		}
	}
}

func (c *upstreamConn) assign(call *upstreamCall) {
	c.call = call
	call.conn = c
	c.requestIDs = append(c.requestIDs, call.request.ID)
	if c.conn != nil {
		c.sendCall()
	}
}

func (c *upstreamConn) sendCall() {
	s := c.server
	call := c.call
	call.progress = sent
	budget := call.deadline - s.now()
	scratch := s.output.scratch[:0]
	s.output.scratch = catalogue.AppendCall(scratch, call.request.ID, budget, call.request.CallBody)
	s.write(&c.bufferedConn, s.output.scratch)
}

// retire excludes a connection from further calls, and closes it if no call is in flight on it.
func (c *upstreamConn) retire() {
	c.retired = true
	if c.call != nil {
		return
	}
	c.remove()
	if c.conn != nil {
		_ = c.conn.Close()
	} else if c.cancelDial != nil {
		c.cancelDial() // a dial that hangs would hold a descriptor that the pool no longer counts
	}
}

// remove removes a connection from the pool, which lets a waiting call use a new one.
func (c *upstreamConn) remove() {
	s := c.server
	pool := &s.upstream
	same := func(other *upstreamConn) bool { return other == c }
	before := len(pool.all)
	pool.all = slices.DeleteFunc(pool.all, same)
	pool.idle = slices.DeleteFunc(pool.idle, same)
	if len(pool.all) < before {
		s.assignWaitingCall()
	}
}

func (c *upstreamConn) handleOpen(conn gnet.Conn, address string) error {
	c.attach(conn, address)
	if c.call == nil {
		return errCallEnded
	}
	c.sendCall()
	return nil
}

func (c *upstreamConn) handleClose(err error) {
	server := c.server
	call := c.call
	c.release(&server.output.buffers)
	c.retired = true
	c.call = nil
	c.remove()
	if call == nil {
		return // idle or retired
	}
	end := &attemptError{call.progress, err}
	c.logLoss(call, end)
	call.conn = nil
	// If a reused connection breaks before the reply, the upstream had most likely dropped it while
	// it was idle. Only calls that may run twice are sent over reused connections, so the call is sent
	// once more, over a new connection.
	if c.idleFor > 0 && !call.retried {
		call.retried = true
		call.progress = notSent
		server.assignCall(call)
		return
	}
	server.failCall(call, end)
}

// logLoss logs that a connection broke during a call, at most once per lossLogIntervalSeconds.
func (c *upstreamConn) logLoss(call *upstreamCall, err error) {
	s := c.server
	now := s.now()
	if now <= s.upstream.lossLoggedAt+lossLogIntervalSeconds {
		return
	}
	s.upstream.lossLoggedAt = now
	slog.Info("link_lost", "link", "upstream", "idle_s", logging.FormatDecimal(c.idleFor, 3),
		"after_s", logging.FormatDecimal(now-call.startedAt, 3), "err", err)
}

func (c *upstreamConn) handleData(data []byte) (n int, err error) {
	for n < len(data) && c.call != nil {
		reply, size, err := catalogue.ParseReply(data[n:])
		if err != nil || size == 0 {
			return n, err
		}
		n += size
		matches := reply.ID == c.call.request.ID
		if !matches || n < len(data) {
			c.retired = true // not reused, as it delivered data other than the reply to its call
		}
		if matches {
			c.handleReply(c.call, reply)
		}
	}
	if n < len(data) && !c.retired {
		return n, fmt.Errorf("%w: %d bytes", errUnexpectedData, len(data)-n)
	}
	return len(data), nil
}

// handleReply completes a call with its reply, and makes the connection available for further calls
// unless it is retired.
func (c *upstreamConn) handleReply(call *upstreamCall, reply catalogue.Reply) {
	s := c.server
	call.done = true
	c.call = nil
	c.idleSince = s.now()
	delete(s.upstream.calls, call.request.ID)
	if reply.Outcome == admission.Finished {
		s.executor.reply(call.request, reply.Body)
	}
	s.reportCallDone(call, reply.Outcome)
	if c.retired || len(c.requestIDs) >= maxCallsPerConn {
		c.retire()
		return
	}
	s.upstream.idle = append(s.upstream.idle, c)
	s.assignWaitingCall()
}
