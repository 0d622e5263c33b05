package routing

// Outcome is how an attempt at a worker ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Finished       Outcome = iota
	Rejected               // the worker did not execute it
	Failed                 // the worker executed it and reported a failure
	NotSent                // it was not sent
	ConnectionLost         // the connection broke; the worker may have executed it
	TimedOut               // there was no answer before the deadline
	Cancelled              // the client no longer waits
	outcomeCount
)

// String returns the outcome in words.
func (o Outcome) String() string {
	return [...]string{
		"finished", "rejected", "failed", "not sent", "connection lost", "timed out", "cancelled", "unknown",
	}[min(o, outcomeCount)]
}

// KnownNotExecuted reports whether the worker is known not to have executed the request.
func (o Outcome) KnownNotExecuted() bool { return o == Rejected || o == NotSent }
