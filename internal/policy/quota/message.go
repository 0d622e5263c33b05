package quota

// Demand is the entry of a Request for one limit.
type Demand struct {
	Name             string
	Requested        float64 // lately, in units a second; for a concurrent limit the units in use and rejected
	InUse            float64 // units in use now, 0 for a rate
	LeasedShare      float64 // beyond the floor
	RemainingSeconds float64 // of the lease, by the holder's clock
	GrantNumber      uint64  // number of the request whose reply granted LeasedShare, 0 for none
}

// Request asks the grantor for shares of some limits.
type Request struct {
	Incarnation uint64 // of the holder
	Number      uint64 // grows with each request of an incarnation
	ConfigHash  uint64 // of the holder's Config; a grantor with another one doesn't reply
	GrantorID   uint64 // of the grantor that sent the latest reply, 0 for none
	Demands     []Demand
}

// Grant is a leased share of one limit, beyond the floor.
type Grant struct {
	Name        string
	LeasedShare float64
}

// Reply answers the request with the same incarnation and number. Its leases last Config.LeaseSeconds
// from the moment at which the holder made the request.
type Reply struct {
	Incarnation uint64
	Number      uint64
	GrantorID   uint64
	Grants      []Grant
}

// clamp bounds a number from another process to [0, upper]; NaN becomes 0.
func clamp(x, upper float64) float64 {
	if !(x > 0) { // true for NaN as well
		return 0
	}
	return min(x, upper)
}
