package admission

import (
	"fmt"
	"testing"
)

// The minimum service time is learned from runs but not from quick errors, which would make it
// too low. A request with less time left than that is rejected on arrival and may be retried at
// once.
func TestReject_TooLittleTimeLeft(t *testing.T) {
	m := newLearnedModel(t, Settings{MaxRetryAfter: 1})
	for i := range 20 {
		m.runToEnd(t, fmt.Sprint("e", i), 0.01, Failed)
	}
	m.arriveMany(t, "short", 1, Request{Memory: 1, RemainingBudget: 0.3})
	if a, ok := m.rejectedOrFailed["short0"]; !ok || a.Duration != 0 {
		t.Fatalf("want a rejection of short0 with Retry-After 0, got rejections %v", m.rejectedOrFailed)
	}
	m.arriveMany(t, "long", 1, Request{Memory: 1, RemainingBudget: 1})
	if !m.requests["long0"].ran {
		t.Fatal("request with 1 s left and a usual run time of 0.5 s: got no run, want one")
	}
}

// A queued request must not start once too little time is left for its run.
func TestReject_QueuedUntilTooLittleTimeLeft(t *testing.T) {
	m := newLearnedModel(t, Settings{Cores: 1})
	m.arriveMany(t, "a", 2, Request{Memory: 1, RemainingBudget: 2})
	m.advance(t, m.now+1.8)
	m.must(t, m.endRun(m.requests["a0"], Finished))
	if m.requests["a1"].ran || !m.requests["a1"].answered {
		t.Fatalf("queued request with 0.2 s left and runs of 0.5 s: ran %t, answered %t; want false, true",
			m.requests["a1"].ran, m.requests["a1"].answered)
	}
}

// A running request gets its final response by its hard deadline, which is never later than the
// timeout of its class.
func TestHardDeadline_RunningRequestGetsResponse(t *testing.T) {
	cases := map[string]struct{ budget, due float64 }{
		"budget": {budget: 1, due: 1},
		"budget over the timeout is reduced to it": {budget: 1000, due: 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newLearnedModel(t, Settings{})
			m.arriveMany(t, "a", 1, Request{Memory: 1, RemainingBudget: c.budget})
			m.advance(t, m.now+c.due+0.01)
			if !m.requests["a0"].answered {
				t.Fatalf("running request with a budget of %.0f s: no response within %.2f s", c.budget, c.due+0.01)
			}
		})
	}
}
