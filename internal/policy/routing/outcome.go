package routing

// Outcome is the outcome of an attempt at a worker.
type Outcome uint8

// The outcomes of an attempt.
const (
	Finished       Outcome = iota // the worker executed the request successfully
	Rejected                      // the worker did not execute the request
	Failed                        // the worker executed the request and reported a failure
	NotSent                       // the request was not sent
	ConnectionLost                // the connection broke; the worker may have executed the request
	TimedOut                      // no answer arrived before the deadline
	Cancelled                     // the client no longer waits for the result
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
