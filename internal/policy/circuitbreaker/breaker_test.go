package circuitbreaker

import (
	"fmt"
	"math"
	"testing"
)

// TestBreaker_OpensProbesAndCloses lets a service fail and recover. Servers with five calls a
// second must detect the failure within 1 s, only a few of them may probe the service, and its
// recovery must not cause a burst of calls.
func TestBreaker_OpensProbesAndCloses(t *testing.T) {
	for _, servers := range []int{20, 150} {
		t.Run(fmt.Sprint(servers, " servers"), func(t *testing.T) {
			s := newSimulation(servers, 5)
			s.run(20)
			if closed := s.count(Closed); closed != servers {
				t.Fatalf("before the failure %d of %d breakers are closed, want all", closed, servers)
			}
			checkOpens(t, s)
			checkProbes(t, s)
			checkCloses(t, s)
		})
	}
}

// checkOpens lets the service fail and checks that the breakers open.
func checkOpens(t *testing.T, s *simulation) {
	t.Helper()
	servers := len(s.breakers)
	s.outcome = func(int) (bool, float64) { return false, 0.1 }
	s.run(1)
	if limiting := s.count(Open, Throttled); limiting < servers*9/10 {
		t.Errorf("1 s after the failure %d of %d breakers are open or throttled, want at least 90%%", limiting, servers)
	}
	s.run(2)
	if open := s.count(Open); open < servers*9/10 {
		t.Errorf("3 s after the failure %d of %d breakers are open, want at least 90%%", open, servers)
	}
}

// checkProbes checks the number of probes in 10 s.
func checkProbes(t *testing.T, s *simulation) {
	t.Helper()
	s.callCount = 0
	s.run(10)
	if s.callCount > 10*zoneCount*probeServers*3 || s.callCount < 10 {
		t.Errorf("%d servers together send %d probes in 10 s, want 10 to %d",
			len(s.breakers), s.callCount, 10*zoneCount*probeServers*3)
	}
}

// checkCloses lets the service recover and checks that the breakers close without a burst of calls.
func checkCloses(t *testing.T, s *simulation) {
	t.Helper()
	servers := len(s.breakers)
	s.outcome = alwaysSucceeds
	from := s.now
	for s.count(HalfOpen) == 0 && s.now < from+10 {
		s.run(simulationStepSeconds)
	}
	s.callCount = 0
	s.run(0.5)
	if calls := float64(s.callCount); calls > 0.5*s.callRate*float64(servers)*0.5+2*probeServers {
		t.Errorf("%d servers make %.0f calls in 0.5 s from the first half-open breaker, want at most %.0f",
			servers, calls, 0.5*s.callRate*float64(servers)*0.5+2*probeServers)
	}
	s.run(8)
	if closed := s.count(Closed); closed != servers {
		t.Errorf("8.5 s after the first breaker became half open %d of %d breakers are closed, want all",
			closed, servers)
	}
}

// reportFalsely runs the simulation while one server sends the same false tally to all breakers,
// and others send invalid reports.
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
		s.run(simulationStepSeconds)
	}
}

// TestBreaker_IgnoresSingleFalseReporter checks that one server with false reports, and one with a
// bad link, neither open the breakers of other servers nor keep them closed.
func TestBreaker_IgnoresSingleFalseReporter(t *testing.T) {
	s := newSimulation(12, 2)
	s.run(5)
	s.outcome = func(server int) (bool, float64) { return server != 3, 0.05 }
	reportFalsely(s, Tally{Failed: 1e6})
	if limiting := s.count(Open, Throttled); limiting > 1 {
		t.Errorf("with one false reporter and one bad link %d of 12 breakers are open or throttled, want at most 1",
			limiting)
	}
	s.outcome = func(int) (bool, float64) { return false, 0.05 }
	s.run(2)
	reportFalsely(s, Tally{Succeeded: 1e6, SuccessSeconds: 1e4})
	if open := s.count(Open); open < 11 {
		t.Errorf("with one false reporter and a failed service %d of 12 breakers are open, want at least 11", open)
	}
}

