package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"swiftcourse/internal/wire/rpc"
)

const (
	// maxQueuedMessages limits the messages queued on a connection whose worker does not read. The
	// queue has room for some hundred requests.
	maxQueuedMessages = 256
	// dialTimeout limits one attempt to connect. The backoff between attempts doubles from
	// minRedialBackoff to maxRedialBackoff after failed dials, and is reset once a worker has responded.
	dialTimeout      = time.Second
	minRedialBackoff = 20 * time.Millisecond
	maxRedialBackoff = 500 * time.Millisecond
	// maxPartialMessageBytes limits the buffered part of an incomplete message, and readBufferBytes
	// the size of one read.
	maxPartialMessageBytes = 64 << 10
	readBufferBytes        = 16 << 10
)

var (
	// errMessageTooLong reports that an incomplete message exceeds maxPartialMessageBytes. The check
	// does not rely on the codec's own limits. No test covers it, as no input is known that exceeds
	// maxPartialMessageBytes without the codec rejecting it as malformed.
	errMessageTooLong = fmt.Errorf("incomplete message exceeds %d bytes", maxPartialMessageBytes)
	// errStopped reports that the dispatcher was stopped.
	errStopped = errors.New("dispatcher stopped")
)

// connection is one connection to a worker.
type connection struct {
	socket   net.Conn
	messages chan []byte   // encoded messages to be written
	closed   chan struct{} // closed by serve when the connection has ended

	maxQueuedBytes int64        // limit on queuedBytes
	queuedBytes    atomic.Int64 // of messages that are queued or being written
}

func newConnection(socket net.Conn, maxQueuedBytes int64) *connection {
	return &connection{
		socket:         socket,
		messages:       make(chan []byte, maxQueuedMessages),
		closed:         make(chan struct{}),
		maxQueuedBytes: maxQueuedBytes,
	}
}

// enqueue queues a message to be written. It returns false, without blocking, if the queue is full. Only
// the dispatcher's event loop calls it.
func (c *connection) enqueue(message []byte) bool {
	size := int64(len(message))
	if c.queuedBytes.Load()+size > c.maxQueuedBytes {
		return false
	}
	select {
	case c.messages <- message:
		c.queuedBytes.Add(size)
		return true
	default:
		return false
	}
}

// close closes the socket, which ends the goroutine that reads from it.
func (c *connection) close() { _ = c.socket.Close() }

// write writes the queued messages until the connection is closed.
func (c *connection) write() {
	for {
		select {
		case <-c.closed:
			return
		case batch := <-c.messages:
			for range len(c.messages) { // write all queued messages at once
				batch = append(batch, <-c.messages...)
			}
			_, err := c.socket.Write(batch)
			c.queuedBytes.Add(-int64(len(batch)))
			if err != nil {
				c.close()
				return
			}
		}
	}
}

// keepConnected connects to the worker and serves the connection until it ends. It repeats this until
// the dispatcher stops.
func (l *link) keepConnected() {
	backoff := minRedialBackoff
	for {
		socket, err := net.DialTimeout("tcp", l.worker.Addr, dialTimeout)
		if err != nil {
			if !l.sleep(backoff) {
				return
			}
			backoff = min(2*backoff, maxRedialBackoff)
			continue
		}
		if responded := l.serve(newConnection(socket, l.dispatcher.config.MaxQueuedBytes)); responded {
			backoff = minRedialBackoff
		}
		if !l.sleep(backoff) {
			return
		}
	}
}

// sleep waits for the duration and returns true. If the dispatcher stops it returns false at once.
func (l *link) sleep(duration time.Duration) bool {
	select {
	case <-l.dispatcher.stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// serve runs a connection until it ends, and reports whether the worker responded on it.
func (l *link) serve(c *connection) (responded bool) {
	go c.write()
	l.dispatcher.post(connectedEvent{link: l, connection: c})
	responded, err := l.read(c.socket)
	if err != nil {
		slog.Info("protocol_error", "worker", l.worker.Name, "addr", l.worker.Addr, "err", err)
	}
	c.close()
	close(c.closed)
	l.dispatcher.post(disconnectedEvent{link: l})
	return responded
}

// read passes the worker's responses to the dispatcher until the connection ends, and reports
// whether it read any. It returns an error only if the worker violated the protocol; the error
// wraps wire.ErrMalformed or is errMessageTooLong.
func (l *link) read(socket net.Conn) (responded bool, err error) {
	var input []byte
	chunk := make([]byte, readBufferBytes)
	for {
		size, err := socket.Read(chunk)
		if err != nil {
			return responded, nil
		}
		input = append(input, chunk[:size]...)
		consumed, err := l.deliverResponses(input)
		responded = responded || consumed > 0
		if errors.Is(err, errStopped) {
			return responded, nil
		}
		if err != nil {
			return responded, err
		}
		input = append(input[:0], input[consumed:]...)
	}
}

// deliverResponses passes the complete responses at the start of the input to the dispatcher, and
// returns the number of bytes consumed.
func (l *link) deliverResponses(input []byte) (consumed int, err error) {
	for consumed < len(input) {
		response, size, err := rpc.ParseResponse(input[consumed:])
		switch {
		case err != nil:
			return consumed, fmt.Errorf("parse response at byte %d of the input buffer: %w", consumed, err)
		case size == 0 && len(input)-consumed > maxPartialMessageBytes:
			return consumed, errMessageTooLong
		case size == 0:
			return consumed, nil
		}
		consumed += size
		response.Result = bytes.Clone(response.Result)
		if !l.dispatcher.post(responseEvent{link: l, response: response}) {
			return consumed, errStopped
		}
	}
	return consumed, nil
}
