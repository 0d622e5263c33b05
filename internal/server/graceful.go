package server

import (
	"slices"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/slottable"
	"swiftcourse/internal/wire/rpc"
)

const (
	// lingerTimeoutSeconds is how long the peer of a half-closed connection has to close its
	// side: twice the 50 ms for which messages sent before the peer saw the close may still arrive.
	lingerTimeoutSeconds = 0.1
	// mutedFlushTimeoutSeconds is how long the client of a muted connection may leave its
	// answers unread.
	mutedFlushTimeoutSeconds = 1.0
	// maxLingering bounds the number of lingering connections to half of the reserved descriptors.
	// Over the limit the oldest is closed at once, which may reset it. A draining server does not
	// apply the limit, as it needs no descriptors for other connections.
	maxLingering = reservedDescriptors / 2
)

// lingeringConn is a half-closed connection: it was removed from the table of clients, and its peer
// has yet to close its side.
type lingeringConn struct {
	server   *Server
	conn     gnet.Conn
	state    connState
	deadline float64 // when the server closes it, even if the peer has not
}

func (c *lingeringConn) handleOpen(gnet.Conn, string) error { return nil }

func (c *lingeringConn) handleInput(int) bool { return true }

func (c *lingeringConn) owns(conn gnet.Conn) bool { return c.conn == conn }

// handleData discards input that the peer sent before it saw the close.
func (c *lingeringConn) handleData(data []byte) (int, error) { //nolint:unparam // implements connHandler
	return len(data), nil
}

func (c *lingeringConn) handleClose(error) {
	if !c.state.advance(connEnded) {
		return
	}
	c.conn = nil
	clients := &c.server.clients
	clients.lingering = slices.DeleteFunc(clients.lingering, func(other *lingeringConn) bool {
		return other == c
	})
}

func (c *lingeringConn) closeNow() {
	conn := c.conn
	c.handleClose(nil)
	_ = conn.Close()
}

// closeGracefully half-closes a connection that has no open request and no pending output. Its slot
// is free at once.
func (c *clientConn) closeGracefully() {
	s := c.server
	conn := c.conn
	state := c.state
	lingers := state.advance(connGracefulClose)
	c.leaveTable()
	if conn == nil || !lingers {
		return
	}
	if err := unix.Shutdown(conn.Fd(), unix.SHUT_WR); err != nil { // the peer has closed it already
		_ = conn.Close()
		return
	}
	lingering := &lingeringConn{server: s, conn: conn, state: state, deadline: s.now() + lingerTimeoutSeconds}
	conn.SetContext(lingering)
	s.addLingering(lingering)
}

func (s *Server) addLingering(c *lingeringConn) {
	s.clients.lingering = append(s.clients.lingering, c)
	if len(s.clients.lingering) == 1 {
		s.loop.timers.Schedule(c.deadline, s.expireLingering)
		s.scheduleTurn()
	}
	if len(s.clients.lingering) > maxLingering && !s.drain.closing {
		s.clients.lingering[0].closeNow()
	}
}

// expireLingering closes the lingering connections whose deadline has passed. The list is in order
// of deadlines.
func (s *Server) expireLingering() {
	now := s.now()
	for len(s.clients.lingering) > 0 && s.clients.lingering[0].deadline <= now {
		s.clients.lingering[0].closeNow()
	}
	if len(s.clients.lingering) > 0 {
		s.loop.timers.Schedule(s.clients.lingering[0].deadline, s.expireLingering)
	}
}

// mutedConn is an entry of the list of muted connections.
type mutedConn struct {
	id       slottable.Handle
	deadline float64 // when it is closed even if answers are unread; 0 until all its requests are answered
}

// mute discards all further input of a connection after a protocol error, as the start of the next
// message can't be found. Requests that were read before are answered.
func (c *clientConn) mute() {
	if !c.state.advance(connProtocolError) {
		return
	}
	c.input.awaitedBytes = 0 // all that is buffered is discarded
	c.input.bufferedBytes = 0
	c.server.clients.muted = append(c.server.clients.muted, mutedConn{id: c.id})
	c.server.scheduleTurn()
}

// closeMuted closes the muted connections whose answers were all sent, or whose deadline has passed.
// It is called after the turn's writes.
func (s *Server) closeMuted(now float64) {
	if len(s.clients.muted) == 0 {
		return
	}
	s.clients.muted = slices.DeleteFunc(s.clients.muted, func(muted mutedConn) bool {
		return s.clients.conns.Get(muted.id) == nil
	})
	for i := range s.clients.muted { // connections closed here are removed from the list in the next turn
		muted := &s.clients.muted[i]
		client := s.clients.conns.Get(muted.id)
		switch {
		case len(client.requests) > 0:
		case !client.unflushed && client.conn.OutboundBuffered() == 0:
			client.closeGracefully()
		case muted.deadline == 0:
			muted.deadline = now + mutedFlushTimeoutSeconds
			s.loop.timers.Schedule(muted.deadline, s.scheduleTurn)
		case now >= muted.deadline:
			client.closeNow()
		}
	}
}

// applyLimiterDecisions carries out the connection limiter's decisions to close connections; the
// limiter returns a few in each turn.
func (s *Server) applyLimiterDecisions(now float64) {
	for _, decision := range s.clients.limiter.TakeDecisions(now) {
		client := s.clients.conns.AtSlot(decision.Slot)
		switch {
		case decision.Command == connlimit.CommandAskToClose:
			s.askToClose(client)
		case client.unflushed || hasQueuedBytes(client.conn):
			client.observe(connlimit.EventUnreadData, now)
		default:
			if decision.PreviousState != connlimit.StateAskedToClose {
				s.statistics.silent++
			}
			client.closeGracefully()
		}
	}
}

// askToClose asks a client to close its connection. The client then sends no new requests on it, so
// none is lost when the connection closes.
func (s *Server) askToClose(client *clientConn) {
	s.output.scratch = rpc.AppendGoAway(s.output.scratch[:0])
	client.writeScratch()
	s.statistics.askedToClose++
}

// closeAllGracefully half-closes every connection without an open request or pending output. It is
// called just before the kill.
func (s *Server) closeAllGracefully() {
	s.flush()
	s.clients.conns.ForEach(func(_ slottable.Handle, client *clientConn) {
		if len(client.requests) == 0 && client.conn != nil && client.conn.OutboundBuffered() == 0 {
			client.closeGracefully()
		}
	})
}
