package admission

import "swiftcourse/internal/timewindow"

const (
	// maxRequestMemory is the fraction of the memory limit up to which requests are admitted.
	maxRequestMemory = 0.95
	// maxDeduplicationMemory is the fraction of the limit up to which keys of deduplicated requests
	// are stored.
	maxDeduplicationMemory = 0.9
	// maxCacheMemory is the fraction of the limit up to which keys are stored that only spare a
	// repeated run.
	maxCacheMemory = 0.5
	// keyLinger is for how many seconds a key still counts after its time in the key table is over:
	// the table may free it late.
	keyLinger = 0.01
)

// memoryBudget accounts for the memory of requests and of the key table, in kilobytes.
type memoryBudget struct {
	limit         float64
	runningFactor float64 // memory of a running request over that of a queued one
	requestMemory float64 // memory of all requests
	keyMemory     float64 // of one key
	keys          timewindow.ExpiringNames
}

func newMemoryBudget(settings *Settings) memoryBudget {
	return memoryBudget{
		limit:         settings.Memory.Limit,
		runningFactor: max(1, settings.Memory.RunningFactor),
		keyMemory:     settings.Memory.PerKey,
	}
}

// sizeOf returns the memory that a request takes in its present state.
func (m *memoryBudget) sizeOf(r *request) float64 {
	if r.state&(stateQueued|stateCoalesced) != 0 {
		return r.memory
	}
	return r.memory * m.runningFactor
}

func (m *memoryBudget) reserve(r *request) { m.requestMemory += m.sizeOf(r) }
func (m *memoryBudget) release(r *request) { m.requestMemory -= m.sizeOf(r) }

// used is the memory of all requests and keys.
func (m *memoryBudget) used() float64 { return m.requestMemory + float64(len(m.keys))*m.keyMemory }

// usedWithKey is what used would be with one more key.
func (m *memoryBudget) usedWithKey() float64 { return m.used() + m.keyMemory }

// full reports whether no further request fits.
func (m *memoryBudget) full() bool { return m.used() > maxRequestMemory*m.limit }

// fitsRun reports whether a queued request still fits once it runs.
func (m *memoryBudget) fitsRun(queued *request) bool {
	return m.used()+queued.memory*(m.runningFactor-1) <= maxRequestMemory*m.limit
}

// fitsDeduplicationKey reports whether the key of one more deduplicated request fits.
func (m *memoryBudget) fitsDeduplicationKey() bool {
	return m.usedWithKey() <= maxDeduplicationMemory*m.limit
}

// fitsCacheKey reports whether one more key fits that only spares a run, so that it takes no memory
// that requests need.
func (m *memoryBudget) fitsCacheKey() bool { return m.usedWithKey() < maxCacheMemory*m.limit }

// storeKey puts a request into the key table for ttl seconds.
func (c *Controller) storeKey(r *request, ttl float64) {
	c.emit(Action{Kind: StoreKey, RequestID: r.id, Duration: ttl})
	c.memory.keys.Add(r.id, c.now+ttl+keyLinger)
}

// deleteKey takes a request out of the key table, if it is there.
func (c *Controller) deleteKey(r *request) {
	if c.memory.keys.Remove(r.id) {
		c.emit(Action{Kind: DeleteKey, RequestID: r.id})
	}
}
