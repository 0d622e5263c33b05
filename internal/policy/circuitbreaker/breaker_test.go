package circuitbreaker

import (
	"fmt"
	"math"
	"testing"
)

// TestBreaker_OpensProbesAndCloses has a service fail and return: servers that make five calls a second
// know within a second, few of them probe it, and its return brings no herd.
func TestBreaker_OpensProbesAndCloses(t *testing.T) {
	for _, servers := range []int{20, 150} {
		t.Run(fmt.Sprint(servers, " servers"), func(t *testing.T) {
			s := newSimulation(servers, 5)
			s.run(20)
			if closed := s.count(Closed); closed != servers {
				t.Fatalf("%d of %d breakers are closed", closed, servers)
			}
			checkOpens(t, s)
			checkProbes(t, s)
			checkCloses(t, s)
		})
	}
}

// checkOpens has the service fail.
func checkOpens(t *testing.T, s *simulation) {
	t.Helper()
	servers := len(s.breakers)
	s.outcome = func(int) (bool, float64) { return false, 0.1 }
	s.run(1)
	if found := s.count(Open, Throttled); found < servers*9/10 {
		t.Errorf("after a second %d of %d breakers hold calls back, at five calls a second each", found, servers)
	}
	s.run(2)
	if open := s.count(Open); open < servers*9/10 {
		t.Errorf("after three %d of %d breakers are open", open, servers)
	}
}

// checkProbes counts the probes of ten seconds.
func checkProbes(t *testing.T, s *simulation) {
	t.Helper()
	s.callCount = 0
	s.run(10)
	if s.callCount > 10*zoneCount*probeServers*3 || s.callCount < 10 {
		t.Errorf("%d servers together probe it %d times in 10 s", len(s.breakers), s.callCount)
	}
}

// checkCloses has the service return.
func checkCloses(t *testing.T, s *simulation) {
	t.Helper()
	servers := len(s.breakers)
	s.outcome = alwaysSucceeds
	from := s.now
	for s.count(HalfOpen) == 0 && s.now < from+10 {
		s.run(simulationStep)
	}
	s.callCount = 0
	s.run(0.5)
	if calls := float64(s.callCount); calls > 0.5*s.callRate*float64(servers)*0.5+2*probeServers {
		t.Errorf("%d servers make %.0f calls in its first half second", servers, calls)
	}
	s.run(8)
	if closed := s.count(Closed); closed != servers {
		t.Errorf("8 s after it came back %d of %d breakers are closed", closed, servers)
	}
}

// reportFalsely runs the simulation while one server sends everybody the same tally, and others reports
// that can't be true.
func reportFalsely(s *simulation, tally Tally) {
	for step := range 100 {
		for _, breaker := range s.breakers {
			breaker.HandleReport(s.now, Report{
				Server:      "liar",
				Incarnation: 1,
				Sequence:    uint64(s.now * 1000),
				Tally:       tally,
			})
			breaker.HandleReport(s.now, Report{
				Server:      fmt.Sprint("x", step),
				Zone:        "z0",
				Incarnation: 1,
				Sequence:    1,
				Tally:       Tally{Succeeded: -5},
			})
		}
		s.run(simulationStep)
	}
}

// TestBreaker_OneFalseReporter neither opens the others' breakers nor keeps them closed, nor does one
// server with a bad link of its own.
func TestBreaker_OneFalseReporter(t *testing.T) {
	s := newSimulation(12, 2)
	s.run(5)
	s.outcome = func(server int) (bool, float64) { return server != 3, 0.05 }
	reportFalsely(s, Tally{Failed: 1e6})
	if shut := s.count(Open, Throttled); shut > 1 {
		t.Errorf("one that lies and one with a bad link have %d of 12 hold calls back", shut)
	}
	s.outcome = func(int) (bool, float64) { return false, 0.05 }
	s.run(2)
	reportFalsely(s, Tally{Succeeded: 1e6, SuccessSeconds: 1e4})
	if open := s.count(Open); open < 11 {
		t.Errorf("one that lies keeps breakers closed: %d of 12 are open", open)
	}
}

// TestBreaker_FailureOfOneZone opens the breakers of that zone only.
func TestBreaker_FailureOfOneZone(t *testing.T) {
	s := newSimulation(30, 2)
	s.run(10)
	s.outcome = func(server int) (bool, float64) { return server%zoneCount != 0, 0.05 }
	s.run(4)
	for i, breaker := range s.breakers {
		holdsBack := breaker.state == Open || breaker.state == Throttled
		if holdsBack != (i%zoneCount == 0) {
			t.Errorf("the breaker of %s in zone %s is %s", breaker.server, breaker.zone, breaker.state)
		}
	}
}

// TestBreaker_WithoutReports goes by its own calls where nobody hears anything.
func TestBreaker_WithoutReports(t *testing.T) {
	s := newSimulation(6, 10)
	s.hears = func(int, int) bool { return false }
	s.run(5)
	s.outcome = func(server int) (bool, float64) { return server != 2, 0.05 }
	s.run(3)
	if closed := s.count(Closed); s.breakers[2].state != Open || closed != 5 {
		t.Errorf("the breaker of the server whose calls fail is %s; %d others are closed", s.breakers[2].state, closed)
	}
	clear(s.zones[:]) // it knows of nobody
	s.outcome = alwaysSucceeds
	s.run(6)
	if closed := s.count(Closed); closed != 6 {
		t.Errorf("%d of 6 are closed again", closed)
	}
}

