package wire

import (
	"errors"
	"fmt"
)

// ErrMalformed is matched by every ProtocolError. It means that the input is not a message of the
// protocol, so that the rest of the connection's input can't be parsed either.
var ErrMalformed = errors.New("malformed message")

// ProtocolError reports input that is not a message of the protocol. It matches ErrMalformed and
// its cause.
type ProtocolError struct {
	Protocol string // name of the codec
	Offset   int    // number of bytes of the message that were parsed before the error
	Err      error  // cause
}

// Error names the protocol, the offset and the cause.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("%s: %v at byte %d: %v", e.Protocol, ErrMalformed, e.Offset, e.Err)
}

// Unwrap returns ErrMalformed and the cause.
func (e *ProtocolError) Unwrap() []error { return []error{ErrMalformed, e.Err} }
