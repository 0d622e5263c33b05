package routing

import "swiftcourse/internal/policy/workercapacity"

// WorkerStats is what a forwarder reports of a worker.
type WorkerStats struct {
	Name     string
	State    WorkerState
	InFlight int
	workercapacity.Attempts
}

// TakeStats returns the statistics of all workers, in the order in which they were added, and
// starts their counts anew.
func (r *Router) TakeStats() []WorkerStats {
	var stats []WorkerStats
	for _, w := range r.workers {
		stats = append(stats, WorkerStats{
			Name:     w.name,
			State:    w.breaker.state,
			InFlight: w.inFlight,
			Attempts: w.reportCounts,
		})
		w.reportCounts = workercapacity.Attempts{}
	}
	return stats
}
