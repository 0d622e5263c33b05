package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestNoTaskGoesWhereItMayNot plays workers that come, go, lose and reject, and holds each pick against what was last heard.
func TestNoTaskGoesWhereItMayNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		chance := rand.New(rand.NewPCG(seed, 1))
		r, now := New(seed), 0.0
		linked, open, first, second := map[string]bool{}, map[string][]float64{}, 0, 0
		var names []string
		for i := range 1 + chance.IntN(6) {
			names = append(names, fmt.Sprint("w", i))
			r.AddWorker(now, names[i])
		}
		for range 400 {
			now += 0.05 * chance.ExpFloat64()
			name := names[chance.IntN(len(names))]
			switch chance.IntN(8) {
			case 0:
				linked[name] = chance.IntN(4) > 0
				if r.SetConnected(now, name, linked[name]); !linked[name] {
					for _, at := range open[name] {
						r.FinishAttempt(now, name, ConnectionLost, now-at, 0)
					}
					open[name] = nil
				}
			case 1:
				r.ApplyPlan(now, map[string]float64{name: 1, names[0]: chance.Float64()}, now+chance.Float64())
			case 2, 3, 4:
				safe, except := chance.IntN(2) == 0, names[chance.IntN(len(names))]
				was := r.WorkerState(name)
				got, back := r.Pick(now, safe, except)
				if got == "" {
					if back < 0 || back > maxEjectionSeconds {
						t.Fatalf("nobody, and back in %g", back)
					}
					continue
				}
				w := r.byName[got]
				if got == except || !linked[got] || w.state == Ejected || now < w.unavailableUntil || w.state == Probing && (w.probeInFlight || !safe && now < w.probingSince+idempotentProbeSeconds) {
					t.Fatalf("%s has a task: linked %v, %+v (%s was %s)", got, linked[got], w, name, was)
				}
				r.StartAttempt(now, got, 1)
				open[got] = append(open[got], now)
				first++
			default:
				if len(open[name]) == 0 {
					continue
				}
				end := []Outcome{Finished, Rejected, Failed, NotSent, TimedOut, Cancelled}[chance.IntN(6)]
				r.FinishAttempt(now, name, end, now-open[name][0], 0.2*chance.Float64())
				open[name] = open[name][1:]
				safe := chance.IntN(2) == 0
				if r.AllowRetry(end, 1, safe, 1, 0.1) {
					if second++; !end.KnownNotExecuted() && !safe || end == Finished || end == TimedOut || end == Failed {
						t.Fatalf("a second try after %d, safe %v", end, safe)
					}
				}
			}
			for _, name := range names {
				if w := r.byName[name]; w.inFlight != len(open[name]) {
					t.Fatalf("%s has %d open, not %d", name, w.inFlight, len(open[name]))
				}
			}
		}
		if float64(second) > maxRetryTokens+retryRatio*float64(first) {
			t.Fatalf("%d second tries of %d", second, first)
		}
	})
}

// TestAnAgeingPlanHasNoCliff: weights go over from the plan's to even ones, and a plan moves no more than a part at a time.
func TestAnAgeingPlanHasNoCliff(t *testing.T) {
	r := New(1)
	for i := range 4 {
		r.AddWorker(0, fmt.Sprint("w", i))
		r.SetConnected(0, fmt.Sprint("w", i), true)
	}
	plan := map[string]float64{"w0": 0.7, "w1": 0.1, "w2": 0.2}
	for n := range 8 {
		was := r.byName["w0"].planWeight
		r.ApplyPlan(float64(n)/10, plan, 3)
		if is := r.byName["w0"].planWeight; is < was-1e-9 || is-was > 4*maxPlanShift+1e-9 {
			t.Errorf("one plan moves w0 from %g to %g", was, is)
		}
	}
	if w := r.byName["w0"].planWeight; math.Abs(w-2.8) > 1e-6 {
		t.Errorf("followed for long it weighs %g, not 2.8", w)
	}
	was := r.weight(r.byName["w0"], 3, r.planInfluence(3))
	for now := 3.0; now < 8; now += 0.01 {
		is := r.weight(r.byName["w0"], now, r.planInfluence(now))
		if is > was+1e-9 || was-is > 0.02 {
			t.Fatalf("at %g it falls from %g to %g", now, was, is)
		}
		was = is
	}
	if was != 1 {
		t.Errorf("without a plan it weighs %g", was)
	}
}

