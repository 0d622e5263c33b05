package quota

// Allowance is what one server may use of a limit: its floor plus the leased share until the lease
// expires, only the floor afterwards. Its JSON keys are part of the control API.
type Allowance struct {
	Name        string
	FleetMax    float64 `json:"Most"` // the limit of the whole fleet
	Floor       float64
	LeasedShare float64 `json:"Part"` // beyond the floor
	LeaseExpiry float64 `json:"Till"` // in seconds of the holder's clock; -Inf if there is no lease
	// GrantNumber is the number of the request whose reply granted the share. The server's
	// event loop reports it with the usage, see Holder.RecordUsage.
	GrantNumber uint64 `json:"Answer"`
}

// LimitAt returns what the server may use at the time now of the holder's clock.
func (a *Allowance) LimitAt(now float64) float64 {
	if now < a.LeaseExpiry {
		return a.Floor + a.LeasedShare
	}
	return a.Floor
}
