package quota

import "math"

// holderLimit is a holder's state of one limit.
type holderLimit struct {
	limit   *Limit
	floor   float64
	granted receivedGrant // the latest grant received
	applied receivedGrant // the grant that the event loop enforced when it last reported usage
	// reductionPending is true from the arrival of a grant that reduces the share until the event
	// loop enforces it. reductionUnreported is true from then until the next request, which tells
	// the grantor that the larger share is no longer used.
	reductionPending    bool
	reductionUnreported bool

	requested              float64 // recent demand, see Demand
	inUse                  float64 // units in use; 0 for a rate
	demandExceedsAllowance bool    // requested exceeds the current allowance
	lastRequestAt          float64 // when a request last had a demand for the limit, -Inf for never
	lastReportedDemand     float64 // the value of requested in that request
}

// receivedGrant is a share that a reply granted.
type receivedGrant struct {
	share       float64 // beyond the floor
	leaseExpiry float64 // -Inf if there is no lease
	number      uint64  // number of the request that the reply answered
}

func newHolderLimit() *holderLimit {
	none := receivedGrant{leaseExpiry: math.Inf(-1)}
	return &holderLimit{granted: none, applied: none, lastRequestAt: math.Inf(-1)}
}

// setLimit applies a new configuration of the limit. A lease is kept, its share reduced to the new
// pool if it exceeds that.
func (s *holderLimit) setLimit(config *Config, limit *Limit) {
	s.limit = limit
	s.floor = config.FloorPerServer(limit)
	s.granted.share = min(s.granted.share, config.pool(limit))
}

// allowance returns the allowance under the latest grant.
func (s *holderLimit) allowance() Allowance {
	return Allowance{
		Name:        s.limit.Name,
		FleetMax:    s.limit.Max,
		Floor:       s.floor,
		LeasedShare: s.granted.share,
		LeaseExpiry: s.granted.leaseExpiry,
		GrantNumber: s.granted.number,
	}
}

// limitAt returns what the server may use at the time now.
func (s *holderLimit) limitAt(now float64) float64 {
	allowance := s.allowance()
	return allowance.LimitAt(now)
}

// hasLease reports whether the lease of the latest grant has not expired.
func (s *holderLimit) hasLease(now float64) bool { return now < s.granted.leaseExpiry }

// wantsLease reports whether the demand exceeds the floor.
func (s *holderLimit) wantsLease() bool { return s.requested > s.floor }

// setUsage records the event loop's demand and units in use.
func (s *holderLimit) setUsage(now, requested, inUse float64) {
	s.requested = clamp(requested, s.limit.Max)
	s.inUse = clamp(inUse, s.limit.Max)
	s.demandExceedsAllowance = s.requested > s.limitAt(now)
}

// setApplied records that the event loop enforces the latest grant.
func (s *holderLimit) setApplied() {
	s.applied = s.granted
	if s.reductionPending {
		s.reductionPending = false
		s.reductionUnreported = true
	}
}

// setGranted replaces the latest grant by a newer one.
func (s *holderLimit) setGranted(now float64, granted receivedGrant) {
	if s.hasLease(now) && granted.share < s.granted.share {
		s.reductionPending = true
	}
	s.granted = granted
	s.demandExceedsAllowance = s.requested > s.limitAt(now)
}

// requestDue reports whether the next request should have a demand for the limit.
func (s *holderLimit) requestDue(now, leaseSeconds float64) bool {
	switch {
	case now < s.lastRequestAt+minRequestIntervalSeconds:
		return false
	case s.reductionUnreported:
		return true
	case s.demandExceedsAllowance && s.wantsLease() && s.starvedRequestDue(now):
		return true
	case !s.hasLease(now) && !s.wantsLease():
		return false
	case now >= s.lastRequestAt+renewalFraction*leaseSeconds:
		return true
	}
	return s.hasLease(now) && s.hasSpare(now)
}

// starvedRequestDue reports whether to request a larger share again: starvedRequestIntervalSeconds
// has passed, or demand has grown by more than minReportedChangeFraction since the last request.
func (s *holderLimit) starvedRequestDue(now float64) bool {
	return now >= s.lastRequestAt+starvedRequestIntervalSeconds ||
		s.requested > (1+minReportedChangeFraction)*s.lastReportedDemand
}

// hasSpare reports whether to return part of the leased share: both the unneeded part of the share
// and the decrease in demand exceed minReportedChangeFraction.
func (s *holderLimit) hasSpare(now float64) bool {
	spare := s.limitAt(now) - (1+maxHeadroomFraction)*s.requested
	return s.granted.share > 0 && spare > minReportedChangeFraction*s.granted.share &&
		s.requested < (1-minReportedChangeFraction)*s.lastReportedDemand
}

// renewalTime returns when the next demand for the limit is due if usage does not change.
func (s *holderLimit) renewalTime(now, leaseSeconds float64) float64 {
	return max(now+minRequestIntervalSeconds, s.lastRequestAt+renewalFraction*leaseSeconds)
}

// demand returns the limit's entry in a request. While the event loop may still enforce a larger
// share than that of the latest grant, the entry reports the larger share.
func (s *holderLimit) demand(now float64) Demand {
	demand := Demand{Name: s.limit.Name, Requested: s.requested, InUse: s.inUse}
	if !s.hasLease(now) {
		return demand
	}
	demand.LeasedShare = s.granted.share
	demand.RemainingSeconds = s.granted.leaseExpiry - now
	demand.GrantNumber = s.applied.number
	if now < s.applied.leaseExpiry {
		demand.LeasedShare = max(demand.LeasedShare, s.applied.share)
	}
	return demand
}

// setReported records that a request with the current demand was created at now.
func (s *holderLimit) setReported(now float64) {
	s.lastRequestAt = now
	s.lastReportedDemand = s.requested
	s.reductionUnreported = false
}
