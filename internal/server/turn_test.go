package server

import (
	"testing"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/processor"
)

func TestTurn_BoundsTimers(t *testing.T) {
	s := newServerWithoutLoop(30)
	const n = 10_000
	fired := 0
	for range n {
		s.loop.timers.Schedule(s.now(), func() { fired++ })
	}
	turns := 0
	for before := 0; fired < n; before = fired {
		_ = s.runTurn()
		turns++
		// Some turns only move timers down to the lowest level of the wheel, and fire none.
		if fired-before > 100 || turns > n/maxTimersPerTurn+n/200 {
			t.Fatalf("%d timers fired in turn %d, want at most 100 and at most %d turns",
				fired-before, turns, n/maxTimersPerTurn+n/200)
		}
		if fired < n && s.loop.wakeupAt > s.now() {
			t.Fatalf("the next turn is in %v s, want it at once as timers are left", s.loop.wakeupAt-s.now())
		}
	}
	if s.loop.timers.Len() != 0 || turns < n/maxTimersPerTurn {
		t.Errorf("%d turns, %d timers left; want at least %d, 0", turns, s.loop.timers.Len(), n/maxTimersPerTurn)
	}
}

func TestRefreshEvent_AgeAndRemainingBudget(t *testing.T) {
	s := New(&config.Startup{}, nil)
	now := s.now()
	s.requests.Add(&requesttable.Request{ID: "a", ArrivedAt: now - 2, Timeout: 5})
	s.requests.Add(&requesttable.Request{ID: "b", ArrivedAt: now + 1}) // its clock is ahead, and it has no timeout
	for id, want := range map[string]admission.Request{"a": {Age: 2, RemainingBudget: 3}, "b": {}} {
		event := admission.Event{Kind: admission.Arrived, RequestID: id}
		if s.refreshEvent(&event, now); event.Request != want {
			t.Errorf("request %s: %+v, want %+v", id, event.Request, want)
		}
	}
}

func TestRefreshEvent_StaleGaugesUnknown(t *testing.T) {
	s := New(&config.Startup{Gauges: []string{"runnable"}}, nil)
	s.executor.handleGauges(&processor.Notice{Gauges: []float64{3}})
	for age, want := range map[float64]float64{0.01: 3, 2: -1} {
		event := admission.Event{Kind: admission.TimerFired}
		if s.refreshEvent(&event, s.decisions.gaugesAt+age); event.Gauges.Runnable != want {
			t.Errorf("gauges %g s old: %+v, want %g runnable", age, event.Gauges, want)
		}
	}
}
