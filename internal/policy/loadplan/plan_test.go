package loadplan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestAForwarderNeverGoesBack plays planners of several terms that answer late, doubled and out of order, and forwarders that return cold.
func TestAForwarderNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chance := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now, life := 0.0, uint64(1)
		h := NewSubscriber(life)
		planners := []*Planner{New(1, 1, now)}
		var late []*Assignment
		var holds Version
		for range 300 {
			now += 0.4 * chance.Float64()
			switch chance.IntN(10) {
			case 0:
				planners = append(planners, New(1, uint64(len(planners)+1), now))
			case 1:
				life++
				h, holds = NewSubscriber(life), Version{}
			}
			r := &Report{Name: "f", IntervalSeconds: 0.5, Workers: []WorkerStats{{Name: "w", Connected: true, Finished: 3}}}
			h.StampReport(now, r)
			if a := planners[chance.IntN(len(planners))].HandleReport(now, r); a != nil {
				late = append(late, a)
			}
			for range chance.IntN(3) {
				if len(late) == 0 {
					break
				}
				a := late[chance.IntN(len(late))]
				until := h.Accept(now, a)
				if until == 0 {
					continue
				}
				if a.Incarnation != life || a.Version.Compare(holds) < 0 || until <= now || until > now+LeaseSeconds {
					t.Fatalf("at %g life %d that holds %v takes %+v until %g", now, life, holds, a, until)
				}
				holds = a.Version
			}
		}
	})
}

// TestWeightsFollowWhatWorkersDo: of two workers one finishes three times what the other does, a third is reached by one forwarder alone.
func TestWeightsFollowWhatWorkersDo(t *testing.T) {
	p := New(1, 1, 0)
	var parts map[string]*Assignment
	for n := range 40 {
		parts = map[string]*Assignment{}
		for _, f := range []string{"a", "b"} {
			r := &Report{Name: f, Incarnation: 1, Sequence: uint64(n + 1), IntervalSeconds: 0.5, Demand: []TenantRate{{"x", 100}}, Workers: []WorkerStats{
				{Name: "fast", Connected: true, Finished: 30, Rejected: 5}, {Name: "slow", Connected: true, Finished: 10, Rejected: 5},
				{Name: "far", Connected: f == "b", Finished: map[string]int{"b": 40}[f], Rejected: map[string]int{"b": 5}[f]}}}
			parts[f] = p.HandleReport(float64(n)/2, r)
		}
	}
	if p.Fallbacks > 0 {
		t.Errorf("%d plans were not solved", p.Fallbacks)
	}
	weights := func(f string) (w map[string]float64, sum float64) {
		w = map[string]float64{}
		for _, one := range parts[f].Weights {
			w[one.Name] = one.Weight
			sum += one.Weight
		}
		return w, sum
	}
	a, sumA := weights("a")
	b, sumB := weights("b")
	if math.Abs(sumA-1) > 1e-6 || math.Abs(sumB-1) > 1e-6 || math.Abs(a["fast"]/a["slow"]-3) > 0.1 || a["far"] != 0 {
		t.Errorf("a %v, b %v", a, b)
	}
	// They finish 240 a second of 200 asked for: asked for evenly, far has 80/240 of it, all from b.
	if far := 100 * b["far"]; math.Abs(far-200.0/3) > 4 {
		t.Errorf("far is asked for %.1f a second, b %v", far, b)
	}
	if parts["a"].RateLimits != nil {
		t.Errorf("all fits, and yet a is bound: %v", parts["a"].RateLimits)
	}
}

// TestRatesAreFairAndWithinWhatWorkersDo where more is asked for than they finish.
func TestRatesAreFairAndWithinWhatWorkersDo(t *testing.T) {
	p := New(1, 1, 0)
	var parts map[string]*Assignment
	for n := range 40 {
		parts = map[string]*Assignment{}
		for f, demand := range map[string][]TenantRate{"a": {{"small", 10}, {"large", 200}}, "b": {{"large", 100}}} {
			parts[f] = p.HandleReport(float64(n)/2, &Report{Name: f, Incarnation: 1, Sequence: uint64(n + 1), IntervalSeconds: 0.5, Demand: demand,
				Workers: []WorkerStats{{Name: "w", Connected: true, Finished: 25, Rejected: 50}}})
		}
	}
	sum, rates := 0.0, map[string]float64{}
	for f, part := range parts {
		for _, d := range part.RateLimits {
			rates[f+"/"+d.Tenant] = d.Rate
			sum += d.Rate
		}
	}
	if sum > 100*1.05 || math.Abs(rates["a/small"]-10) > 0.1 || math.Abs(rates["a/large"]/rates["b/large"]-2) > 0.01 {
		t.Errorf("of 100 a second %.1f are let in: %v", sum, rates)
	}
}

