// Package resultcache caches requests and their results, to answer requests that repeat them.
//
// A repeat is a request with the same class and subject as an earlier request, the original: the
// same read, or the same idempotency key. Instead of running, a repeat gets the result of its
// original, or waits for it. The memory for results is bounded. A request that may run only once
// stays in the cache for its whole deduplication window, even if its result was evicted.
//
// A Cache belongs to the event loop and is not safe for concurrent use. It reads no clock: all
// times are in seconds on the caller's clock.
package resultcache

import (
	"hash/maphash"
	"math"
	"slices"

	"swiftcourse/internal/requesttable"
)

// importedIDPrefix, followed by the request's ID, is the ID of the entry of a request that ran on
// another server.
const importedIDPrefix = "of "

// Cache holds the entries of requests by request ID, and by the class and subject that a request
// shares with its repeats.
type Cache struct {
	byKey       map[key]*entry
	byID        map[string]*entry
	withResults []*entry // entries with a result, the oldest result first
	bytes       int      // total size of the results, see sizeOf
	entryBytes  int      // total size of the entries without their results
	limits      Limits
	seed        maphash.Seed
}

// Limits bound the memory of a cache. A limit of 0 bytes or less on entries means no limit.
type Limits struct {
	// ResultBytes bounds the results. To stay within it the cache evicts the oldest results. The state of
	// a request whose result is evicted is Missing or, if it may run only once, Unrepeatable.
	ResultBytes int
	// EntryBytes bounds the entries without their results. Those of requests that may run more than once
	// are not added beyond half of it. See HasRoom for the others.
	EntryBytes int
}

// New returns an empty cache.
func New(limits Limits) *Cache {
	if limits.EntryBytes <= 0 {
		limits.EntryBytes = math.MaxInt
	}
	return &Cache{
		byKey:  map[key]*entry{},
		byID:   map[string]*entry{},
		limits: limits,
		seed:   maphash.MakeSeed(),
	}
}

// HasRoom reports whether there is room for the entry of one more request. Without it the caller must not
// accept a request that may run only once, as a repeat of the request could not be recognised; entries of
// those accepted before are always added.
func (c *Cache) HasRoom(subject string, runsOnce bool) bool {
	limit := c.limits.EntryBytes
	if !runsOnce {
		limit /= 2
	}
	return c.entryBytes+entrySize(subject) <= limit
}

// EntryBytes returns the total size of the entries without their results.
func (c *Cache) EntryBytes() int { return c.entryBytes }

// Len returns the number of entries.
func (c *Cache) Len() int { return len(c.byID) }

