package routing

import (
	"math"
	"slices"
)

// Pick returns the worker for a request: of two drawn by weight, the one with the lower expected
// latency. The name is "" if no worker may have the request; retryAfter is then the seconds until
// one may, 0 if that is unknown. Excluded are the workers that had the request before. A worker that
// is probed receives only idempotent requests at first.
func (r *Router) Pick(now float64, isIdempotent bool, excluded ...string) (name string, retryAfter float64) {
	total := r.sumWeights(now, isIdempotent, excluded)
	if total <= 0 {
		return "", r.nextAvailability(now)
	}
	first := r.workerAt(total * r.random())
	second := r.workerAt(total * r.random())
	// A worker in slow start has few requests in flight: preferring it would double its share.
	isWarm := r.slowStartFactor(second, now) == 1
	if isWarm && r.expectedLatency(second, now) < r.expectedLatency(first, now) {
		return second.name, 0
	}
	return first.name, 0
}

// sumWeights sets the cumulative weights of the workers for a request and returns their sum.
func (r *Router) sumWeights(now float64, isIdempotent bool, excluded []string) float64 {
	influence := r.plan.influence(now)
	total := 0.0
	r.cumulativeWeights = r.cumulativeWeights[:0]
	for _, w := range r.workers {
		weight := r.weight(w, now, influence)
		isRefused := !isIdempotent && w.breaker.acceptsOnlyIdempotent(now)
		if isRefused || slices.Contains(excluded, w.name) {
			weight = 0
		}
		total += weight
		r.cumulativeWeights = append(r.cumulativeWeights, total)
	}
	return total
}

// nextAvailability returns the seconds until a connected worker is available, 0 if none is waiting
// for a time to pass. The caller has found that no worker is available now.
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

// workerAt returns the worker whose range of the cumulative weights a number falls into.
func (r *Router) workerAt(position float64) *worker {
	index, _ := slices.BinarySearch(r.cumulativeWeights, position)
	// The end of a range belongs to the next worker; those without weight have an empty range.
	for index < len(r.cumulativeWeights)-1 && r.cumulativeWeights[index] <= position {
		index++
	}
	return r.workers[min(index, len(r.workers)-1)]
}

// expectedLatency returns an estimate of how long a request would take at the worker, to compare
// workers by. It decays the worker's penalty to now first.
func (r *Router) expectedLatency(w *worker, now float64) float64 {
	r.decayPenalty(w, now)
	latency := w.latency
	if latency == 0 {
		latency = r.latency
	}
	return (float64(w.inFlight) + w.penalty.value + 1) * latency
}

// decayPenalty decays a worker's penalty with the mean latency of all workers as its time constant.
// Without the penalty a worker that rejects at once would look as idle as a fast one, and attract
// all requests.
func (r *Router) decayPenalty(w *worker, now float64) { w.penalty.decay(now, r.latency) }
