package admission

import (
	"fmt"
	"testing"
)

// Connections of clients that come back seldom must not fill the table; those of a few busy clients
// stay. Where each further attempt opens a connection it is asked against, but not where clients
// may choose servers by subject.
func TestIdleTimeout_RareClientsAreNotKept(t *testing.T) {
	cases := map[string]struct {
		clients          int
		subjects         bool
		kept, noFailover bool
	}{
		"a few busy clients":      {clients: 4, kept: true},
		"many clients":            {clients: 900, noFailover: true},
		"many, choose by subject": {clients: 901, subjects: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newLearnedModel(t, Settings{Clients: c.clients})
			m.arriveMany(t, "a", 12, Request{Memory: 1, RemainingBudget: 4, HasSubject: c.subjects})
			m.advance(t, m.now+0.1)
			m.arriveMany(t, "b", 1, Request{Memory: 1, RemainingBudget: 0.1})
			kept := m.idleTimeout == 0
			noFailover := m.rejected["b0"].NoFailover
			if kept != c.kept || noFailover != c.noFailover {
				t.Errorf("connections closed after %.2f s, asked not to try elsewhere: %v", m.idleTimeout, noFailover)
			}
		})
	}
}

// While requests wait unread connections stay for longer, so that a full table keeps some attempts
// out; once reading gets on they are closed at once again.
func TestIdleTimeout_GrowsWhileRequestsWaitUnread(t *testing.T) {
	classes := []Class{{SoftDeadline: 1.2, Timeout: 4, Value: 1}}
	m := newLearnedModel(t, Settings{Cores: 8, Clients: 600, Classes: classes})
	n := 0
	arriveFor := func(seconds, age float64) {
		t.Helper()
		for end := m.now + seconds; m.now < end; n++ {
			id := fmt.Sprint("a", n)
			m.must(t, m.arrive(id, id, Request{Memory: 1, Age: age, RemainingBudget: 3}))
			m.advance(t, m.now+0.1)
			m.must(t, m.end(m.requests[id], Finished))
		}
	}
	arriveFor(10, 0)
	if m.idleTimeout > 0.05 {
		t.Fatalf("rare clients are kept for %.2f s", m.idleTimeout)
	}
	arriveFor(6, 0.3) // a quarter of the soft deadline, unread
	if m.idleTimeout < 1 {
		t.Errorf("with requests unread connections stay for %.2f s", m.idleTimeout)
	}
	arriveFor(25, 0)
	if m.idleTimeout > 0.06 {
		t.Errorf("reading got on, and connections stay for %.2f s", m.idleTimeout)
	}
}
