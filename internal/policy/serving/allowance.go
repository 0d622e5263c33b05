package serving

// Allowance is what this server may use of a quota that all servers of the fleet share.
type Allowance struct {
	// Name identifies the quota.
	Name string
	// FleetMax is the limit of all servers together.
	FleetMax float64
	// Tenant is the index of the tenant whose request rate is limited, or negative if the quota
	// limits concurrent downstream calls.
	Tenant int
	// Guaranteed may be used at all times.
	Guaranteed float64
	// LeasedShare may be used beyond Guaranteed until LeaseExpiry.
	LeasedShare float64
	// LeaseExpiry is in seconds of the loop's clock.
	LeaseExpiry float64
	// BurstSeconds is for how many seconds an unused rate accumulates.
	BurstSeconds float64
	// Capped tells that Cap bounds the allowance, whatever was leased.
	Capped bool
	Cap    float64
	// ProbeNumber, when not 0, marks Cap as meant for a single probe call: no second call is made
	// for the same number.
	ProbeNumber int64
	// GrantNumber identifies the grant behind this allowance. The loop returns it in its usage
	// reports.
	GrantNumber uint64
}

// LimitAt returns the limit in force at now, in seconds of the loop's clock.
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
