package admission

import "testing"

// Requests that the cores cannot serve in time are rejected with a Retry-After, and a class gains
// value density as its requests are rejected.
func TestShedQueue_RejectsOverloadWithRetryAfter(t *testing.T) {
	m := newLearnedModel(t, Settings{MaxRetryAfter: 1})
	m.arriveMany(t, "a", 40, Request{Memory: 1, RemainingBudget: 4})
	if n := len(m.rejectedOrFailed); n < 20 || n > 36 {
		t.Fatalf("%d of 40 requests rejected at once on 2 cores, want 20 to 36", n)
	}
	for id, a := range m.rejectedOrFailed {
		if a.Duration <= 0 || a.Duration > 1 {
			t.Fatalf("%s: Retry-After %.2f s, want over 0 and at most 1 s", id, a.Duration)
		}
	}
	// Otherwise only the least valuable class would be rejected: its value density must rise as
	// fewer of its requests are run.
	rejectedClass := &m.controller.classes[0]
	admittedClass := m.controller.classes[0]
	admittedClass.admittedFraction = 1
	density := m.controller.valueDensity(&request{class: rejectedClass, value: 1})
	if reference := m.controller.valueDensity(&request{class: &admittedClass, value: 1}); density < 1.3*reference {
		t.Fatalf("value density %.3g with an admitted fraction of %.2f, want at least 1.3 times the %.3g at fraction 1",
			density, rejectedClass.admittedFraction, reference)
	}
}

// Queued requests start by soft deadline, not by arrival or by value.
func TestStartQueued_OrdersBySoftDeadline(t *testing.T) {
	m := newLearnedModel(t, Settings{Cores: 1, Classes: []Class{
		{SoftDeadline: 9, Timeout: 9, Value: 3},
		{SoftDeadline: 5, Timeout: 9, Value: 1},
	}})
	m.arriveMany(t, "first", 1, Request{Memory: 1, RemainingBudget: 9})
	m.arriveMany(t, "later", 1, Request{Memory: 1, RemainingBudget: 9})
	m.arriveMany(t, "sooner", 1, Request{Class: 1, Memory: 1, RemainingBudget: 9})
	m.must(t, m.endRun(m.requests["first0"], Finished))
	if !m.requests["sooner0"].ran || m.requests["later0"].ran {
		t.Fatalf("after the first run: sooner0 ran %t, want true; later0 ran %t, want false",
			m.requests["sooner0"].ran, m.requests["later0"].ran)
	}
}
