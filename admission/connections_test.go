package admission

import (
	"fmt"
	"testing"
)

// Idle connections of clients that return rarely must not fill the connection table; those of a
// few busy clients stay open. Where each further attempt opens a connection, clients are asked
// not to try another server, unless they may choose servers by subject.
func TestIdleTimeout_ShortForInfrequentClients(t *testing.T) {
	cases := map[string]struct {
		clients          int
		subjects         bool
		kept, noFailover bool
	}{
		"a few busy clients":                {clients: 4, kept: true},
		"many clients":                      {clients: 900, noFailover: true},
		"many clients, choosing by subject": {clients: 901, subjects: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newLearnedModel(t, Settings{Clients: c.clients})
			m.arriveMany(t, "a", 12, Request{Memory: 1, RemainingBudget: 4, HasSubject: c.subjects})
			m.advance(t, m.now+0.1)
			m.arriveMany(t, "b", 1, Request{Memory: 1, RemainingBudget: 0.1})
			kept := m.idleTimeout == 0
			noFailover := m.rejectedOrFailed["b0"].NoFailover
			if kept != c.kept || noFailover != c.noFailover {
				t.Errorf("idle timeout unchanged %t, want %t (timeout %.2f s); NoFailover %t, want %t",
					kept, c.kept, m.idleTimeout, noFailover, c.noFailover)
			}
		})
	}
}

// While requests stay unread, idle connections stay open for longer, so that a full connection
// table refuses new attempts. Once requests are read in time, the timeout gets short again.
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
			m.must(t, m.endRun(m.requests[id], Finished))
		}
	}
	arriveFor(10, 0)
	if m.idleTimeout > 0.05 {
		t.Fatalf("idle timeout for rarely returning clients %.2f s, want at most 0.05 s", m.idleTimeout)
	}
	arriveFor(6, 0.3) // unread for a quarter of the soft deadline
	if m.idleTimeout < 1 {
		t.Errorf("idle timeout with an unread backlog %.2f s, want at least 1 s", m.idleTimeout)
	}
	arriveFor(25, 0)
	if m.idleTimeout > 0.06 {
		t.Errorf("idle timeout after the unread backlog ended %.2f s, want at most 0.06 s", m.idleTimeout)
	}
}
