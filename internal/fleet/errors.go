package fleet

import (
	"errors"
	"fmt"
)

// Errors of the control API and of the Node's queries. Callers test for them with errors.Is.
var (
	// ErrAgentBusy means that the agent did not accept a request within requestTimeout.
	ErrAgentBusy = errors.New("the fleet agent of this process is busy")
	// ErrAgentNotResponding means that the agent accepted a request but did not answer it in time, for
	// instance because it is restarting.
	ErrAgentNotResponding = errors.New("the fleet agent of this process is down")
	// ErrNoReleaseLog means that the release log is unknown, because no voter of a bootstrapped cluster
	// replied to the audit.
	ErrNoReleaseLog = errors.New("no voter of a joined cluster answered: nobody knows the release log")
	// ErrCountersDisabled means that counters are disabled at the process.
	ErrCountersDisabled = errors.New("nothing is counted: fleet-counts is off")
	// ErrTooManyRequests means that the control API was busy with other requests for controlTimeout.
	ErrTooManyRequests = errors.New("too many control requests at once")
)

// Reasons with which the agent itself rejects a command, without a decision of the leader.
const (
	reasonTooManyCommands = "too many commands are pending"
	reasonNoMajority      = "no majority of the voters answered in time; it may still be carried out"
)

// CommandRejectedError reports a command that was rejected, or whose result is unknown.
type CommandRejectedError struct {
	Reason string // reported by the leader, or one of the reasons above
}

// Error returns the reason.
func (e *CommandRejectedError) Error() string { return e.Reason }

// ControlError reports a control request to which the server responded with an error.
type ControlError struct {
	Addr    string // of the control API
	Status  string // HTTP status line
	Message string // the server's error message, "" if it sent none
}

// Error returns the server's message, or the address and the HTTP status if there is no message.
func (e *ControlError) Error() string {
	if e.Message != "" {
		return e.Message
	}
	return fmt.Sprintf("%s: %s", e.Addr, e.Status)
}
