package quota

import (
	"math"
	"slices"
)

// grantorLimit is the grantor's state of one limit.
type grantorLimit struct {
	limit         *Limit
	pool          float64
	floor         float64                // per server
	allocations   map[uint64]*allocation // by the holder's incarnation
	committed     float64                // sum over allocations, with leases that expired after dividedAt
	division      division
	dividedAt     float64 // when division was calculated
	demandChanged bool    // whether a demand changed after dividedAt
}

// division is the result of dividing the pool among the holders.
type division struct {
	maxNeed  float64 // the part of a holder's need beyond it is not met
	headroom float64 // what each holder gets beyond its need, as a fraction of its demand
}

const (
	// maxHeadroomFraction is the most that a holder gets beyond its need, as a fraction of its
	// demand. Headroom lets demand vary a little without a further request.
	maxHeadroomFraction = 0.25
	// divisionSeconds is how long a division is reused. With many holders, the pool is divided at
	// most 20 times a second.
	divisionSeconds = 0.05
	// maxHoldersForImmediateDivision is the largest number of holders with which the pool is
	// divided again immediately after each change of a demand.
	maxHoldersForImmediateDivision = 64
	// maxHolders bounds the allocations of one limit.
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

// leaseExpiry returns the time after which a lease that began at start has expired even by the
// slowest clock, and no unit taken under it is still in use.
func (s *grantorLimit) leaseExpiry(start, leaseSeconds float64) float64 {
	return s.latestUseEnd(start + leaseSeconds*(1+maxClockDrift))
}

// latestUseEnd returns the time after which no unit that was in use at start is still in use, even
// by the slowest clock.
func (s *grantorLimit) latestUseEnd(start float64) float64 {
	return start + s.limit.MaxUseSeconds*(1+maxClockDrift)
}

// allocationOf returns a holder's allocation and creates it if there is none. It returns nil if it
// would have to create one and there are already maxHolders.
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

// setRequested updates a holder's demand and its need.
func (s *grantorLimit) setRequested(a *allocation, requested float64) {
	requested = clamp(requested, s.limit.Max)
	if requested == a.requested {
		return
	}
	a.requested = requested
	a.need = max(0, requested-s.floor)
	s.demandChanged = true
}

// releaseUnused removes the leases that the holder no longer uses: those older than the grant that
// its demand reports as applied. For a concurrent limit, the units reported in use stay committed
// for as long as they can be in use, see latestUseEnd.
func (s *grantorLimit) releaseUnused(now float64, a *allocation, demand *Demand) {
	committedBefore := a.committed(now)
	a.dropLeasesBefore(demand.GrantNumber, now)
	if !s.limit.Concurrent {
		return
	}
	a.maxInUse = min(committedBefore, max(0, clamp(demand.InUse, s.limit.Max)-s.floor))
	a.inUseExpiry = s.latestUseEnd(now)
}

// divide recalculates the committed sum and the division of the pool, unless the last division can
// be reused.
func (s *grantorLimit) divide(now, leaseSeconds float64) {
	divideNow := s.demandChanged && len(s.allocations) <= maxHoldersForImmediateDivision
	if now < s.dividedAt+divisionSeconds && !divideNow {
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

// dividePool returns the max-min fair division: each need is met up to a common maximum, chosen so
// that the pool is used up. If the pool meets all needs, the remainder becomes headroom, in
// proportion to requested, the sum of the demands. dividePool sorts needs.
func dividePool(pool float64, needs []float64, requested float64) division {
	slices.Sort(needs)
	remaining := pool
	for i, need := range needs {
		evenShare := remaining / float64(len(needs)-i)
		if need > evenShare {
			return division{maxNeed: evenShare}
		}
		remaining -= need
	}
	result := division{maxNeed: pool}
	if requested > 0 {
		result.headroom = min(maxHeadroomFraction, remaining/requested)
	}
	return result
}

// expireAllocations handles holders whose last request is so old that a lease granted for it has
// expired: it sets their demand to zero and, if nothing is committed to them, removes their
// allocations.
func (s *grantorLimit) expireAllocations(now, leaseSeconds float64) {
	for incarnation, a := range s.allocations {
		if now <= s.leaseExpiry(a.lastRequestAt, leaseSeconds) {
			continue
		}
		a.requested = 0
		a.need = 0
		if a.committed(now) == 0 {
			delete(s.allocations, incarnation)
		}
	}
}
