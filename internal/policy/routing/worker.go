package routing

import (
	"math"

	"swiftcourse/internal/policy/workercapacity"
)

const (
	// initialLatency is the latency assumed until an attempt has finished, in seconds.
	initialLatency = 0.05
	// latencySmoothing is the weight of the latest attempt in a worker's latency: some ten
	// attempts determine it.
	latencySmoothing = 0.1
	// overallLatencySmoothing is that weight in the latency of all workers together.
	overallLatencySmoothing = latencySmoothing / 10
	// rejectionPenalty is how many requests in flight a rejection counts as: the request needs a
	// second attempt, which a finished one does not.
	rejectionPenalty = 2.0
	// minPenaltyDecaySeconds is the shortest time constant by which penalties decay.
	minPenaltyDecaySeconds = 0.05
)

// worker is the state of one worker.
type worker struct {
	name        string
	breaker     circuitBreaker
	connectedAt float64 // when the worker last changed from disconnected to connected
	inFlight    int
	latency     float64 // moving average in seconds, 0 until an attempt has finished
	penalty     decayingPenalty

	planWeight  float64 // by the load plan, 1 on average
	localWeight float64 // by this forwarder's own attempts, 1 on average
	capacity    float64 // requests per second of this forwarder that it finishes

	learnCounts  workercapacity.AttemptCounts // since the last call of LearnCapacity
	reportCounts workercapacity.AttemptCounts // since the last call of TakeStats
}

// decayingPenalty is the number of requests in flight that recent rejections count as. It decays
// exponentially.
type decayingPenalty struct {
	value     float64
	updatedAt float64
}

// decay reduces the penalty by the time since it was updated.
func (p *decayingPenalty) decay(now, timeConstant float64) {
	if now > p.updatedAt {
		p.value *= math.Exp(-(now - p.updatedAt) / max(minPenaltyDecaySeconds, timeConstant))
		p.updatedAt = now
	}
}

// updateCounts applies a change to both counts of attempts.
func (w *worker) updateCounts(add func(*workercapacity.AttemptCounts)) {
	add(&w.learnCounts)
	add(&w.reportCounts)
}

// blendedWeight returns the weight with the plan's influence, from 0 to 1.
func (w *worker) blendedWeight(planInfluence float64) float64 {
	return planInfluence*w.planWeight + (1-planInfluence)*w.localWeight
}

// recordLatency adds a finished attempt to the moving average.
func (w *worker) recordLatency(latency float64) {
	if w.latency == 0 {
		w.latency = latency
	}
	w.latency += latencySmoothing * (latency - w.latency)
}
