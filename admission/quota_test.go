package admission

import (
	"fmt"
	"strings"
	"testing"
)

// An allowance for a tenant is binding: requests over it are rejected before they run. Requests
// that never ran are not charged.
func TestAllowance_LimitsTenant(t *testing.T) {
	m := newLearnedModel(t, Settings{Cores: 4, Tenants: []Tenant{{Rate: 1e6}, {Rate: 1e6}}})
	m.must(t, Event{Kind: AllowanceChanged, Allowance: &Allowance{Tenant: 0, Limit: 4, BurstDuration: 0.5}})
	m.arriveMany(t, "a", 3, Request{Memory: 1, RemainingBudget: 4})
	// Requests saved up under the server's own estimate are forfeited.
	if n := len(m.rejectedOrFailed); n != 3 {
		t.Fatalf("%d requests rejected right after the first allowance, want all 3", n)
	}
	m.advance(t, m.now+1)
	// b0 has too little time left to run, so it is not charged.
	m.arriveMany(t, "b", 1, Request{Memory: 1, RemainingBudget: 0.01})
	m.arriveMany(t, "c", 4, Request{Memory: 1, RemainingBudget: 4})
	m.arriveMany(t, "other", 4, Request{Tenant: 1, Memory: 1, RemainingBudget: 4})
	wants := map[string]bool{"b0": true, "c0": false, "c1": false, "c2": true, "c3": true, "other3": false}
	for id, want := range wants {
		if got := m.wasRejectedOrFailed(id); got != want {
			t.Errorf("%s rejected: %t, want %t with 4 requests a second and 0.5 s of them saved up", id, got, want)
		}
	}
	m.advance(t, m.now+1)
	m.must(t, Event{Kind: AllowanceChanged, Allowance: &Allowance{Tenant: 0, Limit: 0, BurstDuration: 0.5}})
	m.arriveMany(t, "d", 1, Request{Memory: 1, RemainingBudget: 4})
	if !m.wasRejectedOrFailed("d0") {
		t.Error("request with an allowance of 0: got admitted, want rejected")
	}
}

// An allowance for calls is binding, even if it is 0 or below the server's own limit on calls.
func TestAllowance_LimitsCalls(t *testing.T) {
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
			if n := m.count(modelCalling); n != want {
				t.Errorf("%d of 6 calls are in flight with an allowance of %g, want %d", n, limit, want)
			}
			if inFlight, waiting := m.controller.DownstreamCalls(); inFlight != want || inFlight+waiting != 6 {
				t.Errorf("DownstreamCalls() = %d in flight, %d waiting; want %d in flight, 6 in total",
					inFlight, waiting, want)
			}
		})
	}
}

// Requests over their tenant's quota start last and leave a core free. Their clients are asked
// not to try another server, where the tenant is over its quota too. Requests that did not run
// are not charged.
func TestQuota_OverQuotaRequestsLeaveCoreFree(t *testing.T) {
	m := newLearnedModel(t, Settings{
		Cores: 2, Backpressure: BackpressureWeight, MaxRetryAfter: 1, OverQuotaValueFactor: 0.05, Servers: 10,
		Tenants: []Tenant{{Rate: 0.01}, {Rate: 0.01}},
	}) // the six runs of newLearnedModel use up the burst of the first tenant
	m.arriveMany(t, "over", 8, Request{Memory: 1, RemainingBudget: 4})
	if n := m.count(modelOnCore); n != 1 {
		t.Fatalf("%d requests over their quota run on 2 cores, want 1", n)
	}
	m.arriveMany(t, "short", 10, Request{Tenant: 1, Memory: 1, RemainingBudget: 0.01})
	m.arriveMany(t, "own", 1, Request{Tenant: 1, Memory: 1, RemainingBudget: 4})
	if !m.requests["own0"].ran {
		t.Fatal("request within its quota did not start after ten uncharged ones of its tenant, want it to run")
	}
	m.must(t, m.endRun(m.requests["over0"], Finished))
	m.arriveMany(t, "next", 2, Request{Tenant: 1, Memory: 1, RemainingBudget: 4})
	if !m.requests["next0"].ran || m.requests["next1"].ran {
		t.Errorf("next0 ran %t, want true; next1 ran %t, want false: requests over quota start last",
			m.requests["next0"].ran, m.requests["next1"].ran)
	}
	m.must(t, m.endRun(m.requests["own0"], Finished), m.endRun(m.requests["next0"], Finished))
	m.must(t, m.endRun(m.requests["next1"], Finished))
	wanted := m.controller.load.wantedFraction
	m.finishRuns(t) // the other requests over quota run one at a time until too little time is left
	overQuota := 0
	for id, a := range m.rejectedOrFailed {
		if !strings.HasPrefix(id, "over") {
			continue
		}
		overQuota++
		if !a.NoFailover {
			t.Errorf("%s was rejected without NoFailover, want it set for requests over quota", id)
		}
	}
	if overQuota == 0 || m.controller.load.wantedFraction < wanted {
		t.Errorf("%d requests over quota rejected, want at least 1; wanted fraction %.2f, want at least %.2f",
			overQuota, m.controller.load.wantedFraction, wanted)
	}
}

// finishRuns ends the running requests eight times, every 0.5 s.
func (m *model) finishRuns(t *testing.T) {
	t.Helper()
	for range 8 {
		m.advance(t, m.now+0.5)
		for _, id := range m.ids {
			if r := m.requests[id]; r.state == modelOnCore && !r.answered {
				m.must(t, m.endRun(r, Finished))
			}
		}
	}
}
