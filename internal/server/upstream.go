package server

import (
	"log/slog"
	"slices"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/wire/catalogue"
)

const (
	// maxCallsPerConn bounds the calls that a connection remembers; the cost of a dial for every
	// 32nd call is negligible.
	maxCallsPerConn = 32
	// upstreamIdleTimeout is how long, in seconds, an idle connection is kept: the other side may
	// forget it, and then the next call is cut. The upstream closes idle connections after 10 s;
	// under load the latest ones are reused within a tenth of a second.
	upstreamIdleTimeout = 1.0
	// maxUpstream is the number of connections of a server with 1,024 descriptors: one core never
	// has more calls in flight.
	maxUpstream = 256
	// upstreamShare is the divisor of the descriptors that upstream connections may take, as
	// clients may open half of them.
	upstreamShare = 4
	// lossLogInterval is the least time, in seconds, between two log lines about lost connections.
	lossLogInterval = 1
)

// upstreamPool is the connections to the upstream and the calls in flight there.
type upstreamPool struct {
	all          []*upstreamConn
	idle         []*upstreamConn          // the latest comes last, and is used first
	waiting      []*upstreamCall          // for a connection, when there are as many as may be
	calls        map[string]*upstreamCall // by the request they are made for
	lossLoggedAt float64                  // when it was last logged that a connection broke
}

// upstreamConn is a connection to the upstream. It carries one call at a time, so that a reply that
// is malformed, late or missing affects that call alone; and no two calls of one request, so that a
// duplicate of a reply is never taken for the reply to the request's next call.
type upstreamConn struct {
	dialedConn
	server     *Server
	call       *upstreamCall // sent over it, or waiting for it to open
	requestIDs []string      // of the requests whose calls were sent over it
	idleSince  float64
	idleFor    float64 // how long it had been idle, in seconds, when its call went out
	retired    bool    // takes no further call
	cancelDial func()  // ends its dial, where that is still under way
}

// maxUpstreamConns is the limit on upstream connections.
func (s *Server) maxUpstreamConns() int { return min(s.startup.MaxSockets/upstreamShare, maxUpstream) }

// assignCall assigns a call to an idle connection or to a new one; at the limit the call waits.
func (s *Server) assignCall(call *upstreamCall) {
	pool := &s.upstream
	if conn := s.takeIdle(call); conn != nil {
		conn.assign(call)
		return
	}
	if len(pool.all) >= s.maxUpstreamConns() && len(pool.idle) > 0 { // none of them will do
		pool.idle[0].retire()
	}
	if len(pool.all) >= s.maxUpstreamConns() {
		pool.waiting = append(pool.waiting, call)
		return
	}
	conn := &upstreamConn{server: s}
	pool.all = append(pool.all, conn)
	conn.assign(call)
	conn.cancelDial = s.dial(dialTarget{addressOf: upstreamAddress, handler: conn, once: true})
}

// takeIdle takes an idle connection for a call out of the pool, nil for none. A call that must not
// run twice gets none: an idle connection may break in a way that does not show whether the call
// was received.
func (s *Server) takeIdle(call *upstreamCall) *upstreamConn {
	class := &s.startup.Settings.Classes[call.request.Class]
	if class.Idempotency != admission.Idempotent || call.retried {
		return nil
	}
	now := s.now()
	pool := &s.upstream
	for i := len(pool.idle) - 1; i >= 0; i-- {
		conn := pool.idle[i]
		if now-conn.idleSince <= upstreamIdleTimeout && !slices.Contains(conn.requestIDs, call.request.ID) {
			pool.idle = slices.Delete(pool.idle, i, i+1)
			conn.idleFor = now - conn.idleSince
			return conn
		}
	}
	return nil
}

// assignWaitingCall assigns the first call that waits.
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

// closeIdleUpstream closes connections that have been idle for too long.
func (s *Server) closeIdleUpstream(now float64) {
	for _, conn := range slices.Clone(s.upstream.idle) {
		if now-conn.idleSince > upstreamIdleTimeout {
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

// retire excludes a connection from further calls, and closes it if it has none.
func (c *upstreamConn) retire() {
	c.retired = true
	if c.call != nil {
		return
	}
	c.remove()
	if c.conn != nil {
		_ = c.conn.Close()
	} else if c.cancelDial != nil {
		c.cancelDial() // a dial that hangs would hold a descriptor, which nobody counts any more
	}
}

// remove takes a connection out of the pool, and lets a waiting call have its place.
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
		return errNoPendingCall
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
	// A connection that had been idle and breaks before its reply was most likely forgotten on the
	// other side. Only calls that may run twice go over such connections, so the call goes out once
	// more, over a new one.
	if c.idleFor > 0 && !call.retried {
		call.retried = true
		call.progress = notSent
		server.assignCall(call)
		return
	}
	server.failCall(call, end)
}

// logLoss logs that a connection broke with a call on it.
func (c *upstreamConn) logLoss(call *upstreamCall, err error) {
	s := c.server
	now := s.now()
	if now <= s.upstream.lossLoggedAt+lossLogInterval {
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
		ours := reply.ID == c.call.request.ID
		if !ours || n < len(data) {
			c.retired = true // it brought more than the reply to its call: not used again
		}
		if ours {
			c.handleReply(c.call, reply)
		}
	}
	if n < len(data) && !c.retired {
		return n, errUnexpectedReply
	}
	return len(data), nil
}

// handleReply ends a call with its reply and makes the connection idle.
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
