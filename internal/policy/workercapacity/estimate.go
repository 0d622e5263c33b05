// Package workercapacity estimates how many requests per second a worker can finish, from the
// outcomes of the attempts at it.
//
// A worker that rejects or loses attempts is at its capacity: the estimate moves towards what it
// finished. One that does not is below it: the estimate rises towards somewhat more than it
// finished. The planner of the load plan estimates by what all forwarders observed, a forwarder by
// its own attempts alone. The package has no state, clock or I/O.
package workercapacity

const (
	// Min is the capacity assumed of a worker that has finished nothing yet, in requests per
	// second, so that it receives some.
	Min = 1.0

	// smoothing is the weight of the latest interval in an estimate.
	smoothing = 0.3
	// overloadRatio is the ratio of rejected and lost attempts above which a worker is at its
	// capacity.
	overloadRatio = 0.02
	// headroom is how much more than it finished a worker below its capacity may receive.
	headroom = 1.25
)

// AttemptCounts counts attempts at a worker by outcome.
type AttemptCounts struct {
	Finished int
	Rejected int
	Lost     int // timed out, or the connection broke
}

// Update returns the estimate that follows previous after an interval in which these attempts ended.
// An interval without attempts does not change it.
func Update(previous float64, attempts AttemptCounts, intervalSeconds float64) float64 {
	total := attempts.Finished + attempts.Rejected + attempts.Lost
	unfinished := attempts.Rejected + attempts.Lost
	rate := float64(attempts.Finished) / intervalSeconds
	switch {
	case float64(unfinished) > overloadRatio*float64(total):
		return previous + smoothing*(max(Min, rate)-previous)
	case rate*headroom > previous:
		return previous + smoothing*(rate*headroom-previous)
	}
	return previous
}
