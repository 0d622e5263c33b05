package server

import (
	"slices"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"swiftcourse/internal/memory"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/wire/rpc"
)

const (
	// lingerTimeout is how long, in seconds, a connection whose own side is shut may take to end:
	// twice the 50 ms in which something may cross a close.
	lingerTimeout = 0.1
	// mutedFlushTimeout is for how long, in seconds, answers to a muted connection may lie unread.
	mutedFlushTimeout = 1.0
	// maxLingering bounds the descriptors that connections hold while they linger: half of the
	// reserved ones. Past it the oldest is closed at once, which resets it at the worst; a server
	// that drains needs none of them.
	maxLingering = reservedDescriptors / 2
)

// lingeringConn is a connection that has left the table of clients and whose own end is awaited.
type lingeringConn struct {
	server   *Server
	conn     gnet.Conn
	state    connState
	deadline float64 // when it is closed whatever its peer does
}

func (c *lingeringConn) handleOpen(gnet.Conn, string) error { return nil }

func (c *lingeringConn) owns(conn gnet.Conn) bool { return c.conn == conn }

// handleData discards what crossed the close.
func (c *lingeringConn) handleData(data []byte) (int, error) { //nolint:unparam // as connHandler says
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

// closeGracefully ends a connection that is owed nothing and has nothing to write: its place is
// free at once.
func (c *clientConn) closeGracefully() {
	s := c.server
	conn := c.conn
	state := c.state
	lingers := state.advance(connGracefulClose)
	c.leaveTable()
	if conn == nil || !lingers {
		return
	}
	if err := unix.Shutdown(conn.Fd(), unix.SHUT_WR); err != nil { // its peer was quicker
		_ = conn.Close()
		return
	}
	lingering := &lingeringConn{server: s, conn: conn, state: state, deadline: s.now() + lingerTimeout}
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

// expireLingering closes those whose time is over; they are in the order in which they began.
func (s *Server) expireLingering() {
	now := s.now()
	for len(s.clients.lingering) > 0 && s.clients.lingering[0].deadline <= now {
		s.clients.lingering[0].closeNow()
	}
	if len(s.clients.lingering) > 0 {
		s.loop.timers.Schedule(s.clients.lingering[0].deadline, s.expireLingering)
	}
}

// mutedConn is a client's connection that sent what is no message.
type mutedConn struct {
	id       memory.Handle
	deadline float64 // until when its answers may lie unread; 0 while a request of it is open
}

// mute has nothing more read from a connection: where its messages end is unknown. What was read
// before is answered.
func (c *clientConn) mute() {
	if !c.state.advance(connProtocolError) {
		return
	}
	c.server.clients.muted = append(c.server.clients.muted, mutedConn{id: c.id})
	c.server.scheduleTurn()
}

// maintainMuted ends those that have all they are owed. It is called after the turn's writes.
func (s *Server) maintainMuted(now float64) {
	if len(s.clients.muted) == 0 {
		return
	}
	s.clients.muted = slices.DeleteFunc(s.clients.muted, func(muted mutedConn) bool {
		return s.clients.conns.Get(muted.id) == nil
	})
	for i := range s.clients.muted { // those that end here leave the list in the next turn
		muted := &s.clients.muted[i]
		client := s.clients.conns.Get(muted.id)
		switch {
		case len(client.requests) > 0:
		case !client.unsent && client.conn.OutboundBuffered() == 0:
			client.closeGracefully()
		case muted.deadline == 0:
			muted.deadline = now + mutedFlushTimeout
			s.loop.timers.Schedule(muted.deadline, s.scheduleTurn)
		case now >= muted.deadline:
			client.closeNow()
		}
	}
}

// maintainConnections does what the limiter says of connections: a few a turn.
func (s *Server) maintainConnections(now float64) {
	for _, verdict := range s.clients.limiter.Due(now) {
		client := s.clients.conns.AtSlot(verdict.Slot)
		switch {
		case verdict.Do == connlimit.Ask:
			s.askToClose(client)
		case client.unsent || hasQueuedBytes(client.conn):
			client.observe(connlimit.Woke, now)
		default:
			if verdict.Was != connlimit.Parting {
				s.statistics.silent++
			}
			client.closeGracefully()
		}
	}
}

// askToClose asks a client to close a connection: it sends nothing new from then on, so nothing can
// be lost.
func (s *Server) askToClose(client *clientConn) {
	s.output.scratch = rpc.PutPart(s.output.scratch[:0])
	client.writeScratch()
	s.statistics.askedToClose++
}

// closeAllGracefully shuts, just before the kill, whatever is owed nothing and has nothing to
// write.
func (s *Server) closeAllGracefully() {
	s.flush()
	s.clients.conns.ForEach(func(_ memory.Handle, client *clientConn) {
		if len(client.requests) == 0 && client.conn != nil && client.conn.OutboundBuffered() == 0 {
			client.closeGracefully()
		}
	})
}
