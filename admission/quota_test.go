package admission

import (
	"fmt"
	"strings"
	"testing"
)

// An allowance is binding: its tenant's requests beyond it are rejected before they run, and requests
// that never ran are not charged.
func TestAllowance_BindsTenant(t *testing.T) {
	m := newLearnedModel(t, Settings{Cores: 4, Tenants: []Tenant{{Rate: 1e6}, {Rate: 1e6}}})
	m.must(t, Event{Kind: AllowanceChanged, Allowance: &Allowance{Tenant: 0, Limit: 4, BurstDuration: 0.5}})
	m.arriveMany(t, "a", 3, Request{Memory: 1, RemainingBudget: 4})
	if n := len(m.rejected); n != 3 { // requests saved up under the server's own estimate are forfeited
		t.Fatalf("%d of 3 rejected as the share begins empty", n)
	}
	m.advance(t, m.now+1)
	m.arriveMany(t, "b", 1, Request{Memory: 1, RemainingBudget: 0.01}) // too short to run: it takes nothing
	m.arriveMany(t, "c", 4, Request{Memory: 1, RemainingBudget: 4})
	m.arriveMany(t, "other", 4, Request{Tenant: 1, Memory: 1, RemainingBudget: 4})
	wants := map[string]bool{"b0": true, "c0": false, "c1": false, "c2": true, "c3": true, "other3": false}
	for id, want := range wants {
		if is := m.wasRejected(id); is != want {
			t.Errorf("%s rejected: %t, half a second of 4 may be saved up", id, is)
		}
	}
	m.advance(t, m.now+1)
	m.must(t, Event{Kind: AllowanceChanged, Allowance: &Allowance{Tenant: 0, Limit: 0, BurstDuration: 0.5}})
	m.arriveMany(t, "d", 1, Request{Memory: 1, RemainingBudget: 4})
	if !m.wasRejected("d0") {
		t.Error("with none allowed one was taken in")
	}
}

// An allowance of calls is binding whatever the limit on calls is, down to none.
func TestAllowance_BindsCalls(t *testing.T) {
	for limit, want := range map[float64]int{2.9: 2, 1: 1, 0: 0} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			m := newLearnedModel(t, Settings{Cores: 6, Downstream: DownstreamSettings{Kind: ServerTier}})
			m.must(t, Event{Kind: AllowanceChanged, Allowance: &Allowance{Tenant: CallAllowance, Limit: limit}})
			for i := range 6 {
				id := fmt.Sprint("a", i)
				m.arriveMany(t, id, 1, Request{Memory: 1, RemainingBudget: 3})
				m.awaitCall(t, id+"0")
			}
			m.advance(t, m.now+0.5)
			if n := m.count(placeCalling); n != want {
				t.Errorf("%d of 6 calls are in flight with an allowance of %g", n, limit)
			}
			if inFlight, waiting := m.controller.DownstreamCalls(); inFlight != want || inFlight+waiting != 6 {
				t.Errorf("it tells of %d in flight and %d waiting", inFlight, waiting)
			}
		})
	}
}

// A request over its tenant's quota starts last, leaves a core free, and its client is asked not to try
// another server, where it is over the quota too. Requests that did not run are not charged.
func TestQuota_OverQuotaLeavesRoom(t *testing.T) {
	m := newLearnedModel(t, Settings{
		Cores: 2, Backpressure: BackpressureWeight, MaxRetryAfter: 1, OverQuotaValue: 0.05, Servers: 10,
		Tenants: []Tenant{{Rate: 0.01}, {Rate: 0.01}},
	}) // its six runs were all that the first tenant may have at once
	m.arriveMany(t, "over", 8, Request{Memory: 1, RemainingBudget: 4})
	if n := m.count(placeOnCore); n != 1 {
		t.Fatalf("%d over their quota run on 2 cores", n)
	}
	m.arriveMany(t, "short", 10, Request{Tenant: 1, Memory: 1, RemainingBudget: 0.01})
	m.arriveMany(t, "own", 1, Request{Tenant: 1, Memory: 1, RemainingBudget: 4})
	if !m.requests["own0"].ran {
		t.Fatal("one within its quota found no room, though ten before it did not run")
	}
	m.must(t, m.end(m.requests["over0"], Finished))
	m.arriveMany(t, "next", 2, Request{Tenant: 1, Memory: 1, RemainingBudget: 4})
	if !m.requests["next0"].ran || m.requests["next1"].ran {
		t.Error("one over its quota ran before one that came later and is within its own")
	}
	m.must(t, m.end(m.requests["own0"], Finished), m.end(m.requests["next0"], Finished))
	m.must(t, m.end(m.requests["next1"], Finished))
	wanted := m.controller.load.wanted
	m.finishRuns(t) // one after the other, until the rest can't run any more
	overQuota := 0
	for id, a := range m.rejected {
		if !strings.HasPrefix(id, "over") {
			continue
		}
		overQuota++
		if !a.NoFailover {
			t.Errorf("%s may try elsewhere", id)
		}
	}
	if overQuota == 0 || m.controller.load.wanted < wanted {
		t.Errorf("%d over their quota rejected, share wanted %.2f, then %.2f",
			overQuota, wanted, m.controller.load.wanted)
	}
}

// finishRuns ends what runs each half a second, eight times.
func (m *model) finishRuns(t *testing.T) {
	t.Helper()
	for range 8 {
		m.advance(t, m.now+0.5)
		for _, id := range m.ids {
			if r := m.requests[id]; r.place == placeOnCore && !r.answered {
				m.must(t, m.end(r, Finished))
			}
		}
	}
}
