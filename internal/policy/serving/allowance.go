package serving

// Allowance is the part of a fleet-wide quota that this server may use.
type Allowance struct {
	// Name identifies the quota.
	Name string
	// FleetMax is the limit for all servers together.
	FleetMax float64
	// Tenant is the index of the tenant whose request rate is limited, or negative if the quota
	// limits concurrent downstream calls instead.
	Tenant int
	// Guaranteed is the part that the server may use at all times.
	Guaranteed float64
	// LeasedShare is the part that the server may use in addition to Guaranteed until LeaseExpiry.
	LeasedShare float64
	// LeaseExpiry is the time at which LeasedShare expires, in seconds of the server loop's clock.
	LeaseExpiry float64
	// BurstSeconds is the time, in seconds, over which an unused rate accumulates.
	BurstSeconds float64
	// Capped reports whether Cap bounds the sum of Guaranteed and LeasedShare.
	Capped bool
	Cap    float64
	// ProbeNumber, if not 0, means that Cap allows a single probe call. At most one probe call is
	// made for each number.
	ProbeNumber int64
	// GrantNumber identifies the grant from which this allowance results. The server loop includes
	// it in its usage reports.
	GrantNumber uint64
}

// LimitAt returns the limit in force at now, in seconds of the server loop's clock.
func (a *Allowance) LimitAt(now float64) float64 {
	limit := a.Guaranteed
	if now < a.LeaseExpiry {
		limit += a.LeasedShare
	}
	if a.Capped {
		return min(limit, a.Cap)
	}
	return limit
}
