// Package requesttable holds the requests that a server is handling.
//
// A request is in the Table from its arrival until it is answered and its run has ended. The table
// and its requests belong to the event loop, which alone reads and changes them.
package requesttable

import "swiftcourse/internal/slottable"

// Request is the state of a request. All times are in seconds on the server's clock.
type Request struct {
	ID            string
	Connection    slottable.Handle // connection on which it arrived
	MessageNumber uint64           // number of its message on that connection
	Class         int              // index of its class in the settings
	Tenant        int32            // index of its tenant in the settings
	Subject       string           // the object of a read, or an idempotency key; "" for none
	ArrivedAt     float64
	Timeout       float64 // given by the client, from ArrivedAt; 0 for none
	Body          []byte
	HeldBytes     int // reserved for the request in the budget of its client's memory

	Answered bool // the request was answered, or its client no longer waits for the answer
	Running  bool // its run on the executor was started and has not ended

	LastCommand int    // sequence number of the last command to the executor for this request
	CommandSent bool   // the last command was written to a link, which may have lost it
	CallNotice  int64  // sequence number of the executor's notice that requested the latest call
	CallBody    []byte // body of the latest call
	CallSettled bool   // the latest call has ended, with or without a reply
	CallReply   []byte // reply to the latest call, if it has one

	sequence int // increases in the order of arrival
}
