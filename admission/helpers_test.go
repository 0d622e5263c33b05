package admission

import (
	"fmt"
	"testing"
)

// withDefaults sets the settings that are the same in all tests, and the classes and the number of
// cores if the test has set none.
func withDefaults(settings Settings) Settings {
	if settings.Classes == nil {
		settings.Classes = []Class{{SoftDeadline: 2, Timeout: 4, Value: 1, CallsDownstream: true}}
	}
	if settings.Cores == 0 {
		settings.Cores = 2
	}
	settings.Memory.Limit = 1e6
	settings.IdleTimeout = 30
	settings.Memory.RunningFactor = 4
	settings.Concurrency.RunsPerCore = 4
	settings.Concurrency.AveragingWindow = 2
	settings.DeadlineTolerance = 0.05
	settings.DeadlinePropagation = true
	settings.DrainGracePeriod = 1
	settings.Downstream.AbandonedCallLifetime = 0.2
	settings.Downstream.CallWindow = 5
	return settings
}

// newLearnedModel returns a server that has learned run times of 0.5 s for its first class.
func newLearnedModel(t *testing.T, settings Settings) *model {
	t.Helper()
	m := newModel(withDefaults(settings), 1, 100)
	m.must(t, Event{Kind: Started})
	for i := range 6 {
		m.runToEnd(t, fmt.Sprint("w", i), 0.5, Finished)
	}
	m.advance(t, m.now+0.2)
	return m
}

// runToEnd delivers a request with a remaining budget of 4 s and ends its run after the given time.
func (m *model) runToEnd(t *testing.T, id string, seconds float64, outcome Outcome) {
	t.Helper()
	m.must(t, m.arrive(id, id, Request{Memory: 1, RemainingBudget: 4}))
	m.advance(t, m.now+seconds)
	m.must(t, m.endRun(m.requests[id], outcome))
}

// arriveMany delivers n requests, each in a batch of its own. Their IDs are the prefix followed
// by a number, from 0 on.
func (m *model) arriveMany(t *testing.T, prefix string, n int, request Request) {
	t.Helper()
	for i := range n {
		id := fmt.Sprint(prefix, i)
		m.must(t, m.arrive(id, id, request))
	}
}

// awaitCall makes a running request wait for its downstream call.
func (m *model) awaitCall(t *testing.T, id string) {
	t.Helper()
	m.requests[id].state = modelAwaitingDownstream
	m.must(t, Event{Kind: AwaitingDownstream, RequestID: id})
}

// finishCall ends the downstream call of a request successfully.
func (m *model) finishCall(t *testing.T, id string, seconds float64) {
	t.Helper()
	m.requests[id].state = modelOnCore
	m.must(t, Event{Kind: CallReturned, RequestID: id, Outcome: Finished, Duration: seconds})
}

// callTimeout returns the time until the call of a request times out.
func (m *model) callTimeout(id string) float64 { return m.requests[id].callDeadline - m.now }

// recordCallTimes records eight calls of 0.5 s with the controller and its replay.
func (m *model) recordCallTimes() {
	for _, c := range []*Controller{m.controller, m.replay} {
		for range 8 {
			c.downstream.callTime.window.Current(m.now).Add(0.5)
		}
	}
}

// wasRejectedOrFailed reports whether a request was rejected or failed.
func (m *model) wasRejectedOrFailed(id string) bool {
	_, rejected := m.rejectedOrFailed[id]
	return rejected
}
