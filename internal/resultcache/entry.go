package resultcache

// State is the state of a cached request.
type State uint8

const (
	// Pending is the state of a request that is queued or running.
	Pending State = iota
	// Available is the state of a request whose result is in the cache.
	Available
	// Missing is the state of a request that is not in the cache, or that ended without a result. A
	// repeat of it may run.
	Missing
	// Unrepeatable is the state of a request that ran, must not run again and has no result in the
	// cache.
	Unrepeatable
)

// String returns the state's name in lower case.
func (s State) String() string {
	switch s {
	case Pending:
		return "pending"
	case Available:
		return "available"
	case Missing:
		return "missing"
	case Unrepeatable:
		return "unrepeatable"
	}
	return "unknown"
}

// key is shared by a request and its repeats.
type key struct {
	class   int
	subject string // the object of a read, or an idempotency key
}

// entry is a cached request. It is the original of the repeats that arrive until it expires.
type entry struct {
	key        key
	id         string  // ID of the request, after importedIDPrefix if it ran on another server
	expiresAt  float64 // seconds, on the caller's clock
	state      State
	result     []byte
	freshUntil float64  // seconds; time until which the result may answer repeats
	waiting    []string // IDs of the requests that wait for the result
	bodyHash   uint64
	runsOnce   bool // the request may run only once, so the entry is kept even if its result is evicted
}

// isUsable reports whether the entry may serve a repeat at now. A result that is no longer fresh
// may be used only if its request may run only once.
func (e *entry) isUsable(now float64) bool {
	return e.state != Available || now <= e.freshUntil || e.runsOnce
}

// stateWithoutResult returns the state of an entry whose result was dropped.
func (e *entry) stateWithoutResult() State {
	if e.runsOnce {
		return Unrepeatable
	}
	return Missing
}
