package rpc

import (
	"errors"
	"fmt"

	"swiftcourse/internal/wire"
)

// Causes of a malformed message.
var (
	errMessageShape = fmt.Errorf("message is not an array of %d or %d elements that starts with an integer type",
		notificationLength, requestLength)
	errRequestHead    = errors.New("message id is not an integer or method is not a string")
	errMessageTooLong = fmt.Errorf("message of more than %d bytes", MaxFrame)
	errNotResponse    = fmt.Errorf("message is neither a response (type %d) nor a notification (type %d)",
		typeResponse, typeNotification)
	errErrorShape      = errors.New("error of the response is not an array of name and fields")
	errResultShape     = errors.New("result of the response is not an array of body and fields")
	errResultType      = errors.New("result of the response is neither binary, string nor bool")
	errFieldsType      = errors.New("fields of the response are not a map")
	errFieldsTruncated = errors.New("fields are incomplete")
)

// Causes of an invalid request, in addition to FieldError.
var (
	errParameters    = errors.New("parameters are not an array of fields and body")
	errMissingField  = errors.New("a required field is missing")
	errTooManyFields = fmt.Errorf("more than %d fields", maxFields)
	errBodyType      = errors.New("body is neither binary nor a string")
	errBodyTooLong   = fmt.Errorf("body of more than %d bytes", maxBody)
)

// Causes of a FieldError.
var (
	errNotString = errors.New("value is not a string")
	errInvalidID = fmt.Errorf("id is not 1 to %d letters, digits, hyphens or underscores", maxID)
	errNegative  = errors.New("value is negative")
)

// FieldError reports a field with an invalid value.
type FieldError struct {
	Field string // name of the field on the wire
	Err   error
}

// Error names the field and the cause.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %v", e.Field, e.Err) }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// malformed returns the error for a message of which the first offset bytes were parsed.
func malformed(offset int, cause error) error {
	return &wire.ProtocolError{Protocol: "rpc", Offset: offset, Err: cause}
}
