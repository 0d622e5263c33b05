package routing

import (
	"math"

	"swiftcourse/internal/policy/workercapacity"
)

const (
	// maxPlanShift is the largest fraction of the total weight that one plan may move between workers,
	// so that a wrong plan is noticed before it has moved all requests.
	maxPlanShift = 0.25
	// localWeightSmoothing is the weight of the latest estimate in a worker's local weight.
	localWeightSmoothing = 0.3
	// minLearnSeconds is the lower bound of the time since the last estimate, by which counts are
	// divided to get rates.
	minLearnSeconds = 1e-3
)

// planLifetime determines the influence of the load plan on the weights: full influence until
// freshUntil, then linearly decreasing to none at ignoredFrom.
type planLifetime struct {
	freshUntil  float64
	ignoredFrom float64
}

// influence returns the fraction of the weights that the plan determines, from 0 to 1.
func (p *planLifetime) influence(now float64) float64 {
	switch {
	case now <= p.freshUntil:
		return 1
	case now >= p.ignoredFrom:
		return 0
	}
	return (p.ignoredFrom - now) / (p.ignoredFrom - p.freshUntil)
}

// PlanInfluence returns the fraction of the weights that the load plan determines now, from 0 to 1.
func (r *Router) PlanInfluence(now float64) float64 { return r.plan.influence(now) }

// ApplyPlan moves the workers' weights towards those of a plan. The plan has full influence until
// freshUntil, and then loses it linearly over another freshUntil-now seconds. A worker that is not in
// the plan gets weight 0. A plan is ignored if the sum of its weights is not positive and finite, or
// if it is no longer fresh.
func (r *Router) ApplyPlan(now float64, weights map[string]float64, freshUntil float64) {
	sum := 0.0
	for _, w := range r.workers {
		sum += weights[w.name]
	}
	if !(sum > 0) || math.IsInf(sum, 0) || freshUntil <= now {
		return
	}
	count := float64(len(r.workers))
	target := func(w *worker) float64 { return weights[w.name] / sum * count }

	influence := r.plan.influence(now)
	shift := 0.0
	for _, w := range r.workers {
		w.planWeight = w.blendedWeight(influence)
		shift += math.Abs(target(w)-w.planWeight) / 2
	}
	step := 1.0
	if maxShift := maxPlanShift * count; shift > maxShift {
		step = maxShift / shift
	}
	for _, w := range r.workers {
		w.planWeight += step * (target(w) - w.planWeight)
	}
	r.plan = planLifetime{freshUntil: freshUntil, ignoredFrom: freshUntil + (freshUntil - now)}
}

// weight returns a worker's weight now, 0 if the worker is not available.
func (r *Router) weight(w *worker, now, planInfluence float64) float64 {
	w.breaker.expireEjection(now)
	if !w.breaker.available(now) {
		return 0
	}
	return w.blendedWeight(planInfluence) * r.slowStartFactor(w, now)
}

// LearnCapacity updates the workers' estimated capacities and local weights from the attempts that
// ended since the last call. It must be called periodically, with the seconds since the last call.
func (r *Router) LearnCapacity(seconds float64) {
	sum := 0.0
	for _, w := range r.workers {
		w.capacity = workercapacity.Update(w.capacity, w.countsSinceLearn, max(seconds, minLearnSeconds))
		w.countsSinceLearn = workercapacity.AttemptCounts{}
		sum += w.capacity
	}
	for _, w := range r.workers {
		target := w.capacity * float64(len(r.workers)) / sum
		w.localWeight += localWeightSmoothing * (target - w.localWeight)
	}
}
