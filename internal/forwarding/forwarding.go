// Package forwarding defines the messages between a server that forwards its requests and the
// forwarder that sends them to workers. They are plain values, owned by the receiver.
package forwarding

import (
	"swiftcourse/admission"
	"swiftcourse/internal/wire/rpc"
)

// Request is a request to be forwarded to a worker.
type Request struct {
	ID               string
	Class            int
	Message          rpc.Message // the forwarded message; the forwarder sets its number and times
	RemainingSeconds float64     // remaining budget: the time until the deadline of the result
}

// Result is the outcome of a forwarded request.
type Result struct {
	ID string
	// Outcome is Finished, Failed, Rejected (no worker accepted the request) or Cancelled (the
	// client no longer waits, or the deadline has passed).
	Outcome           admission.Outcome
	Body              []byte
	Seconds           float64 // since the request was dispatched
	RetryAfterSeconds float64 // for a rejected request, the time until a retry may succeed; 0 if unknown
}
