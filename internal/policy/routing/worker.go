package routing

import (
	"math"

	"swiftcourse/internal/policy/workercapacity"
)

const (
	// initialLatencySeconds is the latency assumed until an attempt has finished.
	initialLatencySeconds = 0.05
	// latencySmoothing is the weight of the latest attempt in the moving average of a worker's
	// latency, which therefore reflects about the last ten attempts.
	latencySmoothing = 0.1
	// overallLatencySmoothing is the weight of the latest attempt in the average latency of all
	// workers.
	overallLatencySmoothing = latencySmoothing / 10
	// rejectionPenalty is the number of requests in flight that a rejection counts as. It is above 1
	// because a rejected request needs a second attempt.
	rejectionPenalty = 2.0
	// minPenaltyDecaySeconds is the shortest time constant of the decay of penalties.
	minPenaltyDecaySeconds = 0.05
)

// worker is a forwarder's state of one worker.
type worker struct {
	name           string
	breaker        circuitBreaker
	connectedAt    float64 // when the worker last changed from disconnected to connected
	inFlight       int
	averageLatency float64 // in seconds; 0 until an attempt has finished
	penalty        decayingPenalty

	planWeight  float64 // from the load plan; the average over all workers is 1
	localWeight float64 // from this forwarder's own attempts; the average over all workers is 1
	capacity    float64 // estimate of how many of this forwarder's requests it can finish per second

	countsSinceLearn  workercapacity.AttemptCounts // attempts since the last call of LearnCapacity
	countsSinceReport workercapacity.AttemptCounts // attempts since the last call of TakeStats
}

// decayingPenalty is the number of requests in flight that recent rejections count as. It decays
// exponentially over time.
type decayingPenalty struct {
	value     float64
	updatedAt float64
}

// decay decays the penalty by the time since its last update.
func (p *decayingPenalty) decay(now, timeConstant float64) {
	if now > p.updatedAt {
		p.value *= math.Exp(-(now - p.updatedAt) / max(minPenaltyDecaySeconds, timeConstant))
		p.updatedAt = now
	}
}

// updateCounts applies add to both counts of attempts.
func (w *worker) updateCounts(add func(*workercapacity.AttemptCounts)) {
	add(&w.countsSinceLearn)
	add(&w.countsSinceReport)
}

// blendedWeight returns the average of the plan weight and the local weight. planInfluence, from 0 to
// 1, is the proportion of the plan weight.
func (w *worker) blendedWeight(planInfluence float64) float64 {
	return planInfluence*w.planWeight + (1-planInfluence)*w.localWeight
}

// recordLatency adds the latency of a finished attempt to the moving average.
func (w *worker) recordLatency(latency float64) {
	if w.averageLatency == 0 {
		w.averageLatency = latency
	}
	w.averageLatency += latencySmoothing * (latency - w.averageLatency)
}
