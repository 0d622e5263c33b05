package routing

import (
	"swiftcourse/internal/policy/loadplan"
	"swiftcourse/internal/policy/workercapacity"
)

// TakeStats returns the statistics of all workers for the planner, in the order in which they were
// added, and starts their counts anew.
func (r *Router) TakeStats() []loadplan.WorkerStats {
	var stats []loadplan.WorkerStats
	for _, w := range r.workers {
		stats = append(stats, loadplan.WorkerStats{
			Name:      w.name,
			Connected: w.breaker.state != disconnected,
			InFlight:  w.inFlight,
			Finished:  w.reportCounts.Finished,
			Rejected:  w.reportCounts.Rejected,
			Lost:      w.reportCounts.Lost,
		})
		w.reportCounts = workercapacity.AttemptCounts{}
	}
	return stats
}
