package admission

import "testing"

func TestDrain_RejectsLateArrivalsAndAnswersAll(t *testing.T) {
	m := newLearnedModel(t, Settings{})
	m.arriveMany(t, "a", 3, Request{Memory: 1, RemainingBudget: 4})
	m.drainAt = m.now
	m.killAt = m.now + 1.5
	m.must(t, Event{Kind: DrainStarted, Duration: 1.5})
	m.advance(t, m.now+1.2)
	m.arriveMany(t, "late", 1, Request{Memory: 1, RemainingBudget: 4})
	if !m.requests["late0"].answered || m.requests["late0"].ran {
		t.Fatal("an arrival after the grace period was not rejected at once")
	}
	m.advance(t, m.killAt)
	m.must(t)
}
