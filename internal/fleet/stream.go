package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// This file checks the head of a stream before memberlist reads it: memberlist allocates memory for the
// lengths that the head tells, up to 20 MiB, before it has read that much.

// The types of the messages that members send on streams, from memberlist's net.go. Labels, encryption and
// compression are not configured.
const (
	streamPing     = 0
	streamPushPull = 6
	streamUser     = 8
)

const (
	// maxStreamHeadBytes bounds the encoded head of a stream.
	maxStreamHeadBytes = 256
	// memberStateBytes is the memory of one member's state in a stream of the type streamPushPull.
	memberStateBytes = 256
)

// isWithin reports whether each length is at least 0 and at most limit, so that their sum does not
// overflow.
func (h *streamHead) isWithin(limit int) bool {
	least, most := min(h.UserMsgLen, h.UserStateLen, h.Nodes), max(h.UserMsgLen, h.UserStateLen, h.Nodes)
	return least >= 0 && most <= limit
}

// Reasons why a stream is closed.
var (
	errStreamType   = errors.New("not a type of stream that members send")
	errStreamLength = errors.New("negative length, or more than all streams may hold")
)

// streamHead is the head of a stream. Its fields are named as memberlist encodes them.
type streamHead struct {
	UserMsgLen   int
	Nodes        int
	UserStateLen int
}

// memory returns the memory that memberlist allocates for a stream with this head.
func (h *streamHead) memory() int { return h.UserMsgLen + h.UserStateLen + h.Nodes*memberStateBytes }

// checkedStream is a stream whose head was read; it is read again by memberlist.
type checkedStream struct {
	net.Conn
	input io.Reader // the head, then the rest of the stream
}

// Read reads from the stream.
func (s *checkedStream) Read(b []byte) (int, error) { return s.input.Read(b) }

// checkStream reads the head of a stream, and returns the stream as if it had not been read. It returns an
// error if the head is invalid, or tells more than all streams together may hold.
func checkStream(stream *limitedConn, timeout time.Duration) (net.Conn, error) {
	if err := stream.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	var read bytes.Buffer
	head, err := readStreamHead(io.TeeReader(stream, &read))
	if err != nil {
		return nil, err
	}
	if !head.isWithin(stream.limiter.maxBytes) || !stream.reserve(head.memory()) {
		return nil, fmt.Errorf("%w: %+v", errStreamLength, head)
	}
	return &checkedStream{stream, io.MultiReader(&read, stream)}, nil
}

// readStreamHead reads the head of a stream.
func readStreamHead(stream io.Reader) (head streamHead, err error) {
	stream = io.LimitReader(stream, maxStreamHeadBytes)
	var kind [1]byte
	if _, err := io.ReadFull(stream, kind[:]); err != nil {
		return head, err
	}
	switch kind[0] {
	case streamPing: // has no lengths
		return head, nil
	case streamPushPull, streamUser:
		return head, codec.NewDecoder(stream, &codec.MsgpackHandle{}).Decode(&head)
	}
	return head, fmt.Errorf("%w: %d", errStreamType, kind[0])
}
