package server

import (
	"fmt"
	"slices"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"swiftcourse/internal/bytebudget"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/slottable"
	"swiftcourse/internal/wire/rpc"
)

// maxRequestsPerConn is how many requests the protocol allows to be open on one connection.
const maxRequestsPerConn = 32

// clientTable is the state of all clients' connections.
type clientTable struct {
	conns                  slottable.Table[clientConn]
	limiter                *connlimit.Limiter
	configuredHoldingSlots int // size of the holding area in the operator's settings
	requestLists           requesttable.ListPool
	memory                 *bytebudget.Budget                 // of requests, and of input that is a part of a message
	heldArrivals           map[slottable.Handle]*heldArrivals // by connection, see client_input.go
	muted                  []mutedConn
	lingering              []*lingeringConn // in order of their deadlines
}

// clientConn is a client's connection. It is small, as most connections are idle: the lists of its
// requests and the buffers of its output are taken from pools only while they are needed.
type clientConn struct {
	bufferedConn
	server     *Server
	id         slottable.Handle        // in clientTable.conns; the limiter knows the connection by its slot
	requests   []*requesttable.Request // open requests, in a list from requestLists; nil if none
	retryAfter float64                 // in seconds, if the connection was not admitted
	state      connState

	heldBytes    int32 // reserved in clientTable.memory
	partialBytes int32 // the part of heldBytes for input that is a part of a message
	input        clientInput
}

// addClient creates the handler of a client's new connection.
func (s *Server) addClient(conn gnet.Conn) *clientConn {
	if a, accepted := conn.Context().(*acceptor); accepted {
		<-a.pending
	}
	id, client := s.clients.conns.Add()
	client.server = s
	client.id = id
	conn.SetContext(client)
	return client
}

// slot returns the number that identifies the connection to the connection limiter.
func (c *clientConn) slot() int32 { return c.id.Slot() }

func (c *clientConn) handleOpen(conn gnet.Conn, _ string) error {
	server := c.server
	c.conn = conn
	c.state.advance(connOpened)
	if server.clients.limiter.HasRules() {
		return c.requestAdmission()
	}
	server.clients.limiter.HandleOpen(c.slot(), server.now())
	if server.clients.conns.Len() <= server.maxClients().conns {
		return nil
	}
	server.statistics.evicted++
	if victim := server.evictionCandidate(c); victim != nil {
		victim.closeNow()
		return nil
	}
	c.closeNow()
	limit := server.maxClients()
	return fmt.Errorf("%w: limit %d, by %s", errConnLimitReached, limit.conns, limit.bound)
}

// closeNow closes the connection without waiting for answers. Its slot is free at once, and no
// further input is handled: gnet closes the descriptor only after the turn, and a request that was
// read until then would run without being answered.
func (c *clientConn) closeNow() {
	conn := c.conn
	c.handleClose(nil)
	if conn != nil {
		_ = conn.Close()
	}
}

// closedByPeer reports whether the client has closed its side of the connection, even if the server has
// not read all input before that yet. It takes one system call.
func (c *clientConn) closedByPeer() bool {
	if c.conn == nil {
		return false
	}
	poll := []unix.PollFd{{Fd: int32(c.conn.Fd()), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(poll, 0)
	return err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

func (c *clientConn) handleClose(error) {
	if c.state.advance(connEnded) {
		c.leaveTable()
	}
}

// leaveTable removes the connection from the table and the limiter, and cancels its open requests.
func (c *clientConn) leaveTable() {
	s := c.server
	requests := c.requests
	if c.lagging {
		s.output.lagging = slices.DeleteFunc(s.output.lagging, func(other *bufferedConn) bool {
			return other == &c.bufferedConn
		})
	}
	c.release(&s.output.buffers)
	c.releaseMemory(int(c.partialBytes))
	s.clients.limiter.HandleClosed(c.slot())
	delete(s.clients.heldArrivals, c.id)
	s.clients.conns.Remove(c.id) // from here on c may be reused for another connection
	for _, request := range requests {
		s.cancelByClient(request)
	}
	s.clients.requestLists.Put(requests)
}

// handleMessage handles one complete message. An error means that the rest of the input can't be
// handled.
func (c *clientConn) handleMessage(message *rpc.Message, now float64) error {
	s := c.server
	if message.Kind != rpc.KindRequest {
		c.input.invalidInARow = 0
	}
	switch message.Kind {
	case rpc.KindRequest:
		return c.handleRequest(message, now)
	case rpc.KindCancel:
		c.observe(connlimit.EventMessage, now)
		if request := c.findRequest(message.Number); request != nil {
			c.removeRequest(request, now)
			s.cancelByClient(request)
		}
	case rpc.KindHealthCheck:
		c.observe(connlimit.EventRequest, now)
		scratch := s.output.scratch[:0]
		s.output.scratch = rpc.AppendHealth(scratch, message.Number, s.isHealthy(), s.health.loadReport)
		c.writeScratch()
	default:
		c.observe(connlimit.EventMessage, now)
	}
	return nil
}

// observe passes an event of the connection to the connection limiter.
func (c *clientConn) observe(input connlimit.Event, now float64) {
	c.server.clients.limiter.HandleEvent(c.slot(), input, now)
}

// writeScratch writes the message in the server's scratch buffer.
func (c *clientConn) writeScratch() { c.server.write(&c.bufferedConn, c.server.output.scratch) }

// findRequest returns the connection's open request with the given message ID, or nil.
func (c *clientConn) findRequest(number uint64) *requesttable.Request {
	for _, request := range c.requests {
		if request.MessageNumber == number {
			return request
		}
	}
	return nil
}

// addRequest adds an open request to the connection.
func (c *clientConn) addRequest(request *requesttable.Request, now float64) {
	if c.requests == nil {
		c.requests = c.server.clients.requestLists.Get()
	}
	c.requests = append(c.requests, request)
	c.observe(connlimit.EventRequestOpened, now)
}

// removeRequest removes a request from the connection.
func (c *clientConn) removeRequest(request *requesttable.Request, now float64) {
	if i := slices.Index(c.requests, request); i >= 0 {
		c.requests = slices.Delete(c.requests, i, i+1)
	}
	if len(c.requests) == 0 && c.requests != nil {
		c.server.clients.requestLists.Put(c.requests)
		c.requests = nil
		c.observe(connlimit.EventRequestsDone, now)
	}
}
