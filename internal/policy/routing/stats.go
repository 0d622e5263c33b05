package routing

import (
	"swiftcourse/internal/policy/loadplan"
	"swiftcourse/internal/policy/workercapacity"
)

// TakeStats returns the statistics of all workers for the planner, in the order in which the workers
// were added, and resets the counts.
func (r *Router) TakeStats() []loadplan.WorkerStats {
	var stats []loadplan.WorkerStats
	for _, w := range r.workers {
		stats = append(stats, loadplan.WorkerStats{
			Name:      w.name,
			Connected: w.breaker.state != disconnected,
			InFlight:  w.inFlight,
			Finished:  w.countsSinceReport.Finished,
			Rejected:  w.countsSinceReport.Rejected,
			Lost:      w.countsSinceReport.Lost,
		})
		w.countsSinceReport = workercapacity.AttemptCounts{}
	}
	return stats
}
