package serve

import (
	"slices"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"swiftcourse/internal/memory"
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
	// closeFor is how long, in seconds, a connection whose side of ours is shut may take to end: twice the 50 ms in which something may
	// cross a close.
	closeFor = 0.1
	// flushFor is for how long, in seconds, answers to one that sent what is no message may lie unread.
	flushFor = 1.0
	// maxClosing bounds the descriptors that connections hold while they close: half of the spare ones. Past it the oldest is closed at
	// once, which resets it at the worst; a server that leaves needs none of them.
	maxClosing = spareSockets / 2
)

// closing is a connection that has left the table of peers and whose own end is awaited.
type closing struct {
	server *Server
	conn   gnet.Conn
	until  float64 // s.now() at which it is closed whatever its peer does
}

func (c *closing) opened(gnet.Conn, string) error { return nil }

func (c *closing) has(conn gnet.Conn) bool { return c.conn == conn }

// take throws away what came across the close.
func (c *closing) take(b []byte) (int, error) { return len(b), nil }

func (c *closing) closed(error) {
	s := c.server
	c.conn = nil
	s.closing = slices.DeleteFunc(s.closing, func(other *closing) bool { return other == c })
}

// end closes it now.
func (c *closing) end() {
	conn := c.conn
	c.closed(nil)
	_ = conn.Close()
}

// shutDown ends a connection that is owed nothing and has nothing to write: its place is free at once.
func (p *peer) shutDown() {
	s, conn := p.server, p.conn
	p.closed(nil)
	if conn == nil {
		return
	}
	if err := unix.Shutdown(conn.Fd(), unix.SHUT_WR); err != nil { // its peer was quicker
		_ = conn.Close()
		return
	}
	c := &closing{server: s, conn: conn, until: s.now() + closeFor}
	conn.SetContext(c)
	if s.closing = append(s.closing, c); len(s.closing) == 1 {
		s.timers.Schedule(c.until, s.endClosing)
		s.wake()
	}
	if len(s.closing) > maxClosing && !s.parting {
		s.closing[0].end()
	}
}

// endClosing closes those whose time is over; they are in the order in which they began.
func (s *Server) endClosing() {
	now := s.now()
	for len(s.closing) > 0 && s.closing[0].until <= now {
		s.closing[0].end()
	}
	if len(s.closing) > 0 {
		s.timers.Schedule(s.closing[0].until, s.endClosing)
	}
}

// muted is a peer that sent what is no message.
type muted struct {
	name  memory.Handle
	until float64 // s.now() until which its answers may lie unread; 0 while a task of it is open
}

// mute has nothing more read from a connection: where its messages end is unknown. What was read before is answered.
func (p *peer) mute() {
	p.muted = true
	p.server.muted = append(p.server.muted, muted{name: p.name})
	p.server.wake()
}

// tendMuted ends those that have all they are owed. It is called behind the turn's writes.
func (s *Server) tendMuted(now float64) {
	if len(s.muted) == 0 {
		return
	}
	s.muted = slices.DeleteFunc(s.muted, func(m muted) bool { return s.peers.Get(m.name) == nil })
	for i := range s.muted { // those that end here leave the list in the next turn
		m := &s.muted[i]
		p := s.peers.Get(m.name)
		switch {
		case len(p.open) > 0:
		case !p.unsent && p.conn.OutboundBuffered() == 0:
			p.shutDown()
		case m.until == 0:
			m.until = now + flushFor
			s.timers.Schedule(m.until, s.wake)
		case now >= m.until:
			p.end()
		}
	}
}

// shutDownAll shuts, just before the kill, whatever is owed nothing and has nothing to write.
func (s *Server) shutDownAll() {
	s.flush()
	s.peers.ForEach(func(_ memory.Handle, p *peer) {
		if len(p.open) == 0 && p.conn != nil && p.conn.OutboundBuffered() == 0 {
			p.shutDown()
		}
	})
}
