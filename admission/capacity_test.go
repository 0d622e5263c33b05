package admission

import (
	"fmt"
	"testing"
)

// A server that starts cold sustains fewer running requests than a warm one.
func TestSlowStart_LimitsRunningRequests(t *testing.T) {
	for duration, most := range map[float64]int{0: 8, 60: 3} {
		t.Run(fmt.Sprint(duration, " s"), func(t *testing.T) {
			settings := Settings{Cores: 2, SlowStart: SlowStartSettings{InitialSpeed: 0.2, Duration: duration}}
			m := newModel(withDefaults(settings), 1, 0)
			m.must(t, Event{Kind: Started})
			m.arriveMany(t, "a", 20, Request{Memory: 1, RemainingBudget: 4})
			for range 20 {
				m.now += 0.1
				m.must(t, Event{Kind: TimerFired, Gauges: Gauges{Runnable: 0}})
			}
			if n := m.count(modelOnCore); n > most || n < 2 {
				t.Errorf("%d requests run on 2 cores, want 2 to %d", n, most)
			}
		})
	}
}
