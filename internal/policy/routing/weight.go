package routing

import (
	"math"

	"swiftcourse/internal/policy/workercapacity"
)

const (
	// maxPlanShift is the largest fraction of all weight that one plan may move between workers,
	// so that a wrong plan is noticed before it has moved everything.
	maxPlanShift = 0.25
	// localWeightSmoothing is the weight of the latest estimate in a worker's local weight.
	localWeightSmoothing = 0.3
	// minLearnSeconds is the least divisor for the time since the last estimate.
	minLearnSeconds = 1e-3
)

// planPeriod is when the load plan has influence: all of it until freshUntil, then linearly less.
type planPeriod struct {
	freshUntil  float64
	ignoredFrom float64 // when it has no influence any more
}

// influence returns the fraction of a weight that the plan determines.
func (p *planPeriod) influence(now float64) float64 {
	switch {
	case now <= p.freshUntil:
		return 1
	case now >= p.ignoredFrom:
		return 0
	}
	return (p.ignoredFrom - now) / (p.ignoredFrom - p.freshUntil)
}

// PlanInfluence returns the fraction of the weights that the load plan determines now.
func (r *Router) PlanInfluence(now float64) float64 { return r.plan.influence(now) }

// ApplyPlan moves the workers' weights towards those of a plan. The plan has all influence until
// freshUntil, and loses it linearly over the same duration after that. A worker without a weight in
// the plan gets none. A plan whose weights add up to nothing, or that is no longer fresh, is ignored.
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
	r.plan = planPeriod{freshUntil: freshUntil, ignoredFrom: freshUntil + (freshUntil - now)}
}

// weight returns a worker's weight now, 0 if no request may go to it.
func (r *Router) weight(w *worker, now, planInfluence float64) float64 {
	w.breaker.expireEjection(now)
	if !w.breaker.available(now) {
		return 0
	}
	return w.blendedWeight(planInfluence) * r.slowStartFactor(w, now)
}

// LearnCapacity estimates the workers' capacities and local weights from the attempts that ended in
// the seconds since the last call. The caller calls it periodically.
func (r *Router) LearnCapacity(seconds float64) {
	sum := 0.0
	for _, w := range r.workers {
		w.capacity = workercapacity.Update(w.capacity, w.learnCounts, max(seconds, minLearnSeconds))
		w.learnCounts = workercapacity.AttemptCounts{}
		sum += w.capacity
	}
	for _, w := range r.workers {
		target := w.capacity * float64(len(r.workers)) / sum
		w.localWeight += localWeightSmoothing * (target - w.localWeight)
	}
}