// TestASlowWorkerThatRejectsDrawsNoHerd: one of four rejects all at once, and has less than its part of the tasks.
func TestASlowWorkerThatRejectsDrawsNoHerd(t *testing.T) {
	r, now := New(7), 0.0
	type run struct {
		name string
		at   float64
	}
	var runs []run
	sent := map[string]int{}
	for i := range 4 {
		r.AddWorker(0, fmt.Sprint("w", i))
		r.SetConnected(0, fmt.Sprint("w", i), true)
	}
	for range 4000 {
		now += 0.005 // 200 a second, 100 ms each: twenty are out at a time
		for len(runs) > 0 && now >= runs[0].at+0.1 {
			r.FinishAttempt(now, runs[0].name, Finished, 0.1, 0)
			runs = runs[1:]
		}
		name, _ := r.Pick(now, true)
		sent[name]++
		r.StartAttempt(now, name, 1)
		if name == "w0" {
			r.FinishAttempt(now, name, Rejected, 0.001, 0)
		} else {
			runs = append(runs, run{name, now})
		}
	}
	if sent["w0"] > 800 {
		t.Errorf("the one that rejects all had %d of 4000", sent["w0"])
	}
}

func BenchmarkPickOf1000(b *testing.B) {
	r := New(1)
	for i := range 1000 {
		r.AddWorker(0, fmt.Sprint(i))
		r.SetConnected(0, fmt.Sprint(i), true)
	}
	for b.Loop() {
		name, _ := r.Pick(1, true)
		r.StartAttempt(1, name, 1)
		r.FinishAttempt(1, name, Finished, 0.01, 0)
	}
}

// A worker starts cold among warm ones, and up to 40 forwarders that know nothing of one another send to it: in each time of the
// settings what all send together is held against N + 2 sqrt(N) + 2, N being its part of the work at its stated speed.
func TestWhatAllSendToAColdWorker(t *testing.T) {
	windows, over, sent, allowed := 0, 0, 0.0, 0.0
	chance := rand.New(rand.NewPCG(20261201, 7))
	for round := range 120 {
		senders, workers := 1+round%40, 3+chance.IntN(30)
		from, lasts, window := 0.2+0.3*chance.Float64(), 5+13*chance.Float64(), 1.5+chance.Float64()
		rate := float64(workers) * (2 + 30*chance.Float64()) // tasks a second of all
		var fleet []*Router
		for range senders {
			r := New(chance.Uint64())
			r.SetSlowStart(from, lasts)
			for i := range workers {
				name := fmt.Sprint("w", i)
				r.AddWorker(0, name)
				r.SetConnected(-100, name, true)
			}
			r.SetConnected(0, "w0", false)
			r.SetConnected(0, "w0", true)
			fleet = append(fleet, r)
		}
		counts := make([]float64, int(lasts/window))
		type task struct {
			at     float64
			sender *Router
			worker string
		}
		var open []task // in the order of their beginning
		for now := chance.ExpFloat64() / rate; now < window*float64(len(counts)); now += chance.ExpFloat64() / rate {
			for len(open) > 0 && open[0].at+0.4 < now {
				open[0].sender.FinishAttempt(now, open[0].worker, Finished, 0.4, 0)
				open = open[1:]
			}
			r := fleet[chance.IntN(senders)]
			name, _ := r.Pick(now, true)
			r.StartAttempt(now, name, 1)
			open = append(open, task{now, r, name})
			if name == "w0" {
				counts[int(now/window)]++
			}
		}
		for i, n := range counts {
			at := from + (1-from)*(float64(i)+0.5)*window/lasts
			most := at * rate / float64(workers) * window
			windows++
			sent, allowed = sent+n, allowed+most
			if n > most+2*math.Sqrt(most)+2 {
				over++
			}
		}
	}
	t.Logf("%d of %d times over; %.0f sent of %.0f allowed", over, windows, sent, allowed)
	if windows < 500 || over > windows/500 || sent > 0.9*allowed || sent < 0.6*allowed {
		t.Errorf("%d of %d times over; %.0f sent of %.0f allowed", over, windows, sent, allowed)
	}
}

// A worker that is cold is neither left out nor given more for being idle; where all are, each has its part.
func TestAllColdWorkersShareAlike(t *testing.T) {
	r := New(3)
	r.SetSlowStart(0.2, 10)
	got := map[string]int{}
	for i := range 4 {
		r.AddWorker(0, fmt.Sprint("w", i))
		r.SetConnected(0, fmt.Sprint("w", i), true)
	}
	for i := range 4000 {
		name, _ := r.Pick(float64(i)/1000, true)
		got[name]++
	}
	for name, n := range got {
		if n < 850 || n > 1150 {
			t.Errorf("%s has %d of 4000", name, n)
		}
	}
}
