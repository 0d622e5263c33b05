package resultcache

// State is the state of a cached request.
type State uint8

const (
	// Pending is the state of a request that is queued or running.
	Pending State = iota
	// Available is the state of a request whose result is in the cache.
	Available
	// Missing is the state of a request that is not in the cache, or that ended and left no result.
	// Its repeat may run.
	Missing
	// Unrepeatable is the state of a request that ran, may not run again and has no result in the
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

// key is what a repeat has in common with its original.
type key struct {
	class   int
	subject string // what a read reads, or an idempotency key
}

// entry is a cached request, the original of the repeats that arrive until it expires.
type entry struct {
	key       key
	id        string  // of the request
	expiresAt float64 // seconds, on the caller's clock
	state     State
	result    []byte
	freshTo   float64  // seconds; the time until which the result may answer repeats
	waiting   []string // IDs of the requests that wait for the result
	bodyHash  uint64
	runsOnce  bool // it may run only once, so the entry outlives its result
}

// isUsable reports whether a repeat may use the entry at now: whether its result, if it has one, is
// fresh or that of a request that runs only once.
func (e *entry) isUsable(now float64) bool {
	return e.state != Available || now <= e.freshTo || e.runsOnce
}

// stateWithoutResult returns the state of an entry whose result was dropped.
func (e *entry) stateWithoutResult() State {
	if e.runsOnce {
		return Unrepeatable
	}
	return Missing
}
