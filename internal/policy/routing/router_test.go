package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// connectedRouter returns a router with connected workers w0, w1 and so on.
func connectedRouter(seed uint64, workers int) *Router {
	router := New(seed)
	for i := range workers {
		name := fmt.Sprint("w", i)
		router.AddWorker(0, name)
		router.SetConnected(0, name, true)
	}
	return router
}

// routerModel drives a router with random steps and records the state that the router should have.
type routerModel struct {
	*rapid.T
	rng       *rand.Rand
	now       float64
	router    *Router
	names     []string
	connected map[string]bool
	inFlight  map[string][]float64 // start times of the attempts in flight, by worker
	attempts  int                  // first attempts
	retries   int
}

func newRouterModel(t *rapid.T) *routerModel {
	seed := rapid.Uint64().Draw(t, "seed")
	m := &routerModel{
		T:         t,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		router:    New(seed),
		connected: map[string]bool{},
		inFlight:  map[string][]float64{},
	}
	for i := range 1 + m.rng.IntN(6) {
		m.names = append(m.names, fmt.Sprint("w", i))
		m.router.AddWorker(m.now, m.names[i])
	}
	return m
}

func (m *routerModel) randomName() string { return m.names[m.rng.IntN(len(m.names))] }

func (m *routerModel) changeConnection(name string) {
	m.connected[name] = m.rng.IntN(4) > 0
	m.router.SetConnected(m.now, name, m.connected[name])
	if m.connected[name] {
		return
	}
	for _, started := range m.inFlight[name] {
		m.router.FinishAttempt(m.now, name, ConnectionLost, m.now-started, 0)
	}
	m.inFlight[name] = nil
}

func (m *routerModel) pick(name string) {
	isIdempotent := m.rng.IntN(2) == 0
	excluded := m.randomName()
	before := m.router.byName[name].breaker.state
	picked, retryAfter := m.router.Pick(m.now, isIdempotent, excluded)
	if picked == "" {
		if retryAfter < 0 || retryAfter > maxEjectionSeconds {
			m.Fatalf("no worker available, retry after %g s; want from 0 to %g s", retryAfter, maxEjectionSeconds)
		}
		return
	}
	breaker := m.router.byName[picked].breaker
	isUnavailable := breaker.state == ejected || m.now < breaker.unavailableUntil
	isReserved := !isIdempotent && m.now < breaker.probingSince+idempotentProbeSeconds
	mayNotProbe := breaker.state == probing && (breaker.probeInFlight || isReserved)
	if picked == excluded || !m.connected[picked] || isUnavailable || mayNotProbe {
		m.Fatalf("picked %s, want an available worker: excluded %s, connected %v, breaker %+v (before, %s was %s)",
			picked, excluded, m.connected[picked], breaker, name, before)
	}
	m.router.StartAttempt(picked, 1)
	m.inFlight[picked] = append(m.inFlight[picked], m.now)
	m.attempts++
}

func (m *routerModel) finish(name string) {
	if len(m.inFlight[name]) == 0 {
		return
	}
	outcome := []Outcome{Finished, Rejected, Failed, NotSent, TimedOut, Cancelled}[m.rng.IntN(6)]
	m.router.FinishAttempt(m.now, name, outcome, m.now-m.inFlight[name][0], 0.2*m.rng.Float64())
	m.inFlight[name] = m.inFlight[name][1:]
	isIdempotent := m.rng.IntN(2) == 0
	retry := RetryCandidate{
		LastOutcome:           outcome,
		Attempts:              1,
		IsIdempotent:          isIdempotent,
		RemainingSeconds:      1,
		TypicalLatencySeconds: 0.1,
	}
	if !m.router.AllowRetry(retry) {
		return
	}
	m.retries++
	isUnsafe := !outcome.KnownNotExecuted() && !isIdempotent
	if isUnsafe || outcome == Finished || outcome == TimedOut || outcome == Failed {
		m.Fatalf("retry allowed after outcome %q with idempotent %v, want none", outcome, isIdempotent)
	}
}

func (m *routerModel) checkInFlight() {
	for _, name := range m.names {
		if w := m.router.byName[name]; w.inFlight != len(m.inFlight[name]) {
			m.Fatalf("%s has %d attempts in flight, want %d", name, w.inFlight, len(m.inFlight[name]))
		}
	}
}

// Random connections, disconnections and outcomes of attempts must never lead to a pick of a worker that
// is disconnected, ejected, excluded or not open to the request while it is probed.
func TestRouter_PicksNoUnavailableWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRouterModel(t)
		for range 400 {
			m.now += 0.05 * m.rng.ExpFloat64()
			name := m.randomName()
			switch m.rng.IntN(8) {
			case 0:
				m.changeConnection(name)
			case 1:
				weights := map[string]float64{name: 1, m.names[0]: m.rng.Float64()}
				m.router.ApplyPlan(m.now, weights, m.now+m.rng.Float64())
			case 2, 3, 4:
				m.pick(name)
			default:
				m.finish(name)
			}
			m.checkInFlight()
		}
		if float64(m.retries) > maxRetryTokens+retryRatio*float64(m.attempts) {
			t.Fatalf("%d retries of %d requests, want at most %g + %g per request",
				m.retries, m.attempts, maxRetryTokens, retryRatio)
		}
	})
}

// A worker that rejects immediately has few requests in flight and so looks idle. It must not attract
// more than its share of the requests: with four workers it gets at most a fifth.
func TestRouter_RejectingWorkerGetsLessThanItsShare(t *testing.T) {
	const (
		interval = 0.005 // 200 requests per second
		duration = 0.1   // so 20 requests are in flight at a time
	)
	type attempt struct {
		worker  string
		started float64
	}
	router, now := connectedRouter(7, 4), 0.0
	var attempts []attempt
	sent := map[string]int{}
	for range 4000 {
		now += interval
		for len(attempts) > 0 && now >= attempts[0].started+duration {
			router.FinishAttempt(now, attempts[0].worker, Finished, duration, 0)
			attempts = attempts[1:]
		}
		name, _ := router.Pick(now, true)
		sent[name]++
		router.StartAttempt(name, 1)
		if name == "w0" {
			router.FinishAttempt(now, name, Rejected, 0.001, 0)
		} else {
			attempts = append(attempts, attempt{name, now})
		}
	}
	if sent["w0"] > 800 {
		t.Errorf("the worker that rejects everything received %d of 4000 requests, want at most 800", sent["w0"])
	}
}

func BenchmarkPickOf1000(b *testing.B) {
	router := connectedRouter(1, 1000)
	for b.Loop() {
		name, _ := router.Pick(1, true)
		router.StartAttempt(name, 1)
		router.FinishAttempt(1, name, Finished, 0.01, 0)
	}
}
