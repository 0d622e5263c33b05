package wire

import (
	"errors"
	"fmt"
)

// ErrMalformed is matched by every ProtocolError: the input can't be a message, so what follows it on the
// connection can't be parsed either.
var ErrMalformed = errors.New("malformed message")

// ProtocolError reports input that isn't a message of the protocol. It matches ErrMalformed and its cause.
type ProtocolError struct {
	Protocol string // the codec's name
	Offset   int    // bytes of the message that were read before the fault was found
	Err      error  // what is wrong
}

// Error names the protocol, the place and the cause.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("%s: %v at byte %d: %v", e.Protocol, ErrMalformed, e.Offset, e.Err)
}

// Unwrap returns ErrMalformed and the cause.
func (e *ProtocolError) Unwrap() []error { return []error{ErrMalformed, e.Err} }
