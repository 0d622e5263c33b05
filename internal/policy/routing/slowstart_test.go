package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// slowStartTrial is a fleet of forwarders that know nothing of one another, and a worker w0 in slow
// start among warm ones.
type slowStartTrial struct {
	chance       *rand.Rand
	forwarders   []*Router
	workers      int
	initialSpeed float64
	seconds      float64 // of the slow start
	window       float64 // seconds in which requests are counted
	rate         float64 // requests per second of all forwarders
}

func newSlowStartTrial(chance *rand.Rand, forwarders int) *slowStartTrial {
	trial := &slowStartTrial{chance: chance, workers: 3 + chance.IntN(30)}
	trial.initialSpeed = 0.2 + 0.3*chance.Float64()
	trial.seconds = 5 + 13*chance.Float64()
	trial.window = 1.5 + chance.Float64()
	trial.rate = float64(trial.workers) * (2 + 30*chance.Float64())
	for range forwarders {
		router := New(chance.Uint64())
		router.SetSlowStart(trial.initialSpeed, trial.seconds)
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

// run returns the requests that w0 receives in each window.
func (s *slowStartTrial) run() []float64 {
	const duration = 0.4
	type request struct {
		started   float64
		forwarder *Router
		worker    string
	}
	counts := make([]float64, int(s.seconds/s.window))
	end := s.window * float64(len(counts))
	var inFlight []request // in the order of their start
	for now := s.chance.ExpFloat64() / s.rate; now < end; now += s.chance.ExpFloat64() / s.rate {
		for len(inFlight) > 0 && inFlight[0].started+duration < now {
			inFlight[0].forwarder.FinishAttempt(now, inFlight[0].worker, Finished, duration, 0)
			inFlight = inFlight[1:]
		}
		forwarder := s.forwarders[s.chance.IntN(len(s.forwarders))]
		name, _ := forwarder.Pick(now, true)
		forwarder.StartAttempt(name, 1)
		inFlight = append(inFlight, request{now, forwarder, name})
		if name == "w0" {
			counts[int(now/s.window)]++
		}
	}
	return counts
}

// allowed returns how many requests w0 may receive in a window at its stated speed.
func (s *slowStartTrial) allowed(window int) float64 {
	speed := s.initialSpeed + (1-s.initialSpeed)*(float64(window)+0.5)*s.window/s.seconds
	return speed * s.rate / float64(s.workers) * s.window
}

// A worker starts among warm ones, and up to 40 forwarders that know nothing of one another send to
// it. What all send together in each window is held against N + 2 sqrt(N) + 2, N being the worker's
// share of the requests at its stated speed.
func TestRouter_ForwardersTogetherKeepToSlowStart(t *testing.T) {
	windows, exceeded, sent, allowed := 0, 0, 0.0, 0.0
	chance := rand.New(rand.NewPCG(20261201, 7))
	for round := range 120 {
		trial := newSlowStartTrial(chance, 1+round%40)
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
	t.Logf("%d of %d windows exceeded; %.0f sent of %.0f allowed", exceeded, windows, sent, allowed)
	if windows < 500 || exceeded > windows/500 || sent > 0.9*allowed || sent < 0.6*allowed {
		t.Errorf("%d of %d windows exceeded; %.0f sent of %.0f allowed", exceeded, windows, sent, allowed)
	}
}

// A worker in slow start is neither left out nor preferred for being idle: where all are in slow
// start, each has its share.
func TestRouter_WorkersInSlowStartShareEvenly(t *testing.T) {
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
			t.Errorf("%s received %d of 4000", name, count)
		}
	}
}
