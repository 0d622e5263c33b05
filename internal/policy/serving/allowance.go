package serving

// Allowance is the part of a fleet-wide quota that this server may use.
type Allowance struct {
	// Name identifies the quota.
	Name string
	// FleetMax is the limit of all servers together.
	FleetMax float64
	// Tenant is the index of the tenant whose request rate is limited, or negative if the quota
	// limits concurrent downstream calls instead.
	Tenant int
	// Guaranteed may be used at all times.
	Guaranteed float64
	// LeasedShare may be used beyond Guaranteed until LeaseExpiry.
	LeasedShare float64
	// LeaseExpiry is when LeasedShare ends, in seconds of the server loop's clock.
	LeaseExpiry float64
	// BurstSeconds is for how many seconds an unused rate accumulates.
	BurstSeconds float64
	// Capped reports whether Cap bounds the sum of Guaranteed and LeasedShare.
	Capped bool
	Cap    float64
	// ProbeNumber, when not 0, marks Cap as the capacity for one probe call: at most one call is
	// made for each number.
	ProbeNumber int64
	// GrantNumber identifies the grant behind this allowance. The server loop returns it in its usage
	// reports.
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
