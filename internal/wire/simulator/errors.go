package simulator

import (
	"errors"
	"fmt"

	"swiftcourse/internal/wire"
)

// Causes of a malformed batch.
var (
	errBatchHead       = errors.New("batch has no key timeMs with a number or no key inbox with an array")
	errEventNotArray   = errors.New("event is not an array")
	errEventHead       = errors.New("event has no name or no instance")
	errMissingSettings = errors.New("event BORN has no settings")
)

// EventError reports an invalid event of a batch.
type EventError struct {
	Index int // index of the event in the batch
	Err   error
}

// Error names the index of the event and the cause.
func (e *EventError) Error() string { return fmt.Sprintf("event %d: %v", e.Index, e.Err) }

// Unwrap returns the cause.
func (e *EventError) Unwrap() error { return e.Err }

// malformed returns the error for a line. Its offset is 0 because a line is parsed as a whole.
func malformed(cause error) error { return &wire.ProtocolError{Protocol: "simulator", Err: cause} }
