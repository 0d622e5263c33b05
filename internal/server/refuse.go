package server

import (
	"time"

	"golang.org/x/sys/unix"

	"swiftcourse/internal/wire/rpc"
)

const (
	// refusalReadTimeout is how long the acceptor waits for the first message on a connection that
	// was accepted with the spare descriptor.
	refusalReadTimeout = 10 * time.Millisecond
	// maxRefusedReads bounds how long one refused connection occupies the acceptor, in reads of
	// refusalBufferBytes each: twice what 32 requests with bodies of 2 KiB need.
	maxRefusedReads    = 32
	refusalBufferBytes = 4 << 10
)

// refusal is a connection that is being refused.
type refusal struct {
	socket     acceptedSocket
	deadline   time.Time // for the first message; the zero time for none
	buffer     [refusalBufferBytes]byte
	buffered   int  // number of bytes in buffer, the start of an incomplete message
	answered   bool // an answer was written
	discarding bool // after malformed input or an overlong message, all further input is discarded
}

// refuse answers the messages on a connection that can't be admitted, and closes it. It waits up to
// timeout for the first message. Requests are rejected: they never ran. All input is read before the
// close, as closing with unread input would reset the connection and drop the answers.
func refuse(socket acceptedSocket, timeout time.Duration) {
	defer func() { _ = unix.Close(socket.fd) }()
	r := refusal{socket: socket}
	if timeout > 0 {
		r.deadline = time.Now().Add(timeout)
	}
	for range maxRefusedReads {
		if !r.waitForInput() || !r.read() {
			return
		}
	}
}

// waitForInput waits for the first message until the deadline, if one is set. It returns false if
// there is no input.
func (r *refusal) waitForInput() bool {
	if r.deadline.IsZero() || r.answered {
		return true
	}
	left := max(0, time.Until(r.deadline))
	n, _ := unix.Poll([]unix.PollFd{{Fd: int32(r.socket.fd), Events: unix.POLLIN}}, int(left.Milliseconds()))
	return n > 0
}

// read reads once and answers the complete messages so far. It returns false if there is no more
// input.
func (r *refusal) read() bool {
	n, err := unix.Read(r.socket.fd, r.buffer[r.buffered:])
	if err != nil || n <= 0 {
		return false
	}
	if r.discarding {
		return true
	}
	answers, rest, err := refusalsFor(r.buffer[:r.buffered+n])
	if len(answers) > 0 { // so little fits a new connection's send buffer; an error means that the peer is gone
		_, _ = unix.Write(r.socket.fd, answers)
		r.answered = true
	}
	r.buffered = copy(r.buffer[:], rest)
	if err != nil || r.buffered == len(r.buffer) { // malformed input, or a message longer than the buffer
		r.buffered = 0
		r.discarding = true
	}
	return true
}

// refusalsFor returns the answers to the complete messages at the start of data, and the rest of
// data.
func refusalsFor(data []byte) (answers, rest []byte, err error) {
	for {
		message, size, err := rpc.ParseMessage(data)
		if err != nil || size == 0 {
			return answers, data, err
		}
		switch message.Kind {
		case rpc.KindRequest:
			answers = rpc.AppendRejected(answers, message.Number, rpc.ResponseMetadata{})
		case rpc.KindHealthCheck:
			answers = rpc.AppendHealth(answers, message.Number, true, rpc.ResponseMetadata{})
		}
		data = data[size:]
	}
}
