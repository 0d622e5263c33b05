package admission

import (
	"fmt"
	"testing"
)

// The minimum service time is learned of runs, not of quick errors, and checked on arrival and
// again at the start.
func TestReject_TooLittleTimeLeft(t *testing.T) {
	m := newLearnedModel(t, Settings{MaxRetryAfter: 1})
	for i := range 20 {
		m.run(t, fmt.Sprint("e", i), 0.01, Failed)
	}
	m.arriveMany(t, "short", 1, Request{Memory: 1, RemainingBudget: 0.3})
	if a, ok := m.rejected["short0"]; !ok || a.Duration != 0 {
		t.Fatalf("want a rejection that may come back at once, got %v", m.rejected)
	}
	m.arriveMany(t, "long", 1, Request{Memory: 1, RemainingBudget: 1})
	if !m.requests["long0"].ran {
		t.Fatal("a request with time for twice the typical run was not run")
	}
}

func TestReject_QueuedUntilTooLittleTimeLeft(t *testing.T) {
	m := newLearnedModel(t, Settings{Cores: 1})
	m.arriveMany(t, "a", 2, Request{Memory: 1, RemainingBudget: 2})
	m.advance(t, m.now+1.8)
	m.must(t, m.end(m.requests["a0"], Finished))
	if m.requests["a1"].ran || !m.requests["a1"].answered {
		t.Fatal("a queued request that had become short of time was run or left without a response")
	}
}

func TestHardDeadline_AnswersRunningRequest(t *testing.T) {
	cases := map[string]struct{ budget, due float64 }{
		"budget":                           {budget: 1, due: 1},
		"a budget over the timeout is cut": {budget: 1000, due: 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newLearnedModel(t, Settings{})
			m.arriveMany(t, "a", 1, Request{Memory: 1, RemainingBudget: c.budget})
			m.advance(t, m.now+c.due+0.01)
			if !m.requests["a0"].answered {
				t.Fatalf("no response at the hard deadline of a running request with a budget of %.0f s", c.budget)
			}
		})
	}
}
