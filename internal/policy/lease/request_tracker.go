package lease

// maxPending bounds the requests that wait for a reply: about those of two leases.
const maxPending = 8

// requestTracker matches replies to the requests that they answer.
type requestTracker struct {
	// lastSent is the number of the newest request.
	lastSent uint64
	// lastRetried is the newest request that was answered by VerdictRetry.
	lastRetried uint64
	// lastDecided is the newest request that was answered by any other verdict.
	lastDecided uint64
	// nonce is the latest that a reply asked to repeat, 0 for none.
	nonce   uint64
	pending [maxPending]pendingRequest
}

// pendingRequest is a request that may still be answered.
type pendingRequest struct {
	number uint64
	sentAt float64
}

// send records a new request and returns its number.
func (r *requestTracker) send(now float64) uint64 {
	r.lastSent++
	r.pending[r.lastSent%maxPending] = pendingRequest{number: r.lastSent, sentAt: now}
	return r.lastSent
}

// sentAt returns when a request was made, and whether a reply may still decide it. A request is not
// pending if it is too old, was never made, or is older than one that is decided already.
func (r *requestTracker) sentAt(number uint64) (at float64, pending bool) {
	request := r.pending[number%maxPending]
	if number == 0 || request.number != number || number <= r.lastDecided {
		return 0, false
	}
	return request.sentAt, true
}
