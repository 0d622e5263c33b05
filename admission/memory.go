package admission

import "swiftcourse/internal/timewindow"

const (
	// maxRequestMemory is the fraction of the memory limit up to which requests are admitted
	// and started.
	maxRequestMemory = 0.95
	// maxDeduplicationMemory is the fraction of the memory limit up to which keys of deduplicated
	// requests are stored.
	maxDeduplicationMemory = 0.9
	// maxCacheMemory is the fraction of the memory limit up to which keys of cacheable requests
	// are stored. They only save repeated runs, so they get the least memory.
	maxCacheMemory = 0.5
	// keyExpiryToleranceSeconds is the time in seconds for which an expired key still counts as
	// used memory, as the key table may free it late.
	keyExpiryToleranceSeconds = 0.01
)

// memoryBudget accounts for the memory of requests and of the key table, in kilobytes.
type memoryBudget struct {
	limit         float64
	runningFactor float64 // ratio of the memory of a running request to that of a queued one
	requestMemory float64 // memory of all requests
	keyMemory     float64 // memory of one key
	keys          timewindow.ExpiringNames
}

func newMemoryBudget(settings *Settings) memoryBudget {
	return memoryBudget{
		limit:         settings.Memory.Limit,
		runningFactor: max(1, settings.Memory.RunningFactor),
		keyMemory:     settings.Memory.KeyEntryMemory,
	}
}

// sizeOf returns the memory that a request uses in its present state.
func (m *memoryBudget) sizeOf(r *request) float64 {
	if r.state&(stateQueued|stateCoalesced) != 0 {
		return r.memory
	}
	return r.memory * m.runningFactor
}

func (m *memoryBudget) reserve(r *request) { m.requestMemory += m.sizeOf(r) }
func (m *memoryBudget) release(r *request) { m.requestMemory -= m.sizeOf(r) }

// used returns the memory of all requests and keys.
func (m *memoryBudget) used() float64 { return m.requestMemory + float64(len(m.keys))*m.keyMemory }

// usedWithKey returns the value that used would have with one more key.
func (m *memoryBudget) usedWithKey() float64 { return m.used() + m.keyMemory }

// full reports whether no further request may be admitted for lack of memory.
func (m *memoryBudget) full() bool { return m.used() > maxRequestMemory*m.limit }

// fitsRun reports whether there is memory for a queued request to run.
func (m *memoryBudget) fitsRun(queued *request) bool {
	return m.used()+queued.memory*(m.runningFactor-1) <= maxRequestMemory*m.limit
}

// fitsDeduplicationKey reports whether there is memory for the key of one more deduplicated
// request.
func (m *memoryBudget) fitsDeduplicationKey() bool {
	return m.usedWithKey() <= maxDeduplicationMemory*m.limit
}

// fitsCacheKey reports whether there is memory for the key of one more cacheable request. The low
// limit leaves memory for requests.
func (m *memoryBudget) fitsCacheKey() bool { return m.usedWithKey() < maxCacheMemory*m.limit }

// storeKey adds a request to the key table for ttl seconds.
func (c *Controller) storeKey(r *request, ttl float64) {
	c.emit(Action{Kind: StoreKey, RequestID: r.id, Duration: ttl})
	c.memory.keys.Add(r.id, c.now+ttl+keyExpiryToleranceSeconds)
}

// deleteKey removes a request from the key table, if it is there.
func (c *Controller) deleteKey(r *request) {
	if c.memory.keys.Remove(r.id) {
		c.emit(Action{Kind: DeleteKey, RequestID: r.id})
	}
}