// Track adds a request as the original of the repeats that arrive until expiresAt. It replaces an
// earlier request with the same class and subject. If the request is already in the cache, only its
// expiry changes. With runsOnce the entry stays until it expires, unless the request ends without
// having run. A request without a subject is ignored, and so is one that may run more than once if there
// is no room.
func (c *Cache) Track(request *requesttable.Request, expiresAt float64, runsOnce bool) {
	if request.Subject == "" {
		return
	}
	if e := c.byID[request.ID]; e != nil {
		e.expiresAt = expiresAt
		return
	}
	if !runsOnce && !c.HasRoom(request.Subject, runsOnce) {
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

// Import adds the result of a request that ran on another server, to answer the repeats that arrive
// until expiresAt. It returns the ID of the entry.
func (c *Cache) Import(request *requesttable.Request, result []byte, expiresAt float64) (id string) {
	e := &entry{
		key:        keyOf(request),
		id:         importedIDPrefix + request.ID,
		expiresAt:  expiresAt,
		freshUntil: expiresAt,
		bodyHash:   c.hash(request.Body),
		runsOnce:   true,
	}
	c.add(e)
	c.storeResult(e, result)
	return e.id
}

// Remove removes an entry. If other requests wait for its result, the entry stays until Finish, but
// serves no further repeats.
func (c *Cache) Remove(id string) {
	e := c.byID[id]
	if e == nil {
		return
	}
	if c.byKey[e.key] == e {
		delete(c.byKey, e.key)
	}
	if len(e.waiting) == 0 {
		c.drop(e)
	}
}

// drop removes an entry that nobody waits for and that no key leads to.
func (c *Cache) drop(e *entry) {
	delete(c.byID, e.id)
	c.dropResult(e)
	c.entryBytes -= entrySize(e.key.subject)
}

// Original returns the ID of the request that a request with this class, subject and arrival time
// repeats, or "" if it repeats none.
func (c *Cache) Original(class int, subject string, arrivedAt, now float64) (id string) {
	e := c.byKey[key{class, subject}]
	if subject == "" || e == nil || e.state == Missing {
		return ""
	}
	if arrivedAt > e.expiresAt || !e.isUsable(now) {
		return ""
	}
	return e.id
}

// IsConflicting reports whether a request reuses the idempotency key of an earlier request, but has
// a different body.
func (c *Cache) IsConflicting(class int, subject string, body []byte, arrivedAt float64) bool {
	e := c.byKey[key{class, subject}]
	if e == nil || !e.runsOnce || arrivedAt > e.expiresAt || e.state == Missing {
		return false
	}
	return e.bodyHash != c.hash(body)
}

// LookupOrWait returns the state of the original of a request, and its result if available. If the
// original is pending, the request waits: Finish returns its ID once the original has ended.
func (c *Cache) LookupOrWait(request *requesttable.Request, now float64) ([]byte, State) {
	e := c.byKey[keyOf(request)]
	if e == nil || !e.isUsable(now) {
		return nil, Missing
	}
	if e.state == Pending {
		e.waiting = append(e.waiting, request.ID)
	}
	return e.result, e.state
}

// Outcome describes how a request ended.
type Outcome struct {
	Ran        bool    // its run started, or may have started
	Success    bool    // the request has a result
	Result     []byte  // copied by the cache
	FreshUntil float64 // seconds; time until which the result may answer repeats
}

// Finish records the outcome of a request and returns the IDs of the requests that wait for its
// result.
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
		finished.freshUntil = outcome.FreshUntil
		c.storeResult(finished, outcome.Result)
	case finished.runsOnce && outcome.Ran:
		finished.state = Unrepeatable
	case finished.runsOnce: // the request did not run, so a repeat may
		c.Remove(id)
		return waiting
	}
	if c.byKey[finished.key] != finished { // removed or replaced while others waited
		c.drop(finished)
	}
	return waiting
}

// Expire removes the entries whose expiry time has passed.
func (c *Cache) Expire(now float64) {
	for id, e := range c.byID {
		if now > e.expiresAt {
			c.Remove(id)
		}
	}
}

// add adds an entry and replaces an earlier one with the same key. The earlier one stays in byID
// while other requests wait for its result.
func (c *Cache) add(e *entry) {
	if old := c.byKey[e.key]; old != nil && len(old.waiting) == 0 {
		c.Remove(old.id)
	}
	c.byKey[e.key] = e
	c.byID[e.id] = e
	c.entryBytes += entrySize(e.key.subject)
}

// storeResult stores a copy of an entry's result, then drops the oldest results until the total
// size is within its limit.
func (c *Cache) storeResult(e *entry, result []byte) {
	e.state = Available
	e.result = append(make([]byte, 0, len(result)), result...)
	c.bytes += sizeOf(e.result)
	c.withResults = append(c.withResults, e)
	for c.bytes > c.limits.ResultBytes {
		c.dropResult(c.withResults[0])
	}
}

// dropResult drops an entry's result, if it has one.
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

// entryOverheadBytes is the size of an entry without its subject and its result: the entry, its ID, and
// its places in both maps.
const entryOverheadBytes = 512

// entrySize returns the size of an entry that counts towards Limits.EntryBytes.
func entrySize(subject string) int { return entryOverheadBytes + len(subject) }

// sizeOf returns the size that counts towards Limits.ResultBytes: one byte more than the result's length, so
// that the number of empty results is bounded too.
func sizeOf(result []byte) int { return len(result) + 1 }

func (c *Cache) hash(body []byte) uint64 { return maphash.Bytes(c.seed, body) }

func keyOf(request *requesttable.Request) key { return key{request.Class, request.Subject} }
