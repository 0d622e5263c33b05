package routing

import (
	"math"
	"slices"
)

// Pick returns the name of the worker for a request. Of two workers drawn by weight, it prefers the
// one with the lower expected latency. excluded are the workers that already had an attempt at the
// request. A worker that is being probed receives only idempotent requests at first. If no worker is
// available, name is empty and retryAfter is the time, in seconds, until one is; 0 if that is
// unknown.
func (r *Router) Pick(now float64, isIdempotent bool, excluded ...string) (name string, retryAfter float64) {
	total := r.sumWeights(now, isIdempotent, excluded)
	if total <= 0 {
		return "", r.nextAvailability(now)
	}
	first := r.workerAt(total * r.random())
	second := r.workerAt(total * r.random())
	// A worker in slow start has few requests in flight. Preferring it for that would double its
	// share of the requests.
	isWarm := r.slowStartFactor(second, now) == 1
	if isWarm && r.expectedLatency(second, now) < r.expectedLatency(first, now) {
		return second.name, 0
	}
	return first.name, 0
}

// sumWeights computes the cumulative weights of the workers for a request and returns their sum.
func (r *Router) sumWeights(now float64, isIdempotent bool, excluded []string) float64 {
	influence := r.plan.influence(now)
	total := 0.0
	r.cumulativeWeights = r.cumulativeWeights[:0]
	for _, w := range r.workers {
		weight := r.weight(w, now, influence)
		isProbeReserved := !isIdempotent && w.breaker.acceptsOnlyIdempotent(now)
		if isProbeReserved || slices.Contains(excluded, w.name) {
			weight = 0
		}
		total += weight
		r.cumulativeWeights = append(r.cumulativeWeights, total)
	}
	return total
}

// nextAvailability returns the time, in seconds, until the first ejection or Retry-After of a
// connected worker ends; 0 if there is none. It is called when no worker is available.
func (r *Router) nextAvailability(now float64) float64 {
	next := math.Inf(1)
	for _, w := range r.workers {
		if w.breaker.state != disconnected && w.breaker.unavailableUntil > now {
			next = min(next, w.breaker.unavailableUntil-now)
		}
	}
	if math.IsInf(next, 1) {
		return 0
	}
	return next
}

// workerAt returns the worker whose range of the cumulative weights contains a position.
func (r *Router) workerAt(position float64) *worker {
	index, _ := slices.BinarySearch(r.cumulativeWeights, position)
	// A position at the end of a range belongs to the next worker. Workers without weight have an
	// empty range and are skipped.
	for index < len(r.cumulativeWeights)-1 && r.cumulativeWeights[index] <= position {
		index++
	}
	return r.workers[min(index, len(r.workers)-1)]
}

// expectedLatency estimates the latency of a new request at the worker, for comparing workers. It
// first decays the worker's penalty.
func (r *Router) expectedLatency(w *worker, now float64) float64 {
	r.decayPenalty(w, now)
	latency := w.averageLatency
	if latency == 0 {
		latency = r.averageLatency
	}
	return (float64(w.inFlight) + w.penalty.value + 1) * latency
}

// decayPenalty decays a worker's penalty to its value at now, with the average latency of all workers
// as the time constant. Without the penalty, a worker that rejects requests immediately would look as
// idle as a fast worker and attract all requests.
func (r *Router) decayPenalty(w *worker, now float64) { w.penalty.decay(now, r.averageLatency) }
