package quota

// Demand is what a holder reports about one limit.
type Demand struct {
	Name             string
	Requested        float64 // recently, units a second, or units in use and rejected
	InUse            float64 // units in use now, 0 for a rate
	LeasedShare      float64 // beyond the floor
	RemainingSeconds float64 // of the lease, by the holder's clock
	GrantNumber      uint64  // number of the request whose reply granted LeasedShare, 0 for none
}

// Request is what a holder asks of the grantor.
type Request struct {
	Incarnation uint64 // of the holder
	Number      uint64 // grows with each request of an incarnation
	ConfigHash  uint64 // a grantor with another configuration doesn't reply
	GrantorID   uint64 // of the grantor whose reply came last, 0 for none
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

// clamp bounds a number that came from another process to [0, most]; what isn't a number becomes 0.
func clamp(x, most float64) float64 {
	if !(x > 0) { // true for NaN as well
		return 0
	}
	return min(x, most)
}
