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
	did := 0
	for range n {
		s.loop.timers.Schedule(s.now(), func() { did++ })
	}
	turns := 0
	for before := 0; did < n; before = did {
		_ = s.runTurn()
		turns++
		// Some turns only bring timers down to the lowest level.
		if did-before > 100 || turns > n/maxTimersPerTurn+n/200 {
			t.Fatalf("%d timers in turn %d", did-before, turns)
		}
		if did < n && s.loop.wakeupAt > s.now() {
			t.Fatalf("the rest waits for %v s", s.loop.wakeupAt-s.now())
		}
	}
	if s.loop.timers.Len() != 0 || turns < n/maxTimersPerTurn {
		t.Errorf("%d turns, %d timers left", turns, s.loop.timers.Len())
	}
}

func TestRefreshEvent_AgeAndRemainingBudget(t *testing.T) {
	s := New(&config.Startup{}, nil)
	now := s.now()
	s.requests.Add(&requesttable.Request{ID: "a", ArrivedAt: now - 2, Timeout: 5})
	s.requests.Add(&requesttable.Request{ID: "b", ArrivedAt: now + 1}) // by a clock ahead of ours; its wait is not told
	for id, want := range map[string]admission.Request{"a": {Age: 2, RemainingBudget: 3}, "b": {}} {
		event := admission.Event{Kind: admission.Arrived, RequestID: id}
		if s.refreshEvent(&event, now); event.Request != want {
			t.Errorf("%s: %+v", id, event.Request)
		}
	}
}

func TestRefreshEvent_StaleGaugesUnknown(t *testing.T) {
	s := New(&config.Startup{Gauges: []string{"runnable"}}, nil)
	s.executor.handleGauges(&processor.Notice{Gauges: []float64{3}})
	for after, want := range map[float64]float64{0.01: 3, 2: -1} {
		event := admission.Event{Kind: admission.TimerFired}
		if s.refreshEvent(&event, s.decisions.gaugesAt+after); event.Gauges.Runnable != want {
			t.Errorf("after %g s: %+v", after, event.Gauges)
		}
	}
}