func TestNonsenseIsRefused(t *testing.T) {
	p := New(1, 1, 0)
	for _, r := range []Report{{}, {Name: "a", IntervalSeconds: -1}, {Name: "a", IntervalSeconds: 1, Demand: []TenantRate{{"x", math.Inf(1)}}}, {Name: "a", IntervalSeconds: 1, Demand: []TenantRate{{"x", math.NaN()}}},
		{Name: "a", IntervalSeconds: 1, Workers: []WorkerStats{{Name: "w", Finished: -1}}}, {Name: "a", IntervalSeconds: 1, Workers: []WorkerStats{{Name: "w", Finished: math.MaxInt32}}}} {
		if p.HandleReport(5, &r) != nil {
			t.Errorf("%+v has a part", r)
		}
	}
	if p.InvalidReports != 6 || len(p.forwarders) > 0 {
		t.Errorf("%d refused, %d kept", p.InvalidReports, len(p.forwarders))
	}
}

func benchmark(b *testing.B, forwarders, workers, reaches int) {
	p := New(1, 1, 0)
	for f := range forwarders {
		r := &Report{Name: fmt.Sprint("f", f), Incarnation: 1, Sequence: 1, IntervalSeconds: 0.5, Demand: []TenantRate{{"x", 100}}}
		for w := range workers {
			r.Workers = append(r.Workers, WorkerStats{Name: fmt.Sprint("w", w), Connected: reaches == 1 || w%reaches != f%reaches, Finished: 5 + w%7})
		}
		p.HandleReport(0, r)
	}
	for b.Loop() {
		p.solve(p.lastSolved + 0.5)
		for _, f := range p.forwarders {
			f.lastReport = p.lastSolved
		}
		for _, w := range p.workers {
			w.lastConnected = p.lastSolved
		}
	}
	if p.Fallbacks > 0 {
		b.Error("not solved")
	}
}

func BenchmarkPlan10(b *testing.B)         { benchmark(b, 3, 10, 1) }
func BenchmarkPlan100(b *testing.B)        { benchmark(b, 10, 100, 4) }
func BenchmarkPlan1000(b *testing.B)       { benchmark(b, 100, 1000, 1) }
func BenchmarkPlan1000Parted(b *testing.B) { benchmark(b, 100, 1000, 8) }

// TestEverySequenceOfSixSteps of two planners that both believe they lead and a forwarder: reports, answers that are kept back, doubled or out of order,
// time that passes, a forwarder back cold.
func TestEverySequenceOfSixSteps(t *testing.T) {
	const steps, kinds = 6, 8
	sequences := 1
	for range steps {
		sequences *= kinds
	}
	taken := 0
	for sequence := range sequences {
		now, life := 10.0, uint64(1)
		planners := [2]*Planner{New(1, 1, 0), New(1, 2, 0)}
		h := NewSubscriber(life)
		var sent [2][]*Assignment
		var holds Version
		var until float64
		for rest, n := sequence, 0; n < steps; rest, n = rest/kinds, n+1 {
			which, last := 0, false
			switch kind := rest % kinds; kind {
			case 0, 1: // a report to one of them
				r := &Report{Name: "f", IntervalSeconds: 0.5, Workers: []WorkerStats{{Name: "w", Connected: true}}}
				h.StampReport(now, r)
				if a := planners[kind].HandleReport(now, r); a != nil {
					sent[kind] = append(sent[kind], a)
				}
				continue
			case 2:
				now += 0.6 * LeaseSeconds
				continue
			case 3:
				life++
				h, holds, until = NewSubscriber(life), Version{}, 0
				continue
			case 4, 5: // the first answer of one, again if it came already
				which = kind - 4
			default: // the last
				which, last = kind-6, true
			}
			if len(sent[which]) == 0 {
				continue
			}
			a := sent[which][0]
			if last {
				a = sent[which][len(sent[which])-1]
			}
			if till := h.Accept(now, a); till > 0 {
				if taken++; a.Incarnation != life || a.Version.Compare(holds) < 0 || till > now+LeaseSeconds || till <= now || a.Version == holds && till != until {
					t.Fatalf("sequence %o: at %g life %d that holds %v takes %+v until %g", sequence, now, life, holds, a, till)
				}
				holds, until = a.Version, till
			}
		}
	}
	if taken < sequences/4 {
		t.Errorf("of %d sequences only %d parts are taken", sequences, taken)
	}
}
