package server

import (
	"errors"
	"fmt"
)

// ErrLoopBusy is returned if the loop does not get to a change of settings in time.
var ErrLoopBusy = errors.New("the server is too busy to change its settings now")

// Why settings can't be applied while serving.
var (
	errConnLimitToggled = errors.New("door: can't be switched while serving")
	errFixedKey         = errors.New(fixedConnLimitKeys + ": can't be changed while serving")
)

// Why a client's connection was refused or closed.
var (
	errBacklog         = errors.New("it does not read")
	errHoldingAreaFull = errors.New("no place, not even in the holding area")
	errNoDescriptor    = errors.New("no descriptor left for it")
)

// Why a request is invalid, see also invalidFieldError, duplicateMessageError and clockSkewError.
var (
	errUnknownName     = errors.New("unknown")
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
	reason error
}

// Unwrap returns the reason.
func (e *invalidFieldError) Unwrap() error { return e.reason }

// Error names the field, its value and the reason.
func (e *invalidFieldError) Error() string {
	return fmt.Sprintf("%s %.40q: %s", e.field, e.value, e.reason)
}

// clockSkewError is a request's time of arrival that is too many seconds away from now.
type clockSkewError float64

// Error tells how far away it is.
func (e clockSkewError) Error() string {
	return fmt.Sprintf("it came %.0f s from now", float64(e))
}

// duplicateMessageError is a message ID that is already open on its connection, where an answer
// would be taken for the other request's.
type duplicateMessageError struct{ number uint64 }

// Error names the message ID.
func (e *duplicateMessageError) Error() string {
	return fmt.Sprintf("message id %d is open already", e.number)
}
