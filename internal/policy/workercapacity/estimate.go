// Package workercapacity estimates how many requests per second a worker can finish, from the
// outcomes of attempts at the worker.
//
// A worker that rejects or loses attempts is at its capacity, so the estimate moves towards the rate
// of finished requests. Otherwise the worker is below its capacity, and the estimate rises towards
// somewhat more than that rate. The planner of the load plan passes the attempts of all forwarders,
// a forwarder only its own. The package has no state, clock or I/O.
package workercapacity

const (
	// MinRequestsPerSecond is the lowest capacity estimate, in requests per second. It is above 0 so that a worker that
	// has finished nothing still receives requests.
	MinRequestsPerSecond = 1.0

	// smoothing is the weight of the latest interval in the moving average.
	smoothing = 0.3
	// overloadRatio is the fraction of rejected and lost attempts above which a worker counts as at
	// its capacity.
	overloadRatio = 0.02
	// headroom is the ratio to the finished rate towards which the estimate of a worker below its
	// capacity rises. It is above 1 so that the worker may receive more requests than it finished.
	headroom = 1.25
)

// AttemptCounts are the attempts at a worker, counted by outcome.
type AttemptCounts struct {
	Finished int
	Rejected int
	Lost     int // timed out, or the connection broke
}

// Update returns the new estimate, in requests per second, after an interval in which the given
// attempts ended. An interval without attempts does not change the estimate.
func Update(previous float64, attempts AttemptCounts, intervalSeconds float64) float64 {
	total := attempts.Finished + attempts.Rejected + attempts.Lost
	unfinished := attempts.Rejected + attempts.Lost
	rate := float64(attempts.Finished) / intervalSeconds
	switch {
	case float64(unfinished) > overloadRatio*float64(total):
		return previous + smoothing*(max(MinRequestsPerSecond, rate)-previous)
	case rate*headroom > previous:
		return previous + smoothing*(rate*headroom-previous)
	}
	return previous
}
