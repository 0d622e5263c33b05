package loadplan

const (
	// capacitySmoothing is the weight of the latest round in a worker's learned capacity.
	capacitySmoothing = 0.3
	// overloadRatio is the ratio of rejected and lost attempts above which a worker is at its
	// capacity.
	overloadRatio = 0.02
	// capacityHeadroom is how much more than it finished a worker below its capacity may receive.
	capacityHeadroom = 1.25
	// minCapacity is the capacity assumed of a worker that has finished nothing yet, so that it
	// receives some requests.
	minCapacity = 1.0
)

// workerState is what the planner knows of a worker.
type workerState struct {
	capacity      float64
	lastConnected float64 // when a forwarder was last connected to it
	round         roundStats
}

// roundStats sums up what all forwarders observed of a worker since the last plan.
type roundStats struct {
	finished float64
	rejected float64
	lost     float64
	seconds  float64 // the longest time that one of the reports covers
}

func (s *roundStats) add(stats *WorkerStats, seconds float64) {
	s.finished += float64(stats.Finished)
	s.rejected += float64(stats.Rejected)
	s.lost += float64(stats.Lost)
	s.seconds = max(s.seconds, seconds)
}

// learnCapacity estimates the worker's capacity from the round that ends, and starts the next one.
func (w *workerState) learnCapacity(roundSeconds float64) {
	round := w.round
	w.round = roundStats{}
	attempts := round.finished + round.rejected + round.lost
	if attempts <= 0 {
		return
	}
	rate := round.finished / max(roundSeconds, round.seconds)
	switch {
	case round.rejected+round.lost > overloadRatio*attempts:
		w.capacity += capacitySmoothing * (max(minCapacity, rate) - w.capacity)
	case rate*capacityHeadroom > w.capacity:
		w.capacity += capacitySmoothing * (rate*capacityHeadroom - w.capacity)
	}
}
