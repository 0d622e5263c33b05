package server

import (
	"log/slog"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/internal/bufferpool"
)

const (
	// maxClientBacklog bounds the bytes that wait for a client that does not read: 32 results of 4
	// KiB and their framing. All clients together may leave an eighth of the memory unread, see
	// closeLargestBacklog.
	maxClientBacklog = 136 << 10
	// maxDialedBacklog is the bound for connections that the server dialed: the commands for some
	// hundred requests, as after a pause of the other side, which a new connection would only have
	// to repeat.
	maxDialedBacklog = 1 << 20
)

// connHandler handles the events of one connection on the loop.
type connHandler interface {
	// handleOpen takes over the open connection. The address is the dialed one, or "" if a client
	// opened the connection. An error closes it.
	handleOpen(conn gnet.Conn, address string) error
	// handleData consumes whole messages from the start of data, and returns how many bytes they
	// took. An error is a violation of the protocol.
	handleData(data []byte) (int, error)
	// handleClose gives up the connection, which closed with err, nil for an orderly close.
	handleClose(err error)
	// owns reports whether conn is the handler's present connection, rather than one that it gave
	// up.
	owns(conn gnet.Conn) bool
}

// bufferedConn is an open connection and the output that waits to be written on it.
type bufferedConn struct {
	conn      gnet.Conn // nil once it is closed or given up
	out       bufferpool.WriteBuffer
	unflushed bool // it is in output.unflushed
	dialed    bool // by the server
	lagging   bool // it is in output.lagging
}

func (c *bufferedConn) owns(conn gnet.Conn) bool { return c.conn == conn }

// release gives up the connection. It drops the pending output, which must not reach the next
// connection.
func (c *bufferedConn) release(pool *bufferpool.Pool) {
	c.conn = nil
	c.out.Release(pool)
}

// dialedConn is a connection that the server dialed.
type dialedConn struct {
	bufferedConn
	address string
}

// attach takes over an open connection.
func (c *dialedConn) attach(conn gnet.Conn, address string) {
	c.conn = conn
	c.address = address
	c.dialed = true
}

// output is the pending output of all connections, and the buffers for it.
type output struct {
	buffers   bufferpool.Pool
	scratch   []byte          // for the message that is being encoded
	unflushed []*bufferedConn // with output for the end of the turn
	lagging   []*bufferedConn // clients' connections that may have a backlog
}

// write appends data to a connection's output, which is flushed at the end of the turn.
func (s *Server) write(c *bufferedConn, data []byte) {
	if c.conn == nil {
		return
	}
	c.out.Append(&s.output.buffers, data)
	if !c.unflushed {
		c.unflushed = true
		s.output.unflushed = append(s.output.unflushed, c)
		s.scheduleTurn()
	}
}

// flush writes the pending output, with one write per connection.
func (s *Server) flush() {
	unflushed := s.output.unflushed
	s.output.unflushed = nil
	for _, c := range unflushed {
		c.unflushed = false
		if c.conn != nil && len(c.out.Buffers()) > 0 {
			s.flushConn(c)
		}
		c.out.Release(&s.output.buffers)
	}
	if s.output.unflushed == nil {
		s.output.unflushed = unflushed[:0]
	}
}

// flushConn writes the pending output of one connection, and closes it if its peer leaves too much
// unread.
func (s *Server) flushConn(buffered *bufferedConn) {
	conn := buffered.conn
	_, err := conn.Writev(buffered.out.Buffers())
	backlog := conn.OutboundBuffered()
	if err != nil {
		return
	}
	limit := maxClientBacklog
	if buffered.dialed {
		limit = maxDialedBacklog
	}
	switch {
	case backlog > limit:
		slog.Info("connection_closed", "peer", conn.RemoteAddr(), "err", errBacklog)
		_ = conn.Close()
	case backlog > 0 && !buffered.dialed && !buffered.lagging:
		buffered.lagging = true
		s.output.lagging = append(s.output.lagging, buffered)
	}
}
