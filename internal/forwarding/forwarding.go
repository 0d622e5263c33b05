// Package forwarding holds the messages between a server that forwards its requests and the
// forwarder that sends them to workers. They are plain values: whoever receives one owns it.
package forwarding

import (
	"swiftcourse/admission"
	"swiftcourse/internal/wire/rpc"
)

// Request is a request for a worker.
type Request struct {
	ID               string
	Class            int
	Message          rpc.Message // as it is forwarded; the forwarder sets its number and its times
	RemainingSeconds float64     // until its result has to be back
}

// Result is the outcome of a forwarded request.
type Result struct {
	ID string
	// Outcome is Finished, Failed, Rejected if no worker took the request, or Cancelled if its
	// client no longer waits or its deadline has passed.
	Outcome           admission.Outcome
	Body              []byte
	Seconds           float64 // since the request was dispatched
	RetryAfterSeconds float64 // if it was rejected: when to retry; 0 if that is unknown
}
