package server

import (
	"fmt"
	"log/slog"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/internal/bufferpool"
	"swiftcourse/internal/wire/rpc"
)

const (
	// unflushedMemoryDivisor is the divisor of the memory limit that bounds the output which waits for the
	// end of the turn. Beyond it the output is written at once.
	unflushedMemoryDivisor = 32
	// libraryWriteBufferBytes is the size of the first buffer in which the network library keeps a
	// connection's backlog. Beyond it the backlog is kept in pieces of the size that they have.
	libraryWriteBufferBytes = 8 << 10
	// readBufferBytes is how much is read from a connection at a time: the longest message. Then the other
	// connections have their turn.
	readBufferBytes = rpc.MaxFrame
	// maxClientBacklogBytes bounds the bytes that a client may leave unread: 32 results of 4 KiB with
	// their framing. See closeLargestBacklogs for the bound on all clients together.
	maxClientBacklogBytes = 136 << 10
	// maxDialedBacklogBytes is the bound for connections that the server dialed. It holds the commands
	// for some hundred requests, which may gather while the other side pauses: closing the
	// connection would only make the server send them again on a new one.
	maxDialedBacklogBytes = 1 << 20
)

// connHandler handles the events of one connection on the loop.
type connHandler interface {
	// handleOpen is called when the connection is open. The address is the dialed one, or "" if a
	// client opened the connection. The connection is closed if it returns an error.
	handleOpen(conn gnet.Conn, address string) error
	// handleData handles the complete messages at the start of data, and returns their length in
	// bytes. An error means that the peer violated the protocol.
	handleData(data []byte) (int, error)
	// handleClose is called when the connection has closed; err is nil after an orderly close.
	handleClose(err error)
	// handleInput is called when input was read; buffered is the number of bytes that wait to be handled
	// now. It returns whether handleData is to be called with them.
	handleInput(buffered int) bool
	// owns reports whether conn is the handler's present connection. It is false for a connection
	// that the handler has released.
	owns(conn gnet.Conn) bool
}

// bufferedConn is a connection and its pending output.
type bufferedConn struct {
	conn      gnet.Conn // nil once it is closed or released
	out       bufferpool.WriteBuffer
	unflushed bool // the connection is in output.unflushed
	dialed    bool // the server dialed the connection
	lagging   bool // the connection is in output.lagging
}

// handleInput implements connHandler: nothing is known about the next message.
func (c *bufferedConn) handleInput(int) bool { return true }

func (c *bufferedConn) owns(conn gnet.Conn) bool { return c.conn == conn }

// release detaches the connection, and drops the pending output so that it is not sent on the next
// connection of the same handler.
func (c *bufferedConn) release(pool *bufferpool.Pool) {
	c.conn = nil
	c.out.Release(pool)
}

// dialedConn is a connection that the server dialed.
type dialedConn struct {
	bufferedConn
	address string
}

// attach sets the open connection and its dialed address.
func (c *dialedConn) attach(conn gnet.Conn, address string) {
	c.conn = conn
	c.address = address
	c.dialed = true
}

// output is the pending output of all connections, and the buffers for it.
type output struct {
	buffers   bufferpool.Pool
	scratch   []byte          // for the message that is being encoded
	unflushed []*bufferedConn // connections to flush at the end of the turn
	lagging   []*bufferedConn // clients' connections that may have a backlog

	maxUnflushedBuffers int // buffers of output that may wait for the end of the turn; 0 for no limit
}

func newOutput(memoryBytes int64) output {
	return output{maxUnflushedBuffers: int(memoryBytes / unflushedMemoryDivisor / bufferpool.Size)}
}

// flushIfLarge writes the pending output of all connections if too much of it waits for the end of the
// turn. No handler of a connection may be running, as a write that fails closes its connection.
func (s *Server) flushIfLarge() {
	if limit := s.output.maxUnflushedBuffers; limit > 0 && s.output.buffers.InUse > limit {
		s.flush()
	}
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

// flush writes the pending output of all connections, with one write for each.
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
	s.closeLargestBacklogs()
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
	limit := maxClientBacklogBytes
	if buffered.dialed {
		limit = maxDialedBacklogBytes
	}
	switch {
	case backlog > limit:
		slog.Info("connection_closed", "peer", conn.RemoteAddr(),
			"err", fmt.Errorf("%w: %d bytes, limit %d bytes", errBacklogTooLarge, backlog, limit))
		_ = conn.Close()
	case backlog > 0 && !buffered.dialed && !buffered.lagging:
		buffered.lagging = true
		s.output.lagging = append(s.output.lagging, buffered)
	}
}
