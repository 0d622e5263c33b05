package admission

import (
	"fmt"
	"testing"
)

// withDefaults fills in what a test leaves open of its settings.
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
	settings.Concurrency.PerCore = 4
	settings.Concurrency.Window = 2
	settings.DeadlineTolerance = 0.05
	settings.DeadlinePropagation = true
	settings.DrainGracePeriod = 1
	settings.Downstream.AbandonedCallLifetime = 0.2
	settings.Downstream.CallWindow = 5
	return settings
}

// newLearnedModel returns a server that has learned runs of 0.5 s of its first class.
func newLearnedModel(t *testing.T, settings Settings) *model {
	t.Helper()
	m := newModel(withDefaults(settings), 1, 100)
	m.must(t, Event{Kind: Started})
	for i := range 6 {
		m.run(t, fmt.Sprint("w", i), 0.5, Finished)
	}
	m.advance(t, m.now+0.2)
	return m
}

// run has one request arrive and end so many seconds later.
func (m *model) run(t *testing.T, id string, seconds float64, outcome Outcome) {
	t.Helper()
	m.must(t, m.arrive(id, id, Request{Memory: 1, RemainingBudget: 4}))
	m.advance(t, m.now+seconds)
	m.must(t, m.end(m.requests[id], outcome))
}

// arriveMany has n requests arrive, each in a batch of its own. Their IDs are the prefix with a
// number from 0.
func (m *model) arriveMany(t *testing.T, prefix string, n int, in Request) {
	t.Helper()
	for i := range n {
		id := fmt.Sprint(prefix, i)
		m.must(t, m.arrive(id, id, in))
	}
}

// awaitCall has a running request wait for its call.
func (m *model) awaitCall(t *testing.T, id string) {
	t.Helper()
	m.requests[id].place = placeAwaiting
	m.must(t, Event{Kind: AwaitingDownstream, RequestID: id})
}

// finishCall has the call of a request end well.
func (m *model) finishCall(t *testing.T, id string, seconds float64) {
	t.Helper()
	m.requests[id].place = placeOnCore
	m.must(t, Event{Kind: CallReturned, RequestID: id, Outcome: Finished, Duration: seconds})
}

// callTimeLeft is how long the call of a request may last.
func (m *model) callTimeLeft(id string) float64 { return m.requests[id].callDeadline - m.now }

// learnCalls has both twins learn eight calls of half a second.
func (m *model) learnCalls() {
	for _, c := range []*Controller{m.controller, m.twin} {
		for range 8 {
			c.downstream.callTime.window.Current(m.now).Add(0.5)
		}
	}
}

// wasRejected reports whether a request was rejected or failed.
func (m *model) wasRejected(id string) bool {
	_, rejected := m.rejected[id]
	return rejected
}
