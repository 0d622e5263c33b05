package admission

import "testing"

func TestShedQueue_OverloadIsRejectedWithRetryAfter(t *testing.T) {
	m := newLearnedModel(t, Settings{MaxRetryAfter: 1})
	m.arriveMany(t, "a", 40, Request{Memory: 1, RemainingBudget: 4})
	if n := len(m.rejected); n < 20 || n > 36 {
		t.Fatalf("%d of 40 rejected at once on 2 cores", n)
	}
	for id, a := range m.rejected {
		if a.Duration <= 0 || a.Duration > 1 {
			t.Fatalf("%s: Retry-After %.2f", id, a.Duration)
		}
	}
	// The least valuable class must not be the only one rejected: it counts for more the fewer are
	// run.
	few := &m.controller.classes[0]
	most := m.controller.classes[0]
	most.admittedFraction = 1
	densityOfFew := m.controller.valueDensity(&request{class: few, value: 1})
	if densityOfFew < 1.3*m.controller.valueDensity(&request{class: &most, value: 1}) {
		t.Fatalf("%.2f of the class are run, yet it counts as any", few.admittedFraction)
	}
}

func TestStartQueued_OrderIsSoftDeadline(t *testing.T) {
	m := newLearnedModel(t, Settings{Cores: 1, Classes: []Class{
		{SoftDeadline: 9, Timeout: 9, Value: 3},
		{SoftDeadline: 5, Timeout: 9, Value: 1},
	}})
	m.arriveMany(t, "first", 1, Request{Memory: 1, RemainingBudget: 9})
	m.arriveMany(t, "later", 1, Request{Memory: 1, RemainingBudget: 9})
	m.arriveMany(t, "sooner", 1, Request{Class: 1, Memory: 1, RemainingBudget: 9})
	m.must(t, m.end(m.requests["first0"], Finished))
	if !m.requests["sooner0"].ran || m.requests["later0"].ran {
		t.Fatal("queued requests did not start by soft deadline")
	}
}
