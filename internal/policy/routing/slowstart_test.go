package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// slowStartTrial is a set of independent forwarders, with worker w0 in slow start and other workers
// that are past it.
type slowStartTrial struct {
	rng             *rand.Rand
	forwarders      []*Router
	workers         int
	initialSpeed    float64
	durationSeconds float64 // of the slow start
	windowSeconds   float64 // length of the windows in which requests are counted
	rate            float64 // requests per second of all forwarders together
}

func newSlowStartTrial(rng *rand.Rand, forwarders int) *slowStartTrial {
	trial := &slowStartTrial{rng: rng, workers: 3 + rng.IntN(30)}
	trial.initialSpeed = 0.2 + 0.3*rng.Float64()
	trial.durationSeconds = 5 + 13*rng.Float64()
	trial.windowSeconds = 1.5 + rng.Float64()
	trial.rate = float64(trial.workers) * (2 + 30*rng.Float64())
	for range forwarders {
		router := New(rng.Uint64())
		router.SetSlowStart(trial.initialSpeed, trial.durationSeconds)
		for i := range trial.workers {
			name := fmt.Sprint("w", i)
			router.AddWorker(0, name)
			router.SetConnected(-100, name, true)
		}
		router.SetConnected(0, "w0", false)
		router.SetConnected(0, "w0", true)
		trial.forwarders = append(trial.forwarders, router)
	}
	return trial
}

// run returns the number of requests that w0 receives in each window.
func (s *slowStartTrial) run() []float64 {
	const duration = 0.4
	type request struct {
		started   float64
		forwarder *Router
		worker    string
	}
	counts := make([]float64, int(s.durationSeconds/s.windowSeconds))
	end := s.windowSeconds * float64(len(counts))
	var inFlight []request // ordered by start time
	for now := s.rng.ExpFloat64() / s.rate; now < end; now += s.rng.ExpFloat64() / s.rate {
		for len(inFlight) > 0 && inFlight[0].started+duration < now {
			inFlight[0].forwarder.FinishAttempt(now, inFlight[0].worker, Finished, duration, 0)
			inFlight = inFlight[1:]
		}
		forwarder := s.forwarders[s.rng.IntN(len(s.forwarders))]
		name, _ := forwarder.Pick(now, true)
		forwarder.StartAttempt(name, 1)
		inFlight = append(inFlight, request{now, forwarder, name})
		if name == "w0" {
			counts[int(now/s.windowSeconds)]++
		}
	}
	return counts
}

// allowed returns how many requests w0 may receive in a window at its configured speed.
func (s *slowStartTrial) allowed(window int) float64 {
	speed := s.initialSpeed + (1-s.initialSpeed)*(float64(window)+0.5)*s.windowSeconds/s.durationSeconds
	return speed * s.rate / float64(s.workers) * s.windowSeconds
}

// Up to 40 independent forwarders send to a worker in slow start. The requests that they send together
// in a window may exceed N + 2 sqrt(N) + 2 only rarely, where N is the worker's share of the requests
// at its configured speed.
func TestRouter_IndependentForwardersStayWithinSlowStartLimit(t *testing.T) {
	windows, exceeded, sent, allowed := 0, 0, 0.0, 0.0
	rng := rand.New(rand.NewPCG(20261201, 7))
	for round := range 120 {
		trial := newSlowStartTrial(rng, 1+round%40)
		for window, count := range trial.run() {
			limit := trial.allowed(window)
			windows++
			sent += count
			allowed += limit
			if count > limit+2*math.Sqrt(limit)+2 {
				exceeded++
			}
		}
	}
	t.Logf("limit exceeded in %d of %d windows; %.0f requests sent of %.0f allowed", exceeded, windows, sent, allowed)
	if windows < 500 || exceeded > windows/500 || sent > 0.9*allowed || sent < 0.6*allowed {
		t.Errorf("limit exceeded in %d of %d windows, want at most 1 in 500 of at least 500; "+
			"%.0f requests sent of %.0f allowed, want 60%% to 90%%", exceeded, windows, sent, allowed)
	}
}

// When all workers are in slow start, each must receive an equal share: none is left out, and none is
// preferred for being idle.
func TestRouter_WorkersInSlowStartGetEqualShares(t *testing.T) {
	router := New(3)
	router.SetSlowStart(0.2, 10)
	received := map[string]int{}
	for i := range 4 {
		name := fmt.Sprint("w", i)
		router.AddWorker(0, name)
		router.SetConnected(0, name, true)
	}
	for i := range 4000 {
		name, _ := router.Pick(float64(i)/1000, true)
		received[name]++
	}
	for name, count := range received {
		if count < 850 || count > 1150 {
			t.Errorf("%s received %d of 4000 requests, want 850 to 1150", name, count)
		}
	}
}
