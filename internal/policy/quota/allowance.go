package quota

import "math"

// Allowance is what a server may use of a limit: the floor and the leased share until the lease ends,
// the floor alone from then on. Its JSON keys are part of the control API.
type Allowance struct {
	Name        string
	FleetMax    float64 `json:"Most"` // the limit of the whole fleet
	Floor       float64
	LeasedShare float64 `json:"Part"` // beyond the floor
	LeaseExpiry float64 `json:"Till"` // by the holder's clock, in seconds; -Inf where there is no lease
	// GrantNumber is the number of the request whose reply granted the share, see Holder.RecordUsage.
	GrantNumber uint64 `json:"Answer"`
}

// LimitAt is what may be used at a moment of the holder's clock.
func (a *Allowance) LimitAt(now float64) float64 {
	if now < a.LeaseExpiry {
		return a.Floor + a.LeasedShare
	}
	return a.Floor
}

// leasedShare is a holder's state of one limit.
type leasedShare struct {
	limit   *Limit
	floor   float64
	granted grant // that the holder has
	applied grant // that the server loop last said it goes by
	// reductionPending is set when the granted share became smaller and the loop hasn't applied that yet,
	// reductionUnreported once it has, until the grantor is told.
	reductionPending    bool
	reductionUnreported bool

	requested    float64 // recently, see Demand
	inUse        float64
	starving     bool    // more is requested than may be used
	lastRequest  float64 // when it was last part of a request, -Inf for never
	lastReported float64 // the requested amount that was reported then
}

// grant is a share that a reply granted.
type grant struct {
	share       float64 // beyond the floor
	leaseExpiry float64 // -Inf for no lease
	number      uint64  // of the request that was replied to
}

func newLeasedShare() *leasedShare {
	none := grant{leaseExpiry: math.Inf(-1)}
	return &leasedShare{granted: none, applied: none, lastRequest: math.Inf(-1)}
}

// setLimit goes over to a new limit. A lease goes on as far as the new pool allows.
func (s *leasedShare) setLimit(config *Config, limit *Limit) {
	s.limit = limit
	s.floor = config.FloorPerServer(limit)
	s.granted.share = min(s.granted.share, config.pool(limit))
}

// allowance is what the server may use by the granted share.
func (s *leasedShare) allowance() Allowance {
	return Allowance{
		Name:        s.limit.Name,
		FleetMax:    s.limit.Max,
		Floor:       s.floor,
		LeasedShare: s.granted.share,
		LeaseExpiry: s.granted.leaseExpiry,
		GrantNumber: s.granted.number,
	}
}

// limitAt is what may be used at a moment.
func (s *leasedShare) limitAt(now float64) float64 {
	allowance := s.allowance()
	return allowance.LimitAt(now)
}

// leased reports whether a lease runs.
func (s *leasedShare) leased(now float64) bool { return now < s.granted.leaseExpiry }

// wantsLease reports whether the floor isn't enough.
func (s *leasedShare) wantsLease() bool { return s.requested > s.floor }

// usage notes what the server loop used, and whether that is all it may use.
func (s *leasedShare) setUsage(now, requested, inUse float64) {
	s.requested = clamp(requested, s.limit.Max)
	s.inUse = clamp(inUse, s.limit.Max)
	s.starving = s.requested > s.limitAt(now)
}

// setApplied notes that the server loop goes by the granted share.
func (s *leasedShare) setApplied() {
	s.applied = s.granted
	if s.reductionPending {
		s.reductionPending = false
		s.reductionUnreported = true
	}
}

// setGranted takes a new grant.
func (s *leasedShare) setGranted(now float64, granted grant) {
	if s.leased(now) && granted.share < s.granted.share {
		s.reductionPending = true
	}
	s.granted = granted
	s.starving = s.requested > s.limitAt(now)
}

// requestDue reports whether the share is due to be part of a request.
func (s *leasedShare) requestDue(now, leaseSeconds float64) bool {
	switch {
	case now < s.lastRequest+minRequestInterval:
		return false
	case s.reductionUnreported:
		return true
	case s.starving && s.wantsLease() && s.starvingRequestDue(now):
		return true
	case !s.leased(now) && !s.wantsLease():
		return false
	case now >= s.lastRequest+renewFraction*leaseSeconds:
		return true
	}
	return s.leased(now) && s.hasSpare(now)
}

// starvingRequestDue reports whether a share that is too small is to be asked for again.
func (s *leasedShare) starvingRequestDue(now float64) bool {
	return now >= s.lastRequest+starvingRequestInterval || s.requested > (1+reportedChange)*s.lastReported
}

// hasSpare reports whether much of a leased share isn't needed any more: others may want it.
func (s *leasedShare) hasSpare(now float64) bool {
	spare := s.limitAt(now) - (1+maxHeadroom)*s.requested
	return s.granted.share > 0 && spare > reportedChange*s.granted.share &&
		s.requested < (1-reportedChange)*s.lastReported
}

// demand is what a request says of the share. As long as the server loop may go by a larger share than
// the granted one, that is what it reports.
func (s *leasedShare) demand(now float64) Demand {
	demand := Demand{Name: s.limit.Name, Requested: s.requested, InUse: s.inUse}
	if !s.leased(now) {
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

// setReported notes that a request with the present demand was made.
func (s *leasedShare) setReported(now float64) {
	s.lastRequest = now
	s.lastReported = s.requested
	s.reductionUnreported = false
}
