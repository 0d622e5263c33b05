package lease

// maxPending bounds the number of requests that wait for a reply. It covers the requests of two
// lease durations: a holder with a lease sends three requests in each.
const maxPending = 8

// requestTracker matches replies with their requests.
type requestTracker struct {
	// lastSent is the number of the latest request.
	lastSent uint64
	// lastRetried is the number of the latest request whose reply was VerdictRetry.
	lastRetried uint64
	// lastDecided is the number of the latest request whose reply had any other verdict.
	lastDecided uint64
	// nonce is the nonce of the latest reply that had one, 0 for none.
	nonce   uint64
	pending [maxPending]pendingRequest
}

// pendingRequest is a request whose reply may still arrive.
type pendingRequest struct {
	number uint64
	sentAt float64
}

// recordRequest records a new request and returns its number.
func (r *requestTracker) recordRequest(now float64) uint64 {
	r.lastSent++
	r.pending[r.lastSent%maxPending] = pendingRequest{number: r.lastSent, sentAt: now}
	return r.lastSent
}

// sentAt returns when a request was made, and whether it is pending. A request is not pending if it
// was never made, if maxPending newer ones were made, or if it is not newer than lastDecided.
func (r *requestTracker) sentAt(number uint64) (at float64, pending bool) {
	request := r.pending[number%maxPending]
	if number == 0 || request.number != number || number <= r.lastDecided {
		return 0, false
	}
	return request.sentAt, true
}
