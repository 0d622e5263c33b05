package routing

import (
	"math"
	"testing"
)

func TestRouter_LimitsWeightShiftPerPlan(t *testing.T) {
	const workers = 4
	router := connectedRouter(1, workers)
	plan := map[string]float64{"w0": 0.7, "w1": 0.1, "w2": 0.2}
	for step := range 8 {
		before := router.byName["w0"].planWeight
		router.ApplyPlan(float64(step)/10, plan, 3)
		after := router.byName["w0"].planWeight
		if after < before-1e-9 || after-before > workers*maxPlanShift+1e-9 {
			t.Errorf("plan %d moved the weight of w0 from %g to %g, want a rise of at most %g",
				step, before, after, workers*maxPlanShift)
		}
	}
	if weight := router.byName["w0"].planWeight; math.Abs(weight-2.8) > 1e-6 {
		t.Errorf("weight of w0 after eight plans is %g, want 2.8", weight)
	}
}

// While a plan ages, the weights must move gradually from the plan's to the local ones, here equal for
// all workers.
func TestRouter_WeightChangesGraduallyAsPlanAges(t *testing.T) {
	const freshUntil = 3.0
	router := connectedRouter(1, 4)
	plan := map[string]float64{"w0": 0.7, "w1": 0.1, "w2": 0.2}
	for step := range 8 {
		router.ApplyPlan(float64(step)/10, plan, freshUntil)
	}
	w0 := router.byName["w0"]
	before := router.weight(w0, freshUntil, router.PlanInfluence(freshUntil))
	for now := freshUntil; now < 8; now += 0.01 {
		after := router.weight(w0, now, router.PlanInfluence(now))
		if after > before+1e-9 || before-after > 0.02 {
			t.Fatalf("weight of w0 at %g s changed from %g to %g, want a fall of at most 0.02", now, before, after)
		}
		before = after
	}
	if before != 1 {
		t.Errorf("weight of w0 after the plan lost its influence is %g, want 1", before)
	}
}
