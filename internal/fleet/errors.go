package fleet

import (
	"errors"
	"fmt"
)

// Errors of the control API and of the Node's queries, to be tested with errors.Is.
var (
	// ErrAgentBusy means that the agent did not accept a request in time.
	ErrAgentBusy = errors.New("the fleet agent of this process is busy")
	// ErrAgentDown means that a request was queued for the agent and not answered in time, for
	// instance as the agent restarts.
	ErrAgentDown = errors.New("the fleet agent of this process is down")
	// ErrNoReleaseLog means that no voter that has joined a cluster answered an audit, so that the
	// release log is unknown.
	ErrNoReleaseLog = errors.New("no voter of a joined cluster answered: nobody knows the release log")
	// ErrCountersOff means that counters are off at the process.
	ErrCountersOff = errors.New("nothing is counted: fleet-counts is off")
	// ErrTooManyRequests means that the control API serves maxControlRequests already.
	ErrTooManyRequests = errors.New("too many control requests at once")
)

// Reasons for which the agent rejects a command without the leader's decision.
const (
	reasonTooManyCommands = "too many commands are pending"
	reasonNoMajority      = "no majority of the voters answered in time; it may still be carried out"
)

// CommandRejectedError is a command that was not carried out, or is not known to have been.
type CommandRejectedError struct {
	Reason string // as the leader reported it, or one of the reasons above
}

// Error returns the reason.
func (e *CommandRejectedError) Error() string { return e.Reason }

// ControlError is a control request that the server answered with an error.
type ControlError struct {
	Addr    string // of the control API
	Status  string // of HTTP
	Message string // of the server, "" if it sent none
}

// Error returns the server's message if there is one, and otherwise where the request went and its
// status.
func (e *ControlError) Error() string {
	if e.Message != "" {
		return e.Message
	}
	return fmt.Sprintf("%s: %s", e.Addr, e.Status)
}
