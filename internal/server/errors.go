package server

import (
	"errors"
	"fmt"
)

// ErrLoopBusy is returned if the event loop does not apply new settings within applyTimeout. The loop
// may still apply them later.
var ErrLoopBusy = fmt.Errorf("the event loop did not apply the settings within %v", applyTimeout)

// Reasons why new settings can't be applied while serving.
var (
	errConnLimitToggled  = errors.New("door: can't be switched while serving; turning it on or off takes a restart")
	errConnLimitKeyFixed = errors.New(fixedConnLimitKeys + ": can't be changed while serving; a change takes a restart")
)

// Reasons why a client's connection was refused, or any connection closed for its backlog. The
// callers add counts and limits.
var (
	errBacklogTooLarge  = errors.New("the peer left too much output unread")
	errHoldingAreaFull  = errors.New("the connection was not admitted, and the holding area is full")
	errConnLimitReached = errors.New("the connection limit is reached, and no other connection can be evicted")
	errTooManyMessages  = fmt.Errorf("more than %d messages in %d bytes", maxMessagesPerRead, readBufferBytes)
	errTooManyInvalid   = fmt.Errorf("more than %d invalid requests in a row", maxInvalidInARow)
	errNoClientMemory   = errors.New("clients may not hold more memory")
)

// Reasons why a request is invalid; see also invalidFieldError, duplicateMessageError and
// clockSkewError.
var (
	errNotConfigured   = errors.New("not a configured name")
	errMissingTimeout  = errors.New("the timeout is missing, but this deployment propagates deadlines")
	errTooManyRequests = fmt.Errorf("the connection already has %d open requests, the most allowed", maxRequestsPerConn)
	errDuplicateID     = errors.New("another request with this ID is known")
	errAlreadyStarted  = errors.New("the request with this ID was started before, and must not run twice")
	errMissingKey      = errors.New("requests of this class need an idempotency key, and this one has none")
	errConflictingBody = errors.New("another request with the same idempotency key has a different body")
)

// Reasons why a connection that the server dialed ended. The callers add sizes and times.
var (
	errAddressChanged   = errors.New("the other side's address changed")
	errCallTimeout      = errors.New("the upstream call timed out")
	errCallEnded        = errors.New("the upstream call ended before its connection was open")
	errUnexpectedData   = errors.New("the upstream sent data that answers no call")
	errReportUnanswered = errors.New("the registry has not answered the last report")
	errUnterminatedLine = errors.New("the executor's line is too long")
	errClosedByPeer     = errors.New("the other side closed the connection")
)

// invalidFieldError is an invalid value in a field of a request.
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

// clockSkewError is the difference in seconds between a request's arrival time and the server's
// clock, where it exceeds maxClockSkewSeconds.
type clockSkewError float64

// Error tells the difference and the limit.
func (e clockSkewError) Error() string {
	return fmt.Sprintf("the arrival time differs from the server's clock by %.0f s; the limit is %d s",
		float64(e), maxClockSkewSeconds)
}

// duplicateMessageError is the message ID of a request that is already open on the same connection.
// The client could not tell the answers to the two requests apart.
type duplicateMessageError struct{ number uint64 }

// Error names the message ID.
func (e *duplicateMessageError) Error() string {
	return fmt.Sprintf("message ID %d belongs to a request that is still open on this connection", e.number)
}
