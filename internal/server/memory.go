package server

import (
	"fmt"
	"math/bits"

	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/rpc"
)

const (
	// clientMemoryDivisor is the divisor of the memory limit that bounds what clients make the server
	// hold: their requests, and input that is a part of a message.
	clientMemoryDivisor = 8
	// requestOverheadBytes is the memory of a request without its strings and its body: its entries in
	// the tables of the server and of the controller, its events and its answer.
	requestOverheadBytes = 1 << 10
	// forwardedCopies is how often a forwarder holds a request's content: as it arrived, in the message
	// to the worker, and in the encoded form of that message.
	forwardedCopies = 3
	// partialMessageCopies is how often the network library may hold input that is a part of a message.
	partialMessageCopies = 2
	// minPartialMessageBytes is the least memory that the network library allocates for such input.
	minPartialMessageBytes = 1 << 10
)

// reserveMemory reserves memory for a connection. It returns false, and reserves nothing, if that
// would exceed what clients may hold.
func (c *clientConn) reserveMemory(n int) bool {
	clients := &c.server.clients
	if !clients.memory.Reserve(n, int(c.heldBytes), clients.conns.Len()) {
		c.server.statistics.memoryRefusals++
		return false
	}
	c.heldBytes += int32(n)
	return true
}

// releaseMemory returns memory that was reserved for a connection.
func (c *clientConn) releaseMemory(n int) {
	c.server.clients.memory.Release(n)
	c.heldBytes -= int32(n)
}

// holdPartialMessage accounts for n bytes of input that are a part of a message, in place of those
// accounted for before. It returns an error if clients may not hold that much.
func (c *clientConn) holdPartialMessage(n int) error {
	held := partialMessageMemory(n)
	before := int(c.partialBytes)
	switch {
	case held < before:
		c.releaseMemory(before - held)
	case held > before && !c.reserveMemory(held-before):
		return fmt.Errorf("%w: %d bytes of a message, %d bytes held by all clients", errNoClientMemory, n,
			c.server.clients.memory.Used())
	}
	c.partialBytes = int32(held)
	return nil
}

// partialMessageMemory returns the memory that n bytes of an incomplete message take. The network
// library allocates powers of two.
func partialMessageMemory(n int) int {
	if n == 0 {
		return 0
	}
	return partialMessageCopies * max(minPartialMessageBytes, 1<<bits.Len(uint(n-1)))
}

// requestMemory returns the memory that a request takes until it is answered and its run has ended.
func (s *Server) requestMemory(message *rpc.Message) int {
	content := len(message.ID) + len(message.Subject) + len(message.Key) + len(message.Body)
	if s.fleet.forwarding != nil {
		content *= forwardedCopies
	}
	return requestOverheadBytes + content
}

// removeIfDone removes a request if it is answered and not running, and returns its memory.
func (s *Server) removeIfDone(request *requesttable.Request) {
	if !s.requests.RemoveIfDone(request) {
		return
	}
	if client := s.clients.conns.Get(request.Connection); client != nil {
		client.releaseMemory(request.HeldBytes)
	} else {
		s.clients.memory.Release(request.HeldBytes)
	}
	request.HeldBytes = 0
}

// rejectForMemory rejects a request for which the server has no memory; it never ran.
func (c *clientConn) rejectForMemory(number uint64, kind requestKind, now float64) {
	s := c.server
	s.countRejectedEarly(kind)
	report := s.health.loadReport
	report.RetryAfter = s.retryAfterOutOfService()
	c.rejectMessage(number, report, now)
}
