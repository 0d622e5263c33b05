package quota

// Demand is a Request's entry for one limit.
type Demand struct {
	Name             string
	Requested        float64 // recent units a second; for a concurrent limit, units in use and rejected
	InUse            float64 // units in use; 0 for a rate
	LeasedShare      float64 // beyond the floor
	RemainingSeconds float64 // until the lease expires, by the holder's clock
	// GrantNumber is the number of the request whose reply granted the share that the server's
	// event loop enforces, 0 for none.
	GrantNumber uint64
}

// Request asks the grantor for leased shares of some limits.
type Request struct {
	Incarnation uint64 // incarnation of the holder
	Number      uint64 // increases with each request of an incarnation
	ConfigHash  uint64 // hash of the holder's Config; a grantor with a different Config doesn't reply
	GrantorID   uint64 // ID of the grantor that sent the latest reply, 0 for none
	Demands     []Demand
}

// Grant is a leased share of one limit, beyond the floor.
type Grant struct {
	Name        string
	LeasedShare float64
}

// Reply is the reply to the request with the same incarnation and number. Its leases last
// Config.LeaseSeconds from the moment at which the holder created the request.
type Reply struct {
	Incarnation uint64
	Number      uint64
	GrantorID   uint64
	Grants      []Grant
}

// clamp limits a number that may come from another process to [0, upper]; NaN becomes 0.
func clamp(x, upper float64) float64 {
	if !(x > 0) { // true for NaN as well
		return 0
	}
	return min(x, upper)
}
