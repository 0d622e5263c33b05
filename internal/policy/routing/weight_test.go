package routing

import (
	"math"
	"testing"
)

func TestRouter_PlanShiftsWeightInSteps(t *testing.T) {
	const workers = 4
	router := connectedRouter(1, workers)
	plan := map[string]float64{"w0": 0.7, "w1": 0.1, "w2": 0.2}
	for step := range 8 {
		before := router.byName["w0"].planWeight
		router.ApplyPlan(float64(step)/10, plan, 3)
		after := router.byName["w0"].planWeight
		if after < before-1e-9 || after-before > workers*maxPlanShift+1e-9 {
			t.Errorf("one plan moves w0 from %g to %g", before, after)
		}
	}
	if weight := router.byName["w0"].planWeight; math.Abs(weight-2.8) > 1e-6 {
		t.Errorf("after eight plans it weighs %g, not 2.8", weight)
	}
}

// The weights move from the plan's to even ones while the plan ages.
func TestRouter_AgingPlanHasNoCliff(t *testing.T) {
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
			t.Fatalf("at %g it falls from %g to %g", now, before, after)
		}
		before = after
	}
	if before != 1 {
		t.Errorf("without a plan it weighs %g", before)
	}
}
