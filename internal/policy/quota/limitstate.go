package quota

import (
	"math"
	"slices"
)

// limitState is one limit at the grantor.
type limitState struct {
	limit       *Limit
	pool        float64
	floor       float64                // of each server
	allocations map[uint64]*allocation // by the holder's incarnation
	committed   float64                // sum over the allocations; what expired since the last division still counts
	division    division
	dividedAt   float64
	stale       bool // a holder's demand changed since then
}

// division is how the pool is divided among the holders.
type division struct {
	maxNeed  float64 // no holder's need counts beyond this
	headroom float64 // fraction of its demand that each holder gets beyond its need
}

const (
	// maxHeadroom lets a holder's swings pass without another request, as a fraction of its demand.
	maxHeadroom = 0.25
	// divisionSeconds is how long a division counts: it is made 20 times a second whatever the number
	// of holders.
	divisionSeconds = 0.05
	// maxEagerHolders is up to how many holders the pool is divided anew at each change of a demand.
	maxEagerHolders = 64
	// maxHolders bounds the holders of one limit.
	maxHolders = 4096
)

func newLimitState(config *Config, limit *Limit) *limitState {
	return &limitState{
		limit:       limit,
		pool:        config.pool(limit),
		floor:       config.FloorPerServer(limit),
		allocations: map[uint64]*allocation{},
		dividedAt:   math.Inf(-1),
	}
}

// leaseExpiry is when a lease that began at start has surely expired by any clock, and what was in use
// under it is over.
func (s *limitState) leaseExpiry(start, leaseSeconds float64) float64 {
	return s.lingerEnd(start + leaseSeconds*(1+maxClockDrift))
}

// lingerEnd is when what was in use at a moment is surely over by any clock.
func (s *limitState) lingerEnd(moment float64) float64 {
	return moment + s.limit.LingerSeconds*(1+maxClockDrift)
}

// allocationOf returns a holder's allocation, a new one where it has none, nil where there are too many.
func (s *limitState) allocationOf(incarnation uint64, now, leaseSeconds float64) *allocation {
	if known := s.allocations[incarnation]; known != nil {
		return known
	}
	if len(s.allocations) >= maxHolders {
		s.expireAllocations(now, leaseSeconds)
	}
	if len(s.allocations) >= maxHolders {
		return nil
	}
	added := newAllocation()
	s.allocations[incarnation] = added
	return added
}

// setRequested notes a holder's demand.
func (s *limitState) setRequested(a *allocation, requested float64) {
	requested = clamp(requested, s.limit.Max)
	if requested == a.requested {
		return
	}
	a.requested = requested
	a.need = max(0, requested-s.floor)
	s.stale = true
}

// settle drops the leases that the holder can't be using any more. Of a concurrent limit as much stays
// committed as the holder says is in use; where it says less than it may have begun to use meanwhile,
// that counts until it is surely over.
func (s *limitState) settle(now float64, a *allocation, demand *Demand) {
	before := a.committed(now)
	a.dropLeasesBefore(demand.GrantNumber, now)
	if !s.limit.Concurrent {
		return
	}
	a.inUse = min(before, max(0, clamp(demand.InUse, s.limit.Max)-s.floor))
	a.inUseUntil = s.lingerEnd(now)
}

// divide sums up what is committed and divides the pool, unless the last division still counts.
func (s *limitState) divide(now, leaseSeconds float64) {
	eager := s.stale && len(s.allocations) <= maxEagerHolders
	if now < s.dividedAt+divisionSeconds && !eager {
		return
	}
	s.dividedAt = now
	s.stale = false
	s.expireAllocations(now, leaseSeconds)
	needs := make([]float64, 0, len(s.allocations))
	requested := 0.0
	s.committed = 0
	for _, a := range s.allocations {
		s.committed += a.committed(now)
		if a.need > 0 {
			needs = append(needs, a.need)
		}
		requested += a.requested
	}
	s.division = dividePool(s.pool, needs, requested)
}

// dividePool finds the max-min fair division: all needs are met up to one level that uses up the pool.
// Where all needs are met in full, what is left becomes headroom, in proportion to what was requested.
// It sorts needs.
func dividePool(pool float64, needs []float64, requested float64) division {
	slices.Sort(needs)
	remaining := pool
	for i, need := range needs {
		even := remaining / float64(len(needs)-i)
		if need > even {
			return division{maxNeed: even}
		}
		remaining -= need
	}
	result := division{maxNeed: pool}
	if requested > 0 {
		result.headroom = min(maxHeadroom, remaining/requested)
	}
	return result
}

// expireAllocations forgets holders that hold nothing and were not heard for the length of a lease.
func (s *limitState) expireAllocations(now, leaseSeconds float64) {
	for incarnation, a := range s.allocations {
		if now <= s.leaseExpiry(a.lastHeard, leaseSeconds) {
			continue
		}
		a.requested = 0
		a.need = 0
		if a.committed(now) == 0 {
			delete(s.allocations, incarnation)
		}
	}
}
