package admission

import "testing"

// In a drain, arrivals after the grace period are rejected at once, and every other request gets
// its final response before the process is killed.
func TestDrain_RejectsLateArrivalsAndAnswersOthers(t *testing.T) {
	m := newLearnedModel(t, Settings{})
	m.arriveMany(t, "a", 3, Request{Memory: 1, RemainingBudget: 4})
	m.drainAt = m.now
	m.killAt = m.now + 1.5
	m.must(t, Event{Kind: DrainStarted, Duration: 1.5})
	m.advance(t, m.now+1.2)
	m.arriveMany(t, "late", 1, Request{Memory: 1, RemainingBudget: 4})
	if !m.requests["late0"].answered || m.requests["late0"].ran {
		t.Fatalf("arrival after the grace period: answered %t, ran %t; want true, false",
			m.requests["late0"].answered, m.requests["late0"].ran)
	}
	m.advance(t, m.killAt)
	m.must(t) // an empty batch: checks that every request has its response
}
