package quota

import (
	"math"
	"slices"
)

// grantorLimit is the state of one limit at the grantor.
type grantorLimit struct {
	limit         *Limit
	pool          float64
	floor         float64                // of each server
	allocations   map[uint64]*allocation // by the holder's incarnation
	committed     float64                // sum over the allocations; leases that expired since dividedAt still count
	division      division
	dividedAt     float64
	demandChanged bool // since dividedAt
}

// division is how the pool is divided among the holders.
type division struct {
	maxNeed  float64 // no holder's need counts beyond this
	headroom float64 // fraction of its demand that each holder gets beyond its need
}

const (
	// maxHeadroom is the most that a holder gets beyond its need, as a fraction of its demand, so that small
	// changes of the demand take no further request.
	maxHeadroom = 0.25
	// divisionSeconds is how long a division is reused: the pool is divided at most 20 times a second where
	// there are many holders.
	divisionSeconds = 0.05
	// maxEagerHolders is the most holders for which the pool is divided again at each change of a demand.
	maxEagerHolders = 64
	// maxHolders bounds the holders of one limit.
	maxHolders = 4096
)

func newGrantorLimit(config *Config, limit *Limit) *grantorLimit {
	return &grantorLimit{
		limit:       limit,
		pool:        config.pool(limit),
		floor:       config.FloorPerServer(limit),
		allocations: map[uint64]*allocation{},
		dividedAt:   math.Inf(-1),
	}
}

// leaseExpiry returns when a lease that began at start has expired by any clock, and no unit taken
// under it is still in use.
func (s *grantorLimit) leaseExpiry(start, leaseSeconds float64) float64 {
	return s.lingerEnd(start + leaseSeconds*(1+maxClockDrift))
}

// lingerEnd returns when no unit in use at start is in use any more, by any clock.
func (s *grantorLimit) lingerEnd(start float64) float64 {
	return start + s.limit.LingerSeconds*(1+maxClockDrift)
}

// allocationOf returns a holder's allocation and creates it if need be. It returns nil if there are too many.
func (s *grantorLimit) allocationOf(incarnation uint64, now, leaseSeconds float64) *allocation {
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

// setRequested updates a holder's demand.
func (s *grantorLimit) setRequested(a *allocation, requested float64) {
	requested = clamp(requested, s.limit.Max)
	if requested == a.requested {
		return
	}
	a.requested = requested
	a.need = max(0, requested-s.floor)
	s.demandChanged = true
}

// releaseUnused drops the leases that the holder can't be using any more, by the grant that its
// demand says it applies. For a concurrent limit, the units reported in use stay committed until
// they are over.
func (s *grantorLimit) releaseUnused(now float64, a *allocation, demand *Demand) {
	committedBefore := a.committed(now)
	a.dropLeasesBefore(demand.GrantNumber, now)
	if !s.limit.Concurrent {
		return
	}
	a.maxInUse = min(committedBefore, max(0, clamp(demand.InUse, s.limit.Max)-s.floor))
	a.inUseExpiry = s.lingerEnd(now)
}

// divide adds up the committed shares and divides the pool, unless the last division can be reused.
func (s *grantorLimit) divide(now, leaseSeconds float64) {
	eager := s.demandChanged && len(s.allocations) <= maxEagerHolders
	if now < s.dividedAt+divisionSeconds && !eager {
		return
	}
	s.dividedAt = now
	s.demandChanged = false
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

// dividePool returns the max-min fair division: each need is met up to one common level, at which the pool is
// used up. If all needs are met, what is left becomes headroom in proportion to the sum of the demands,
// requested. It sorts needs.
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

// expireAllocations resets the demand of holders not heard for the length of a lease, and removes those that
// have nothing committed.
func (s *grantorLimit) expireAllocations(now, leaseSeconds float64) {
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
