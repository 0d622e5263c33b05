package quota

import "math"

// holderLimit is the state of one limit at a holder.
type holderLimit struct {
	limit   *Limit
	floor   float64
	granted receivedGrant // the latest one received
	applied receivedGrant // the one by which the server loop last reported usage
	// reductionPending is set from a grant of a smaller share until the server loop applies it, and
	// reductionUnreported from then until the next request, which tells the grantor.
	reductionPending    bool
	reductionUnreported bool

	requested    float64 // recently, see Demand
	inUse        float64
	starved      bool    // more is requested than may be used now
	lastRequest  float64 // when a request last had a demand for it, -Inf for never
	lastReported float64 // requested, as that request said
}

// receivedGrant is a share that a reply granted.
type receivedGrant struct {
	share       float64 // beyond the floor
	leaseExpiry float64 // -Inf for no lease
	number      uint64  // of the request that was replied to
}

func newHolderLimit() *holderLimit {
	none := receivedGrant{leaseExpiry: math.Inf(-1)}
	return &holderLimit{granted: none, applied: none, lastRequest: math.Inf(-1)}
}

// setLimit applies a new configuration of the limit. A running lease is kept, with its share cut to the new
// pool.
func (s *holderLimit) setLimit(config *Config, limit *Limit) {
	s.limit = limit
	s.floor = config.FloorPerServer(limit)
	s.granted.share = min(s.granted.share, config.pool(limit))
}

// allowance returns what the server may use under the latest grant.
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

// limitAt returns what may be used at a time.
func (s *holderLimit) limitAt(now float64) float64 {
	allowance := s.allowance()
	return allowance.LimitAt(now)
}

// hasLease reports whether the latest grant has not expired.
func (s *holderLimit) hasLease(now float64) bool { return now < s.granted.leaseExpiry }

// wantsLease reports whether more than the floor is requested.
func (s *holderLimit) wantsLease() bool { return s.requested > s.floor }

// setUsage records what the server loop requested and has in use.
func (s *holderLimit) setUsage(now, requested, inUse float64) {
	s.requested = clamp(requested, s.limit.Max)
	s.inUse = clamp(inUse, s.limit.Max)
	s.starved = s.requested > s.limitAt(now)
}

// setApplied records that the server loop enforces the latest grant.
func (s *holderLimit) setApplied() {
	s.applied = s.granted
	if s.reductionPending {
		s.reductionPending = false
		s.reductionUnreported = true
	}
}

// setGranted replaces the grant by a newer one.
func (s *holderLimit) setGranted(now float64, granted receivedGrant) {
	if s.hasLease(now) && granted.share < s.granted.share {
		s.reductionPending = true
	}
	s.granted = granted
	s.starved = s.requested > s.limitAt(now)
}

// requestDue reports whether the next request should have a demand for the limit.
func (s *holderLimit) requestDue(now, leaseSeconds float64) bool {
	switch {
	case now < s.lastRequest+minRequestInterval:
		return false
	case s.reductionUnreported:
		return true
	case s.starved && s.wantsLease() && s.starvedRequestDue(now):
		return true
	case !s.hasLease(now) && !s.wantsLease():
		return false
	case now >= s.lastRequest+renewFraction*leaseSeconds:
		return true
	}
	return s.hasLease(now) && s.hasSpare(now)
}

// starvedRequestDue reports whether to ask again for a larger share: some time has passed, or clearly more is
// requested than was reported.
func (s *holderLimit) starvedRequestDue(now float64) bool {
	return now >= s.lastRequest+starvedRequestInterval || s.requested > (1+reportedChange)*s.lastReported
}

// hasSpare reports whether demand fell so far that a good part of the leased share should be given back.
func (s *holderLimit) hasSpare(now float64) bool {
	spare := s.limitAt(now) - (1+maxHeadroom)*s.requested
	return s.granted.share > 0 && spare > reportedChange*s.granted.share &&
		s.requested < (1-reportedChange)*s.lastReported
}

// renewalTime returns when a demand for the limit is due again after now, unless usage changes.
func (s *holderLimit) renewalTime(now, leaseSeconds float64) float64 {
	return max(now+minRequestInterval, s.lastRequest+renewFraction*leaseSeconds)
}

// demand returns the entry of a request for the limit. While the server loop may still enforce a larger
// share than the latest grant, the entry reports the larger one.
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

// setReported records that a request with the current demand was made.
func (s *holderLimit) setReported(now float64) {
	s.lastRequest = now
	s.lastReported = s.requested
	s.reductionUnreported = false
}
