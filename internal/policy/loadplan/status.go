package loadplan

import (
	"maps"
	"slices"
)

// Status is a planner's status for the control API. Its JSON keys are part of that API.
type Status struct {
	Version        Version           `json:"Number"`
	Forwarders     []ForwarderStatus `json:"Forwarders"`
	Workers        []WorkerStatus    `json:"Workers"`
	AdmittedRate   float64           `json:"Bound"`     // requests per second over all forwarders; 0 for no limit
	Fallbacks      int               `json:"Fallbacks"` // plans for which the linear program was not solved
	InvalidReports int               `json:"Refused"`
}

// ForwarderStatus is a planner's view of a forwarder.
type ForwarderStatus struct {
	Name             string  `json:"Name"`
	ReportAgeSeconds float64 `json:"Heard"`
	Demand           float64 `json:"Demand"` // requests per second
	Version          Version `json:"Holds"`  // of the plan that the forwarder follows
}

// WorkerStatus is a planner's view of a worker.
type WorkerStatus struct {
	Name                    string  `json:"Name"`
	Capacity                float64 `json:"Can"`  // estimate, in requests per second
	LastConnectedAgeSeconds float64 `json:"Seen"` // since a forwarder last reported a connection to it
}

// Status returns the planner's status, with forwarders and workers sorted by name.
func (p *Planner) Status(now float64) *Status {
	status := &Status{Version: p.version, Fallbacks: p.fallbacks, InvalidReports: p.invalidReports}
	for _, name := range slices.Sorted(maps.Keys(p.forwarders)) {
		forwarder := p.forwarders[name]
		status.Forwarders = append(status.Forwarders, ForwarderStatus{
			Name:             name,
			ReportAgeSeconds: now - forwarder.lastReportAt,
			Demand:           forwarder.totalDemand,
			Version:          forwarder.CurrentVersion,
		})
		for _, limit := range forwarder.rateLimits {
			status.AdmittedRate += limit.Rate
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.workers)) {
		worker := p.workers[name]
		status.Workers = append(status.Workers, WorkerStatus{
			Name:                    name,
			Capacity:                worker.capacity,
			LastConnectedAgeSeconds: now - worker.lastConnectedAt,
		})
	}
	return status
}
