package quota

import (
	"maps"
	"slices"
)

// LimitStatus is how the grantor has shared one limit, for operators. Its JSON keys are part of the
// control API.
type LimitStatus struct {
	Name    string
	Max     float64 `json:"Most"`
	Leased  float64 `json:"Given"` // committed, without floors
	Pool    float64 // of which shares are leased
	Servers int     // that hold a share or want one
	Wanted  float64 // beyond the floors
	// PriorLeasesExpired is true once all leases that an earlier grantor granted are over.
	PriorLeasesExpired bool `json:"Known"`
}

// Status lists, by name, the limits that anybody holds or wants a share of, at most so many.
func (g *Grantor) Status(now float64, most int) []LimitStatus {
	var list []LimitStatus
	for _, name := range slices.Sorted(maps.Keys(g.limits)) {
		state := g.limits[name]
		if len(state.allocations) > 0 && len(list) < most {
			list = append(list, g.limitStatus(now, state))
		}
	}
	return list
}

func (g *Grantor) limitStatus(now float64, state *limitState) LimitStatus {
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
