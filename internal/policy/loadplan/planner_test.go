package loadplan

import (
	"fmt"
	"math"
	"testing"
)

func TestPlanner_WeightsFollowCapacity(t *testing.T) {
	// Worker fast finishes three times as many requests as slow. Only forwarder b reaches far.
	planner := New(1, 1, 0)
	var assignments map[string]*Assignment
	for round := range 40 {
		assignments = map[string]*Assignment{}
		for _, forwarder := range []string{"a", "b"} {
			far := WorkerStats{Name: "far"}
			if forwarder == "b" {
				far = WorkerStats{Name: "far", Connected: true, Finished: 40, Rejected: 5}
			}
			assignments[forwarder] = planner.HandleReport(float64(round)/2, &Report{
				Name:            forwarder,
				Incarnation:     1,
				Sequence:        uint64(round + 1),
				IntervalSeconds: 0.5,
				Demand:          []TenantRate{{"x", 100}},
				Workers: []WorkerStats{
					{Name: "fast", Connected: true, Finished: 30, Rejected: 5},
					{Name: "slow", Connected: true, Finished: 10, Rejected: 5},
					far,
				},
			})
		}
	}
	if planner.fallbacks > 0 {
		t.Errorf("the linear program of %d plans was not solved, want 0", planner.fallbacks)
	}
	a, sumA := assignments["a"].WeightsByName(), weightSum(assignments["a"])
	b, sumB := assignments["b"].WeightsByName(), weightSum(assignments["b"])
	if math.Abs(sumA-1) > 1e-6 || math.Abs(sumB-1) > 1e-6 || math.Abs(a["fast"]/a["slow"]-3) > 0.1 || a["far"] != 0 {
		t.Errorf("weights of a %v (sum %g), of b %v (sum %g); want sums of 1, a[fast] = 3 a[slow], a[far] = 0",
			a, sumA, b, sumB)
	}
	// The workers finish 240 requests/s and the demand is 200 requests/s. At equal utilization, far
	// gets 80/240 of the demand, all of it from b.
	if far := 100 * b["far"]; math.Abs(far-200.0/3) > 4 {
		t.Errorf("far gets %.1f requests/s, want %.1f; weights of b %v", far, 200.0/3, b)
	}
	if assignments["a"].RateLimits != nil {
		t.Errorf("rate limits of a are %v, want none: the demand is below the capacity", assignments["a"].RateLimits)
	}
}

func weightSum(assignment *Assignment) float64 {
	sum := 0.0
	for _, weight := range assignment.Weights {
		sum += weight.Weight
	}
	return sum
}

func TestPlanner_RateLimitsAreMaxMinFairWithinCapacity(t *testing.T) {
	planner := New(1, 1, 0)
	demandByForwarder := map[string][]TenantRate{
		"a": {{"small", 10}, {"large", 200}},
		"b": {{"large", 100}},
	}
	var assignments map[string]*Assignment
	for round := range 40 {
		assignments = map[string]*Assignment{}
		for forwarder, demand := range demandByForwarder {
			assignments[forwarder] = planner.HandleReport(float64(round)/2, &Report{
				Name:            forwarder,
				Incarnation:     1,
				Sequence:        uint64(round + 1),
				IntervalSeconds: 0.5,
				Demand:          demand,
				Workers:         []WorkerStats{{Name: "w", Connected: true, Finished: 25, Rejected: 50}},
			})
		}
	}
	sum, rates := 0.0, map[string]float64{}
	for forwarder, assignment := range assignments {
		for _, limit := range assignment.RateLimits {
			rates[forwarder+"/"+limit.Tenant] = limit.Rate
			sum += limit.Rate
		}
	}
	largeRatio := rates["a/large"] / rates["b/large"]
	if sum > 100*1.05 || math.Abs(rates["a/small"]-10) > 0.1 || math.Abs(largeRatio-2) > 0.01 {
		t.Errorf("rate limits add up to %.1f requests/s: %v; want at most 105, a/small 10, a/large twice b/large",
			sum, rates)
	}
}

func TestPlanner_RejectsInvalidReports(t *testing.T) {
	planner := New(1, 1, 0)
	reports := []Report{
		{},
		{Name: "a", IntervalSeconds: -1},
		{Name: "a", IntervalSeconds: 1, Demand: []TenantRate{{"x", math.Inf(1)}}},
		{Name: "a", IntervalSeconds: 1, Demand: []TenantRate{{"x", math.NaN()}}},
		{Name: "a", IntervalSeconds: 1, Workers: []WorkerStats{{Name: "w", Finished: -1}}},
		{Name: "a", IntervalSeconds: 1, Workers: []WorkerStats{{Name: "w", Finished: math.MaxInt32}}},
	}
	for _, report := range reports {
		if planner.HandleReport(5, &report) != nil {
			t.Errorf("invalid report %+v was answered with an assignment, want nil", report)
		}
	}
	if planner.invalidReports != len(reports) || len(planner.forwarders) > 0 {
		t.Errorf("%d invalid reports counted and %d forwarders stored, want %d and 0",
			planner.invalidReports, len(planner.forwarders), len(reports))
	}
}

// benchmarkPlan measures the computation of a plan. Each forwarder is connected to all workers or, if
// unreachableOneIn is above 1, to all but one in that many workers.
func benchmarkPlan(b *testing.B, forwarders, workers, unreachableOneIn int) {
	b.Helper()
	planner := New(1, 1, 0)
	for f := range forwarders {
		report := &Report{
			Name:            fmt.Sprint("f", f),
			Incarnation:     1,
			Sequence:        1,
			IntervalSeconds: 0.5,
			Demand:          []TenantRate{{"x", 100}},
		}
		for w := range workers {
			report.Workers = append(report.Workers, WorkerStats{
				Name:      fmt.Sprint("w", w),
				Connected: unreachableOneIn == 1 || w%unreachableOneIn != f%unreachableOneIn,
				Finished:  5 + w%7,
			})
		}
		planner.HandleReport(0, report)
	}
	for b.Loop() {
		planner.solve(planner.lastSolvedAt + 0.5)
		for _, forwarder := range planner.forwarders {
			forwarder.lastReportAt = planner.lastSolvedAt
		}
		for _, worker := range planner.workers {
			worker.lastConnectedAt = planner.lastSolvedAt
		}
	}
	if planner.fallbacks > 0 {
		b.Errorf("the linear program of %d plans was not solved, want 0", planner.fallbacks)
	}
}

func BenchmarkPlan10(b *testing.B)         { benchmarkPlan(b, 3, 10, 1) }
func BenchmarkPlan100(b *testing.B)        { benchmarkPlan(b, 10, 100, 4) }
func BenchmarkPlan1000(b *testing.B)       { benchmarkPlan(b, 100, 1000, 1) }
func BenchmarkPlan1000Parted(b *testing.B) { benchmarkPlan(b, 100, 1000, 8) }
