package rpc

import (
	"errors"
	"fmt"

	"swiftcourse/internal/wire"
)

// Causes of a malformed message.
var (
	errFrame          = errors.New("not an array of type and contents")
	errRequestHead    = errors.New("wrong type of message id or method")
	errTooLong        = fmt.Errorf("over %d bytes", MaxFrame)
	errNotResponse    = errors.New("neither a response nor a notification")
	errErrorShape     = errors.New("an error without name and fields")
	errResultShape    = errors.New("a result without body and fields")
	errResultType     = errors.New("a result that is no bytes")
	errNoFields       = errors.New("no fields")
	errFieldsCutShort = errors.New("fields are cut short")
)

// What makes a whole request invalid, beside a FieldError.
var (
	errParameters   = errors.New("parameters are not fields and body")
	errMissingField = errors.New("a field is missing")
	errBodyType     = errors.New("the body is not bytes")
	errBodyTooLong  = fmt.Errorf("the body has over %d bytes", maxBody)
)

// Causes of a FieldError.
var (
	errNotString = errors.New("not a string")
	errNotID     = errors.New("not an id")
	errNegative  = errors.New("under 0")
)

// FieldError reports a field of a message whose value can't be taken.
type FieldError struct {
	Field string // its name on the wire
	Err   error
}

// Error names the field and the cause.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %v", e.Field, e.Err) }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// malformed returns the error for a message whose first offset bytes could be read.
func malformed(offset int, cause error) error {
	return &wire.ProtocolError{Protocol: "rpc", Offset: offset, Err: cause}
}
