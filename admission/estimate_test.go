package admission

import (
	"fmt"
	"testing"
)

// While work is stalled no run ends, so no run times are recorded. The minimum service time must
// not fall then, or more requests would be admitted that cannot end either.
func TestMinServiceTime_NotLoweredWhileStalled(t *testing.T) {
	m := newLearnedModel(t, Settings{Classes: []Class{{SoftDeadline: 30, Timeout: 60, Value: 1}}})
	for i := range 20 { // a lower minimum within the last 30 s, then 0.5 s again
		m.runToEnd(t, fmt.Sprint("quick", i), 0.05, Finished)
	}
	for i := range 17 {
		m.runToEnd(t, fmt.Sprint("usual", i), 0.5, Finished)
	}
	m.arriveMany(t, "stuck", 2, Request{Memory: 1, RemainingBudget: 60})
	m.advance(t, m.now+25)
	m.arriveMany(t, "new", 1, Request{Memory: 1, RemainingBudget: 0.3})
	c := m.controller
	minimum := c.classes[0].minServiceTime
	if !m.wasRejectedOrFailed("new0") || minimum < 0.4 || !c.progress.stalled || c.load.wantedFraction > 0.05 {
		t.Fatalf("new0 rejected %t, want true; minimum service time %.2f s, want at least 0.4 s; "+
			"stalled %t, want true; wanted fraction %.2f, want at most 0.05",
			m.wasRejectedOrFailed("new0"), minimum, c.progress.stalled, c.load.wantedFraction)
	}
}

// Requests whose remaining budget exceeds the minimum service time, but is used up before the run
// ends, must not keep occupying cores that other requests need. While another core is free, they
// may still run.
func TestMinRemainingBudget_GrowsWithWastedRuns(t *testing.T) {
	for cores, ran := range map[int]bool{1: false, 2: true} {
		t.Run(fmt.Sprint(cores, " cores"), func(t *testing.T) {
			m := newLearnedModel(t, Settings{Cores: cores})
			for i := range 20 {
				id := fmt.Sprint("thin", i)
				m.must(t, m.arrive(id, id, Request{Memory: 1, RemainingBudget: 0.6}))
				m.advance(t, m.now+0.7)
				if m.requests[id].ran {
					m.must(t, m.endRun(m.requests[id], Finished))
				}
			}
			if m.requests["thin19"].ran != ran || !m.requests["thin0"].ran {
				t.Fatalf("first request with a short budget ran: %t, want true; last one ran: %t, want %t",
					m.requests["thin0"].ran, m.requests["thin19"].ran, ran)
			}
		})
	}
}
