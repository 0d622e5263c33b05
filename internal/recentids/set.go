// Package recentids remembers the IDs of requests that were started recently and must not be started
// again.
//
// A Set does no I/O, reads no clock and has no lock; one goroutine uses it, the event loop.
package recentids

import (
	"hash/maphash"
	"math"
	"slices"
)

const (
	// entryBytes is the memory of one ID in both the map and the queue of a Set, with their spare
	// capacity.
	entryBytes = 64
	// minCompactedLength is the length up to which a queue is not compacted.
	minCompactedLength = 16
)

// Set is a set of IDs that leave it after some time. It holds their hashes of 64 bits: an ID that is not
// in the set is taken for one that is with a probability of 1 in 2^64 for each ID in the set.
type Set struct {
	expiry   map[uint64]float64 // by hash
	queue    []entry            // in order of expiry; may contain as many removed IDs as others, see compact
	maxCount int
	seed     maphash.Seed
}

type entry struct {
	hash      uint64
	expiresAt float64 // seconds
}

// New returns an empty set, for which HasRoom is true up to about maxBytes of memory. A limit of 0 or
// less means no limit.
func New(maxBytes int) *Set {
	if maxBytes <= 0 {
		maxBytes = math.MaxInt
	}
	return &Set{expiry: map[uint64]float64{}, maxCount: maxBytes / entryBytes, seed: maphash.MakeSeed()}
}

// Add adds an ID until expiresAt, a time in seconds that must not decrease from call to call.
func (s *Set) Add(id string, expiresAt float64) {
	hash := maphash.String(s.seed, id)
	s.expiry[hash] = expiresAt
	s.queue = append(s.queue, entry{hash, expiresAt})
	if len(s.queue) > 2*len(s.expiry)+minCompactedLength {
		s.compact()
	}
}

// compact drops removed IDs from the queue.
func (s *Set) compact() {
	s.queue = slices.DeleteFunc(s.queue, func(e entry) bool {
		expiresAt, found := s.expiry[e.hash]
		return !found || expiresAt != e.expiresAt
	})
}

// Remove removes an ID if it is in the set.
func (s *Set) Remove(id string) { delete(s.expiry, maphash.String(s.seed, id)) }

// Contains reports whether an ID is in the set.
func (s *Set) Contains(id string) bool {
	_, found := s.expiry[maphash.String(s.seed, id)]
	return found
}

// HasRoom reports whether another ID may be added. The set does not forget an ID early to make room, as
// its request could then be started again.
func (s *Set) HasRoom() bool { return len(s.expiry) < s.maxCount }

// Len returns the number of IDs in the set.
func (s *Set) Len() int { return len(s.expiry) }

// Expire removes the IDs whose expiry time has passed.
func (s *Set) Expire(now float64) {
	expired := 0
	for ; expired < len(s.queue) && s.queue[expired].expiresAt <= now; expired++ {
		e := s.queue[expired]
		if s.expiry[e.hash] == e.expiresAt { // else it was removed, or added again
			delete(s.expiry, e.hash)
		}
	}
	s.queue = append(s.queue[:0], s.queue[expired:]...)
	if len(s.queue) == 0 {
		s.expiry = map[uint64]float64{} // a map keeps the memory of removed entries
		s.queue = nil
	}
}
