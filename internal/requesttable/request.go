// Package requesttable holds the requests that a server has in hand.
//
// A request is in the Table from its arrival until it is answered and its run is over. The table
// belongs to the event loop, which alone reads and changes it and its requests.
package requesttable

import "swiftcourse/internal/slottable"

// Request is what the server has to know of a request. All times are in seconds on the server's
// clock.
type Request struct {
	ID            string
	Connection    slottable.Handle // that it came on
	MessageNumber uint64           // of its message on that connection
	Class         int              // index of its class in the settings
	Tenant        int32            // index of its tenant in the settings
	Subject       string           // what a read is about, or an idempotency key; "" for none
	ArrivedAt     float64
	Timeout       float64 // seconds from ArrivedAt, as the client told; 0 where it did not
	Body          []byte  // from the buffer pool

	Answered bool // or nobody waits for the answer any more
	Running  bool // its run was asked for and has not ended

	LastCommand int   // number of the last command about it on the executor's link
	CallNotice  int64 // number of the notice by which its run asked for the latest call
	CallBody    []byte
	CallSettled bool // that call is over, with a reply or without
	CallReply   []byte

	sequence int // in the order of arrival
}
