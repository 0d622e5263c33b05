package server

import (
	"errors"
	"fmt"
)

// ErrLoopBusy is returned if the loop does not get to a change of settings in time.
var ErrLoopBusy = errors.New("the server is too busy to change its settings now")

// Why a client's connection was refused or closed.
var (
	errBacklog         = errors.New("it does not read")
	errHoldingAreaFull = errors.New("no place, not even in the holding area")
	errNoDescriptor    = errors.New("no descriptor left for it")
)

// Why a request is invalid, see also invalidFieldError.
var (
	errMissingTimeout  = errors.New("its timeout is missing")
	errTooManyOpen     = fmt.Errorf("over %d requests open on its connection", maxRequestsPerConn)
	errDuplicateID     = errors.New("its id is that of another request")
	errMissingKey      = errors.New("its class needs an idempotency key")
	errConflictingBody = errors.New("its idempotency key is that of a request with another body")
)

// Why a connection that the server dialed ended.
var (
	errAddressMoved      = errors.New("the other side has a new address")
	errCallTimeout       = errors.New("its time is up")
	errNoPendingCall     = errors.New("no call is left for it")
	errUnexpectedReply   = errors.New("more than was asked for")
	errReportUnanswered  = errors.New("the last report was not answered")
	errUnterminatedLine  = errors.New("a line without end")
	errClosedByOtherSide = errors.New("the other side closed the connection")
)

// invalidFieldError is a request's field with an invalid value.
type invalidFieldError struct {
	field  string
	value  string
	reason string
}

// Error names the field, its value and the reason.
func (e *invalidFieldError) Error() string {
	return fmt.Sprintf("%s %.40q: %s", e.field, e.value, e.reason)
}

// duplicateMessageError is a message ID that is already open on its connection, where an answer
// would be taken for the other request's.
type duplicateMessageError struct{ number uint64 }

// Error names the message ID.
func (e *duplicateMessageError) Error() string {
	return fmt.Sprintf("message id %d is open already", e.number)
}
