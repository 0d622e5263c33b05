package quota

import (
	"maps"
	"slices"
)

// LimitStatus shows operators how much of one limit is leased. Its JSON keys are part of the
// control API.
type LimitStatus struct {
	Name    string
	Max     float64 `json:"Most"`
	Leased  float64 `json:"Given"` // sum of the committed shares beyond the floors
	Pool    float64 // the part of Max that is available for leases
	Servers int     // servers that hold a share or recently requested one
	Wanted  float64 // sum of the demands beyond the floors
	// PriorLeasesExpired is true once all leases of earlier grantors have expired and no unit taken
	// under them is still in use.
	PriorLeasesExpired bool `json:"Known"`
}

// Status returns the status of the limits that have allocations, at most maxStatuses of them,
// sorted by name.
func (g *Grantor) Status(now float64, maxStatuses int) []LimitStatus {
	var list []LimitStatus
	for _, name := range slices.Sorted(maps.Keys(g.limits)) {
		state := g.limits[name]
		if len(state.allocations) > 0 && len(list) < maxStatuses {
			list = append(list, g.limitStatus(now, state))
		}
	}
	return list
}

func (g *Grantor) limitStatus(now float64, state *grantorLimit) LimitStatus {
	status := LimitStatus{
		Name:               state.limit.Name,
		Max:                state.limit.Max,
		Pool:               state.pool,
		Servers:            len(state.allocations),
		PriorLeasesExpired: g.priorLeasesExpired(state, now),
	}
	for _, a := range state.allocations {
		status.Leased += a.committed(now)
		status.Wanted += a.need
	}
	return status
}
