package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"swiftcourse/internal/wire/rpc"
)

const (
	// maxQueuedMessages bounds the messages that wait to be written to a worker that does not read:
	// some hundred requests.
	maxQueuedMessages = 256
	// dialTimeout bounds one dial. The backoff between two dials doubles from minRedialBackoff to
	// maxRedialBackoff.
	dialTimeout      = time.Second
	minRedialBackoff = 20 * time.Millisecond
	maxRedialBackoff = 500 * time.Millisecond
	// maxPartialMessage bounds the bytes of a message that is not complete yet, and readSize those
	// of one read.
	maxPartialMessage = 64 << 10
	readSize          = 16 << 10
)

var (
	// errMessageTooLong reports that an incomplete message exceeds maxPartialMessage. It holds
	// whatever the codec accepts; no input is known to cause it today, so no test does.
	errMessageTooLong = errors.New("message too long")
	// errStopped reports that the dispatcher was stopped.
	errStopped = errors.New("dispatcher stopped")
)

// connection is one connection to a worker.
type connection struct {
	socket   net.Conn
	messages chan []byte // encoded, to be written
	closed   chan struct{}
}

func newConnection(socket net.Conn) *connection {
	return &connection{
		socket:   socket,
		messages: make(chan []byte, maxQueuedMessages),
		closed:   make(chan struct{}),
	}
}

// enqueue queues a message to be written, and reports whether there was room.
func (c *connection) enqueue(message []byte) bool {
	select {
	case c.messages <- message:
		return true
	default:
		return false
	}
}

// close closes the socket; the goroutine that reads it ends then.
func (c *connection) close() { _ = c.socket.Close() }

// write writes the queued messages until the connection is closed.
func (c *connection) write() {
	for {
		select {
		case <-c.closed:
			return
		case batch := <-c.messages:
			for range len(c.messages) { // one write for all that is queued
				batch = append(batch, <-c.messages...)
			}
			if _, err := c.socket.Write(batch); err != nil {
				c.close()
				return
			}
		}
	}
}

// keepConnected dials the worker again and again until the dispatcher stops, and reads each
// connection to its end.
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
		if responded := l.serve(newConnection(socket)); responded {
			backoff = minRedialBackoff
		}
		if !l.sleep(backoff) {
			return
		}
	}
}

// sleep waits for the duration. It returns false at once if the dispatcher stops.
func (l *link) sleep(duration time.Duration) bool {
	select {
	case <-l.dispatcher.stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// serve uses a connection until it ends, and reports whether the worker responded on it.
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

// read hands the worker's responses to the dispatcher until the connection ends, and reports
// whether there was any. An error means that the worker violated the protocol: it wraps
// wire.ErrMalformed or is errMessageTooLong.
func (l *link) read(socket net.Conn) (responded bool, err error) {
	var input []byte
	chunk := make([]byte, readSize)
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

// deliverResponses hands the complete responses at the start of the input to the dispatcher, and
// returns how many bytes they take up.
func (l *link) deliverResponses(input []byte) (consumed int, err error) {
	for consumed < len(input) {
		response, size, err := rpc.ParseResponse(input[consumed:])
		switch {
		case err != nil:
			return consumed, fmt.Errorf("after %d bytes that are read: %w", consumed, err)
		case size == 0 && len(input)-consumed > maxPartialMessage:
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
