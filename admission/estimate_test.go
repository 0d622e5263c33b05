package admission

import (
	"fmt"
	"testing"
)

func TestMinServiceTime_HoldsWhileWorkIsStalled(t *testing.T) {
	m := newLearnedModel(t, Settings{Classes: []Class{{SoftDeadline: 30, Timeout: 60, Value: 1}}})
	for i := range 20 { // a low minimum in the last 30 s, then 0.5 s again
		m.run(t, fmt.Sprint("quick", i), 0.05, Finished)
	}
	for i := range 17 {
		m.run(t, fmt.Sprint("usual", i), 0.5, Finished)
	}
	m.arriveMany(t, "stuck", 2, Request{Memory: 1, RemainingBudget: 60})
	m.advance(t, m.now+25)
	m.arriveMany(t, "new", 1, Request{Memory: 1, RemainingBudget: 0.3})
	c := m.controller
	minimum := c.classes[0].minServiceTime
	if !m.wasRejected("new0") || minimum < 0.4 || !c.progress.stalled || c.load.wanted > 0.05 {
		t.Fatalf("minimum %.2f, stalled %v, share wanted %.2f", minimum, c.progress.stalled, c.load.wanted)
	}
}

// Budgets that pass the minimum, yet run out before the run ends, must not go on filling cores
// others need.
func TestMinBudget_GrowsWithWastedRuns(t *testing.T) {
	for cores, ran := range map[int]bool{1: false, 2: true} {
		t.Run(fmt.Sprint(cores, " cores"), func(t *testing.T) {
			m := newLearnedModel(t, Settings{Cores: cores})
			for i := range 20 {
				id := fmt.Sprint("thin", i)
				m.must(t, m.arrive(id, id, Request{Memory: 1, RemainingBudget: 0.6}))
				m.advance(t, m.now+0.7)
				if m.requests[id].ran {
					m.must(t, m.end(m.requests[id], Finished))
				}
			}
			if m.requests["thin19"].ran != ran || !m.requests["thin0"].ran {
				t.Fatalf("the last thin budget ran: %v", m.requests["thin19"].ran)
			}
		})
	}
}
