package simulator

import (
	"errors"
	"fmt"

	"swiftcourse/internal/wire"
)

// Causes of a malformed batch.
var (
	errBatchHead       = errors.New("batch lacks timeMs or inbox")
	errEventNotArray   = errors.New("not an array")
	errEventHead       = errors.New("lacks a name or an instance")
	errMissingSettings = errors.New("BORN lacks its settings")
)

// EventError reports an event of a batch that can't be read.
type EventError struct {
	Index int // in the batch
	Err   error
}

// Error names the event and the cause.
func (e *EventError) Error() string { return fmt.Sprintf("event %d: %v", e.Index, e.Err) }

// Unwrap returns the cause.
func (e *EventError) Unwrap() error { return e.Err }

// malformed returns the error for a line. Its offset is 0, as a line is parsed as a whole.
func malformed(cause error) error { return &wire.ProtocolError{Protocol: "simulator", Err: cause} }
