package server

import (
	"slices"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"swiftcourse/internal/slottable"
)

// How a balancer's connection ends. Before that it is in a state of the door (package door); here is what follows.
//
//	state    event                                         next
//	reading  it brings what is no message                  muted: nothing more is read, what it is owed still goes out
//	reading  the door says End, nothing waits either way   closing: our side is shut, what still comes is thrown away
//	muted    nothing of it is open, all is out             closing
//	muted    that, but it does not take its answers        closed, by flushFor
//	closing  its peer closes                               closed
//	closing  closeFor is over, its place is wanted         closed
//	any      its peer closes or resets; evicted            closed
//
// A close over bytes that nobody read resets the connection, and what the other side has not taken yet may go with it. So our side is
// shut first, behind all answers, and the rest is read to its end. What is thrown away was sent across the close: it never ran, and
// its caller sends it once more.

const (
	// lingerTimeout is how long, in seconds, a connection whose side of ours is shut may take to end: twice the 50 ms in which something may
	// cross a close.
	lingerTimeout = 0.1
	// mutedFlushTimeout is for how long, in seconds, answers to one that sent what is no message may lie unread.
	mutedFlushTimeout = 1.0
	// maxLingering bounds the descriptors that connections hold while they close: half of the spare ones. Past it the oldest is closed at
	// once, which resets it at the worst; a server that leaves needs none of them.
	maxLingering = reservedDescriptors / 2
)

// lingeringConn is a connection that has left the table of peers and whose own end is awaited.
type lingeringConn struct {
	server   *Server
	conn     gnet.Conn
	deadline float64 // s.now() at which it is closed whatever its peer does
}

func (c *lingeringConn) handleOpen(gnet.Conn, string) error { return nil }

func (c *lingeringConn) owns(conn gnet.Conn) bool { return c.conn == conn }

// handleData throws away what came across the close.
func (c *lingeringConn) handleData(b []byte) (int, error) { return len(b), nil }

func (c *lingeringConn) handleClose(error) {
	s := c.server
	c.conn = nil
	s.lingering = slices.DeleteFunc(s.lingering, func(other *lingeringConn) bool { return other == c })
}

// closeNow closes it now.
func (c *lingeringConn) closeNow() {
	conn := c.conn
	c.handleClose(nil)
	_ = conn.Close()
}

// closeGracefully ends a connection that is owed nothing and has nothing to write: its place is free at once.
func (p *clientConn) closeGracefully() {
	s, conn := p.server, p.conn
	p.handleClose(nil)
	if conn == nil {
		return
	}
	if err := unix.Shutdown(conn.Fd(), unix.SHUT_WR); err != nil { // its peer was quicker
		_ = conn.Close()
		return
	}
	c := &lingeringConn{server: s, conn: conn, deadline: s.now() + lingerTimeout}
	conn.SetContext(c)
	if s.lingering = append(s.lingering, c); len(s.lingering) == 1 {
		s.timers.Schedule(c.deadline, s.expireLingering)
		s.scheduleTurn()
	}
	if len(s.lingering) > maxLingering && !s.closingGracefully {
		s.lingering[0].closeNow()
	}
}

// expireLingering closes those whose time is over; they are in the order in which they began.
func (s *Server) expireLingering() {
	now := s.now()
	for len(s.lingering) > 0 && s.lingering[0].deadline <= now {
		s.lingering[0].closeNow()
	}
	if len(s.lingering) > 0 {
		s.timers.Schedule(s.lingering[0].deadline, s.expireLingering)
	}
}

// mutedConn is a peer that sent what is no message.
type mutedConn struct {
	id       slottable.Handle
	deadline float64 // s.now() until which its answers may lie unread; 0 while a task of it is open
}

// mute has nothing more read from a connection: where its messages end is unknown. What was read before is answered.
func (p *clientConn) mute() {
	p.muted = true
	p.server.muted = append(p.server.muted, mutedConn{id: p.id})
	p.server.scheduleTurn()
}

// maintainMuted ends those that have all they are owed. It is called behind the turn's writes.
func (s *Server) maintainMuted(now float64) {
	if len(s.muted) == 0 {
		return
	}
	s.muted = slices.DeleteFunc(s.muted, func(m mutedConn) bool { return s.clients.Get(m.id) == nil })
	for i := range s.muted { // those that end here leave the list in the next turn
		m := &s.muted[i]
		p := s.clients.Get(m.id)
		switch {
		case len(p.requests) > 0:
		case !p.unsent && p.conn.OutboundBuffered() == 0:
			p.closeGracefully()
		case m.deadline == 0:
			m.deadline = now + mutedFlushTimeout
			s.timers.Schedule(m.deadline, s.scheduleTurn)
		case now >= m.deadline:
			p.closeNow()
		}
	}
}

// closeAllGracefully shuts, just before the kill, whatever is owed nothing and has nothing to write.
func (s *Server) closeAllGracefully() {
	s.flush()
	s.clients.ForEach(func(_ slottable.Handle, p *clientConn) {
		if len(p.requests) == 0 && p.conn != nil && p.conn.OutboundBuffered() == 0 {
			p.closeGracefully()
		}
	})
}
