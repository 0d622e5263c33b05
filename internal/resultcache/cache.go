// Package resultcache remembers requests and their results for those that repeat them.
//
// A repeat has the class and the subject of an earlier request: the same read, or the same
// idempotency key. It gets the result of the earlier one, or waits for it, instead of running
// again. Results take a bounded number of bytes; that a request which may run only once did run is
// remembered for its whole deduplication window, also without its result.
//
// A Cache belongs to the event loop, which alone calls it. It has no clock: all times are in
// seconds on the caller's.
package resultcache

import (
	"hash/maphash"
	"slices"

	"swiftcourse/internal/requesttable"
)

// Cache holds requests by their IDs and by what their repeats have in common with them.
type Cache struct {
	byKey       map[key]*entry
	byID        map[string]*entry
	withResults []*entry // those that hold a result, the oldest first
	bytes       int      // of results
	maxBytes    int
	seed        maphash.Seed
}

// New returns an empty cache that holds at most maxBytes of results. Where there would be more the
// oldest go, and their repeats fail.
func New(maxBytes int) *Cache {
	return &Cache{
		byKey:    map[key]*entry{},
		byID:     map[string]*entry{},
		maxBytes: maxBytes,
		seed:     maphash.MakeSeed(),
	}
}

// Len returns the number of entries.
func (c *Cache) Len() int { return len(c.byID) }

// Track adds a request that repeats may refer to until expiresAt, or gives its entry that lifetime.
// It takes the subject over from an earlier request. If runsOnce is set, repeats are told of it for
// its whole lifetime however it ends, unless it ends without having run. A request without a
// subject is ignored.
func (c *Cache) Track(request *requesttable.Request, expiresAt float64, runsOnce bool) {
	if request.Subject == "" {
		return
	}
	if e := c.byID[request.ID]; e != nil {
		e.expiresAt = expiresAt
		return
	}
	c.add(&entry{
		key:       keyOf(request),
		id:        request.ID,
		expiresAt: expiresAt,
		bodyHash:  c.hash(request.Body),
		runsOnce:  runsOnce,
	})
}

// Import adds the result of a request that ran on another server, for those that repeat it until
// expiresAt, and returns the ID of its entry.
func (c *Cache) Import(request *requesttable.Request, result []byte, expiresAt float64) (id string) {
	e := &entry{
		key:       keyOf(request),
		id:        "of " + request.ID,
		expiresAt: expiresAt,
		freshTo:   expiresAt,
		bodyHash:  c.hash(request.Body),
		runsOnce:  true,
	}
	c.add(e)
	c.storeResult(e, result)
	return e.id
}

// Remove removes an entry. One whose result others wait for stays until Finish, for them alone.
func (c *Cache) Remove(id string) {
	e := c.byID[id]
	if e == nil {
		return
	}
	if c.byKey[e.key] == e {
		delete(c.byKey, e.key)
	}
	if len(e.waiting) == 0 {
		delete(c.byID, id)
		c.dropResult(e)
	}
}

// Original returns the ID of the request that one with this class and subject repeats, or "".
func (c *Cache) Original(class int, subject string, arrivedAt, now float64) (id string) {
	e := c.byKey[key{class, subject}]
	if subject == "" || e == nil || e.state == Missing {
		return ""
	}
	if arrivedAt > e.expiresAt || !e.isFresh(now) {
		return ""
	}
	return e.id
}

// IsConflicting reports whether a request has the idempotency key of another one with a different
// body.
func (c *Cache) IsConflicting(class int, subject string, body []byte, arrivedAt float64) bool {
	e := c.byKey[key{class, subject}]
	if e == nil || !e.runsOnce || arrivedAt > e.expiresAt || e.state == Missing {
		return false
	}
	return e.bodyHash != c.hash(body)
}

// LookupOrWait returns the state and the result of the request that this one repeats. Where that is
// pending, Finish will list this request among those that wait.
func (c *Cache) LookupOrWait(request *requesttable.Request, now float64) ([]byte, State) {
	e := c.byKey[keyOf(request)]
	if e == nil || !e.isFresh(now) {
		return nil, Missing
	}
	if e.state == Pending {
		e.waiting = append(e.waiting, request.ID)
	}
	return e.result, e.state
}

// Outcome is how a request ended.
type Outcome struct {
	Ran     bool    // its run began, as far as is known
	Success bool    // it has a result
	Result  []byte  // copied by the cache
	FreshTo float64 // seconds; until then the result may be the answer to others
}

// Finish notes how a request ended and returns the IDs of those that wait for its result.
func (c *Cache) Finish(id string, outcome Outcome) (waiting []string) {
	finished := c.byID[id]
	if finished == nil || finished.state != Pending {
		return nil
	}
	waiting = finished.waiting
	finished.waiting = nil
	finished.state = Missing
	switch {
	case outcome.Success:
		finished.freshTo = outcome.FreshTo
		c.storeResult(finished, outcome.Result)
	case finished.runsOnce && outcome.Ran:
		finished.state = Unrepeatable
	case finished.runsOnce: // it never ran, so the next try may
		c.Remove(id)
		return waiting
	}
	if c.byKey[finished.key] != finished { // it was removed or replaced while others waited
		delete(c.byID, id)
		c.dropResult(finished)
	}
	return waiting
}

// Expire removes the entries whose lifetime has ended.
func (c *Cache) Expire(now float64) {
	for id, e := range c.byID {
		if now > e.expiresAt {
			c.Remove(id)
		}
	}
}

// add adds an entry, in place of an earlier one of its key that nobody waits for.
func (c *Cache) add(e *entry) {
	if old := c.byKey[e.key]; old != nil && len(old.waiting) == 0 {
		c.Remove(old.id)
	}
	c.byKey[e.key] = e
	c.byID[e.id] = e
}

// storeResult gives an entry its result; the oldest results go where all together would be too
// much.
func (c *Cache) storeResult(e *entry, result []byte) {
	e.state = Available
	e.result = append(make([]byte, 0, len(result)), result...)
	c.bytes += sizeOf(e.result)
	c.withResults = append(c.withResults, e)
	for c.bytes > c.maxBytes {
		c.dropResult(c.withResults[0])
	}
}

// dropResult lets go of an entry's result, if it has one.
func (c *Cache) dropResult(e *entry) {
	if e.result == nil {
		return
	}
	c.bytes -= sizeOf(e.result)
	e.result = nil
	if i := slices.Index(c.withResults, e); i >= 0 {
		c.withResults = slices.Delete(c.withResults, i, i+1)
	}
	e.state = e.stateWithoutResult()
}

// sizeOf is what a result counts towards the bound: one byte more than it has, so that empty ones
// are bounded too.
func sizeOf(result []byte) int { return len(result) + 1 }

func (c *Cache) hash(body []byte) uint64 { return maphash.Bytes(c.seed, body) }

func keyOf(request *requesttable.Request) key { return key{request.Class, request.Subject} }