// TestBreaker_Degraded holds no calls back where the service is ten times as slow.
func TestBreaker_Degraded(t *testing.T) {
	s := newSimulation(10, 20)
	s.run(10)
	s.outcome = func(int) (bool, float64) { return true, 0.25 }
	s.run(4)
	if degraded := s.count(Degraded); degraded < 9 || !math.IsInf(s.maxInFlight[0], 1) {
		t.Errorf("%d of 10 are degraded, %g calls may be in flight", degraded, s.maxInFlight[0])
	}
}

// TestBreaker_Flapping has a service fail each other second: breakers don't open and close in turn.
func TestBreaker_Flapping(t *testing.T) {
	s := newSimulation(10, 20)
	s.run(10)
	s.outcome = func(int) (bool, float64) { return true, 0.25 }
	s.run(4)
	s.outcome = alwaysSucceeds
	s.run(4)
	states := make([]State, 10)
	changes := 0
	s.outcome = func(int) (bool, float64) { return math.Mod(s.now, 2) < 1, 0.05 }
	for range 400 {
		s.run(simulationStep)
		for i, breaker := range s.breakers {
			if breaker.state != states[i] {
				states[i] = breaker.state
				changes++
			}
		}
	}
	if each := float64(changes) / 10; each > 40 { // closed, throttled, open, half open
		t.Errorf("a service that fails ten times changes each breaker's state %.0f times", each)
	}
}

// TestBreaker_NeedsThreeVotes has servers report failures one after the other to one without own calls.
func TestBreaker_NeedsThreeVotes(t *testing.T) {
	breaker := New("n0", "", 0)
	noServers := func() []string { return nil }
	for votes := 1; votes <= minVotes; votes++ {
		report := Report{Server: fmt.Sprint("n", votes), Incarnation: 1, Sequence: 1, Tally: Tally{Failed: 100}}
		if !breaker.HandleReport(1, report) {
			t.Fatalf("report %d doesn't count", votes)
		}
		breaker.Decide(1, noServers)
		want := Closed
		if votes == 3 {
			want = Open
		}
		if state, _ := breaker.State(); state != want {
			t.Errorf("after %d votes the breaker is %s, want %s", votes, state, want)
		}
	}
}

// TestBreaker_HalfOpenLimit lets a twentieth of the usual calls pass at first after the breaker was open, a
// quarter after it was throttled, and doubles that each half second.
func TestBreaker_HalfOpenLimit(t *testing.T) {
	cases := []struct {
		name   string
		failed int // of a hundred calls
		state  State
		limits []float64
	}{
		{"after open", 100, Open, []float64{2, 4, 8, 16, 32, math.Inf(1)}},
		{"after throttled", 60, Throttled, []float64{10, 20, math.Inf(1)}},
	}
	noServers := func() []string { return nil }
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			breaker := New("n0", "", 0)
			breaker.usualInFlight = 40
			breaker.RecordCalls(1, Tally{Succeeded: 100 - c.failed, Failed: c.failed}, 40)
			breaker.usualInFlight = 40
			breaker.Decide(1, noServers)
			if state, _ := breaker.State(); state != c.state {
				t.Fatalf("the breaker is %s, want %s", state, c.state)
			}
			for i, want := range c.limits {
				now := 3 + float64(i)*rampSeconds
				breaker.RecordCalls(now, Tally{Succeeded: 100, SuccessSeconds: 1}, 2)
				if limit, _ := breaker.Decide(now, noServers); limit != want {
					t.Errorf("after %g s %g calls may be in flight, want %g", now-3, limit, want)
				}
			}
		})
	}
}

// TestState_String names every state.
func TestState_String(t *testing.T) {
	want := map[State]string{
		Closed:         "closed",
		Degraded:       "degraded",
		Throttled:      "throttled",
		Open:           "open",
		HalfOpen:       "half_open",
		stateCount:     "unknown",
		stateCount + 1: "unknown",
	}
	for state, name := range want {
		if got := state.String(); got != name {
			t.Errorf("State(%d).String() = %q, want %q", state, got, name)
		}
	}
}

func BenchmarkBreaker_Decide(b *testing.B) {
	for _, servers := range []int{10, 1000} {
		b.Run(fmt.Sprint(servers, " servers"), func(b *testing.B) {
			s := newSimulation(servers, 1)
			breaker := s.breakers[0]
			for i := range MaxReports {
				breaker.HandleReport(0, Report{
					Server:      fmt.Sprint("n", i+1),
					Incarnation: 1,
					Sequence:    1,
					Tally:       Tally{Succeeded: 3, SuccessSeconds: 0.1},
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				breaker.Decide(1, func() []string { return s.zones[0] })
			}
		})
	}
}
