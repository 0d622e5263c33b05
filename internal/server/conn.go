package server

import (
	"log/slog"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/internal/memory"
)

const (
	// maxClientBacklog bounds, in bytes, what waits for a client that does not read: 32 results of
	// 4 KiB and what goes with them. All together may leave an eighth of the memory unread, see
	// closeLargestBacklog.
	maxClientBacklog = 136 << 10
	// maxDialedBacklog is that for the connections that the server dialed: the commands for some
	// hundred requests, as after a pause of the other side, which a new connection would only have
	// to repeat.
	maxDialedBacklog = 1 << 20
)

// connHandler handles the events of one connection on the loop.
type connHandler interface {
	// handleOpen meets the open connection. The address is the one that was dialed, "" where a
	// client opened it. An error closes the connection.
	handleOpen(conn gnet.Conn, address string) error
	// handleData reads whole messages off the start of data, and returns how many bytes they took.
	handleData(data []byte) (int, error)
	// handleClose lets go of the connection, which closed with err, nil for an orderly close.
	handleClose(err error)
	// owns reports whether conn is the handler's connection, and not one that it has left.
	owns(conn gnet.Conn) bool
}

// bufferedConn is a connection, while it is open, and what waits to be written on it.
type bufferedConn struct {
	conn    gnet.Conn // nil once it is closed or left
	out     memory.WriteBuffer
	unsent  bool // it is in output.unflushed
	dialed  bool // by the server
	lagging bool // it is in output.lagging
}

func (c *bufferedConn) owns(conn gnet.Conn) bool { return c.conn == conn }

// release lets go of the connection; what was still to be written must not reach the next one.
func (c *bufferedConn) release(pool *memory.Pool) {
	c.conn = nil
	c.out.Release(pool)
}

// dialedConn is a connection that the server dialed.
type dialedConn struct {
	bufferedConn
	address string
}

// attach takes the open connection.
func (c *dialedConn) attach(conn gnet.Conn, address string) {
	c.conn = conn
	c.address = address
	c.dialed = true
}

// output is what waits to be written, and the buffers for it.
type output struct {
	buffers   memory.Pool
	scratch   []byte          // of the message that is being encoded
	unflushed []*bufferedConn // have something to write at the end of the turn
	lagging   []*bufferedConn // clients' connections that may have left something unread
}

// write puts bytes on a connection at the end of the turn.
func (s *Server) write(c *bufferedConn, data []byte) {
	if c.conn == nil {
		return
	}
	c.out.Append(&s.output.buffers, data)
	if !c.unsent {
		c.unsent = true
		s.output.unflushed = append(s.output.unflushed, c)
		s.scheduleTurn()
	}
}

// flush writes what waits, once a connection.
func (s *Server) flush() {
	unflushed := s.output.unflushed
	s.output.unflushed = nil
	for _, c := range unflushed {
		c.unsent = false
		if c.conn != nil && len(c.out.Buffers()) > 0 {
			s.flushConn(c)
		}
		c.out.Release(&s.output.buffers)
	}
	if s.output.unflushed == nil {
		s.output.unflushed = unflushed[:0]
	}
}

// flushConn writes what waits on one connection, and closes it where its peer leaves too much
// unread.
func (s *Server) flushConn(c *bufferedConn) {
	conn := c.conn
	_, err := conn.Writev(c.out.Buffers())
	backlog := conn.OutboundBuffered()
	if err != nil {
		return
	}
	limit := maxClientBacklog
	if c.dialed {
		limit = maxDialedBacklog
	}
	switch {
	case backlog > limit:
		slog.Info("connection_closed", "peer", conn.RemoteAddr(), "err", errBacklog)
		_ = conn.Close()
	case backlog > 0 && !c.dialed && !c.lagging:
		c.lagging = true
		s.output.lagging = append(s.output.lagging, c)
	}
}
