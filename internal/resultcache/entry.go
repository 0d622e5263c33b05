package resultcache

// State tells what became of a cached request.
type State uint8

const (
	// Pending is a request that is queued or running.
	Pending State = iota
	// Available is one whose result is in the cache.
	Available
	// Missing is one that was forgotten, or that was abandoned and may run again.
	Missing
	// Unrepeatable is one that ran, may not run again, and has no result in the cache.
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

// key is what a repeat has in common with the request it repeats.
type key struct {
	class   int
	subject string // what a read is about, or an idempotency key
}

// entry is a cached request: repeats refer to it until it expires.
type entry struct {
	key       key
	id        string  // of the request
	expiresAt float64 // seconds, on the caller's clock
	state     State
	result    []byte
	freshTo   float64  // seconds; until then the result may be the answer to others
	waiting   []string // IDs of the requests that wait for the result
	bodyHash  uint64
	runsOnce  bool // it may run only once: that it ran is told to repeats even where there is no result for them
}

// isFresh reports whether the entry's result, if it has one, may answer a repeat at now.
func (e *entry) isFresh(now float64) bool {
	return e.state != Available || now <= e.freshTo || e.runsOnce
}

// stateWithoutResult is the entry's state once its result is gone.
func (e *entry) stateWithoutResult() State {
	if e.runsOnce {
		return Unrepeatable
	}
	return Missing
}
