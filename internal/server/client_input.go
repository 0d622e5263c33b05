package server

import (
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/slottable"
	"swiftcourse/internal/wire/rpc"
)

// This file handles the input of clients' connections.
//
// A client may have closed its connection behind input that has not been read yet, and of which a part may
// still be on its way. Its requests must not run then, but the server can't see the close before it has
// read the rest. So if a read brings as much as it can, the arrivals of the connection's requests are held
// back from the controller until no more input comes.

const (
	// maxMessagesPerRead bounds the messages that one read of readBufferBytes brings, and so how long a
	// connection keeps the others waiting. It is more than twice what fits if each request, which takes
	// over 100 bytes, is cancelled.
	maxMessagesPerRead = 512
	// maxInvalidInARow is how many invalid requests in a row a connection may send: twice as many as
	// may be open.
	maxInvalidInARow = 2 * maxRequestsPerConn
	// quietSeconds is how long no input may come before all is taken to be read: longer than the peer's
	// system takes to send what it has.
	quietSeconds = 0.002
	// maxArrivalHoldSeconds bounds how long an arrival is held back. It is less than what clients allow an
	// answer to be late.
	maxArrivalHoldSeconds = 0.02
)

// clientInput is what is known about the input of a connection.
type clientInput struct {
	bufferedBytes int32 // bytes that are buffered and were not handled
	awaitedBytes  int32 // length that the incomplete message at the start of the input has at least
	moreUnread    bool  // the last read brought as much as a read can, so more may be waiting
	invalidInARow uint8 // invalid requests since the last message of another kind
}

// heldArrivals are the requests of a connection whose arrivals are held back.
type heldArrivals struct {
	since      float64 // when the first of them was read
	lastReadAt float64 // when the connection's input was last read
	list       []heldArrival
}

// heldArrival is a request whose arrival is held back. The body of its message is the request's.
type heldArrival struct {
	request *requesttable.Request
	message rpc.Message
}

// handleInput implements connHandler. A message that arrives in small parts is not parsed anew with each
// of them.
func (c *clientConn) handleInput(buffered int) bool {
	c.input.moreUnread = buffered-int(c.input.bufferedBytes) >= readBufferBytes
	c.input.bufferedBytes = int32(buffered)
	if arrivals := c.server.clients.heldArrivals[c.id]; arrivals != nil {
		arrivals.lastReadAt = c.server.now()
	}
	return buffered >= int(c.input.awaitedBytes)
}

func (c *clientConn) handleData(data []byte) (n int, err error) {
	if c.state == connMuted {
		n = len(data)
	} else {
		n, err = c.handleMessages(data)
	}
	c.input.bufferedBytes = int32(len(data) - n)
	return n, err
}

// handleMessages handles the complete messages at the start of data, and returns their length in bytes.
func (c *clientConn) handleMessages(data []byte) (n int, err error) {
	now := c.server.now()
	c.input.awaitedBytes = 0
	for count := 0; n < len(data); count++ {
		message, size, err := rpc.ParseMessage(data[n:])
		switch {
		case err != nil:
			return n, err
		case size == 0:
			c.observe(connlimit.EventPartialMessage, now)
			awaited := len(data) - n + message.MissingBytes
			c.input.awaitedBytes = int32(awaited)
			return n, c.holdPartialMessage(awaited)
		case count == maxMessagesPerRead:
			return n, errTooManyMessages
		}
		n += size
		if err := c.handleMessage(&message, now); err != nil {
			return n, err
		}
	}
	return n, c.holdPartialMessage(0)
}

// mustHoldArrivals reports whether the arrivals of the connection's requests are to be held back.
func (c *clientConn) mustHoldArrivals() bool {
	return c.input.moreUnread || c.server.clients.heldArrivals[c.id] != nil
}

// holdArrival holds back the arrival of a request until no more input comes.
func (c *clientConn) holdArrival(request *requesttable.Request, message *rpc.Message) {
	s := c.server
	held := heldArrival{request: request, message: *message}
	held.message.Body = request.Body
	if arrivals := s.clients.heldArrivals[c.id]; arrivals != nil {
		arrivals.list = append(arrivals.list, held)
		return
	}
	now := s.now()
	s.clients.heldArrivals[c.id] = &heldArrivals{since: now, lastReadAt: now, list: []heldArrival{held}}
	s.checkArrivals(c.id)
}

// checkArrivals releases the arrivals that were held back for a connection if no input has come for
// quietSeconds, or if they were held back for long enough; else it schedules itself again.
func (s *Server) checkArrivals(connection slottable.Handle) {
	arrivals := s.clients.heldArrivals[connection]
	if arrivals == nil { // the connection has ended
		return
	}
	releaseAt := min(arrivals.lastReadAt+quietSeconds, arrivals.since+maxArrivalHoldSeconds)
	if s.now() >= releaseAt {
		s.releaseArrivals(connection)
		return
	}
	s.loop.timers.Schedule(releaseAt, func() { s.checkArrivals(connection) })
	s.scheduleTurn()
}

// releaseArrivals passes the arrivals that were held back for a connection to the controller, without
// those of requests that were answered or cancelled meanwhile.
func (s *Server) releaseArrivals(connection slottable.Handle) {
	arrivals := s.clients.heldArrivals[connection].list
	delete(s.clients.heldArrivals, connection)
	now := s.now()
	for i := range arrivals {
		held := &arrivals[i]
		if held.request.Answered {
			continue
		}
		// An arrival released before this one may have the same key.
		if err := s.validateKey(held.request.Class, &held.message); err != nil {
			s.statistics.invalid++
			s.respond(held.request, answerFailed, func(b []byte, number uint64) []byte {
				return rpc.AppendInvalid(b, number, s.health.loadReport)
			})
			continue
		}
		s.queueArrival(held.request, &held.message, now)
	}
}