// TestBreaker_OpensOnlyInFailingZone checks that breakers open only in the zone in which the
// service fails.
func TestBreaker_OpensOnlyInFailingZone(t *testing.T) {
	s := newSimulation(30, 2)
	s.run(10)
	s.outcome = func(server int) (bool, float64) { return server%zoneCount != 0, 0.05 }
	s.run(4)
	for i, breaker := range s.breakers {
		limitsCalls := breaker.state == Open || breaker.state == Throttled
		if limitsCalls != (i%zoneCount == 0) {
			t.Errorf("the breaker of %s in zone %s is %s, want open or throttled in zone z0 only",
				breaker.server, breaker.zone, breaker.state)
		}
	}
}

// TestBreaker_UsesOwnCallsWithoutReports checks that servers decide by their own calls if no
// reports arrive.
func TestBreaker_UsesOwnCallsWithoutReports(t *testing.T) {
	s := newSimulation(6, 10)
	s.reportsReach = func(int, int) bool { return false }
	s.run(5)
	s.outcome = func(server int) (bool, float64) { return server != 2, 0.05 }
	s.run(3)
	if closed := s.count(Closed); s.breakers[2].state != Open || closed != 5 {
		t.Errorf("the breaker of the server whose calls fail is %s and %d breakers are closed, want open and 5",
			s.breakers[2].state, closed)
	}
	clear(s.zones[:]) // no server knows any other
	s.outcome = alwaysSucceeds
	s.run(6)
	if closed := s.count(Closed); closed != 6 {
		t.Errorf("6 s after the recovery %d of 6 breakers are closed, want all", closed)
	}
}

// TestBreaker_DegradedDoesNotLimitCalls checks that a service that becomes more than ten times
// slower degrades the breakers but does not limit calls.
func TestBreaker_DegradedDoesNotLimitCalls(t *testing.T) {
	s := newSimulation(10, 20)
	s.run(10)
	s.outcome = func(int) (bool, float64) { return true, 0.25 }
	s.run(4)
	if degraded := s.count(Degraded); degraded < 9 || !math.IsInf(s.maxInFlight[0], 1) {
		t.Errorf("%d of 10 breakers are degraded and the limit on calls in flight is %g, want at least 9 and +Inf",
			degraded, s.maxInFlight[0])
	}
}

// TestBreaker_FlappingService lets a service fail every other second. It guards against breakers
// that open and close repeatedly during one failure.
func TestBreaker_FlappingService(t *testing.T) {
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
		s.run(simulationStepSeconds)
		for i, breaker := range s.breakers {
			if breaker.state != states[i] {
				states[i] = breaker.state
				changes++
			}
		}
	}
	// At most four changes are allowed for each of the ten failures: to throttled, open, half open
	// and closed.
	if changesPerBreaker := float64(changes) / 10; changesPerBreaker > 40 {
		t.Errorf("each breaker changes its state %.0f times during ten failures, want at most 40", changesPerBreaker)
	}
}

// TestBreaker_NeedsThreeVotes checks that the breaker of a server without calls of its own opens
// only with the third report of failures.
func TestBreaker_NeedsThreeVotes(t *testing.T) {
	breaker := New("n0", "", 0)
	noServers := func() []string { return nil }
	for votes := 1; votes <= minVotes; votes++ {
		report := Report{Server: fmt.Sprint("n", votes), Incarnation: 1, Sequence: 1, Tally: Tally{Failed: 100}}
		if !breaker.HandleReport(1, report) {
			t.Fatalf("HandleReport() of report %d = false, want true", votes)
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

// TestBreaker_HalfOpenLimit checks that the limit on calls in flight starts at 5% of
// averageInFlight after the breaker was open and at 25% after it was throttled, and doubles every
// 0.5 s.
func TestBreaker_HalfOpenLimit(t *testing.T) {
	cases := []struct {
		name   string
		failed int // number of 100 calls that fail
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
			breaker.averageInFlight = 40
			breaker.RecordCalls(1, Tally{Succeeded: 100 - c.failed, Failed: c.failed}, 40)
			breaker.averageInFlight = 40
			breaker.Decide(1, noServers)
			if state, _ := breaker.State(); state != c.state {
				t.Fatalf("the breaker is %s, want %s", state, c.state)
			}
			for i, want := range c.limits {
				now := 3 + float64(i)*rampSeconds
				breaker.RecordCalls(now, Tally{Succeeded: 100, SuccessSeconds: 1}, 2)
				if limit, _ := breaker.Decide(now, noServers); limit != want {
					t.Errorf("after %g s the limit on calls in flight is %g, want %g", now-3, limit, want)
				}
			}
		})
	}
}

// TestState_String checks the name of every state and of invalid values.
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
