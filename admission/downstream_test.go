package admission

import (
	"fmt"
	"testing"
)

// A call gets the time that is left, less the safety margin. In a large fleet each server's limit
// of calls to a shared dependency is far below one, which shortens the timeout (maxSharedTimeout),
// but calls still need more than the safety margin to return.
func TestCallTimeout_IsTimeLeftLessSafetyMargin(t *testing.T) {
	wants := map[Downstream][2]float64{ServerTier: {0.98, 0.995}, SharedDependency: {0.1, 0.5}}
	for kind, want := range wants {
		t.Run(kind.String(), func(t *testing.T) {
			downstream := DownstreamSettings{Kind: kind, CallLimit: 0.15}
			m := newLearnedModel(t, Settings{Downstream: downstream})
			m.arriveMany(t, "a", 1, Request{Memory: 1, RemainingBudget: 1})
			m.awaitCall(t, "a0")
			if left := m.callTimeout("a0"); left < want[0] || left > want[1] {
				t.Fatalf("call timeout %.3f s with 1 s left, want %.3f to %.3f s", left, want[0], want[1])
			}
		})
	}
}

// A call to a tier may hang, for example when a server of the tier died unnoticed. If the request
// is idempotent and the usual call duration is known, the attempt gets a short timeout that
// leaves time for another one. Without a known duration, or if the call must not be repeated, it
// gets all the time that is left.
func TestCallTimeout_HungCallLeavesTimeForRetry(t *testing.T) {
	for idempotency, want := range map[Idempotency]float64{Idempotent: 0.4, AtMostOnce: 1.9} {
		t.Run(idempotency.String(), func(t *testing.T) {
			m := newLearnedModel(t, Settings{
				Downstream: DownstreamSettings{Kind: ServerTier},
				Classes:    []Class{{SoftDeadline: 2, Timeout: 4, Value: 1, Idempotency: idempotency}},
			})
			for i := range 30 {
				id := fmt.Sprint("a", i)
				m.must(t, m.arrive(id, id, Request{Memory: 1, RemainingBudget: 2}))
				m.awaitCall(t, id)
				if left := m.callTimeout(id); i == 0 && left < 1.9 {
					t.Fatalf("timeout of the first call %.3f s with 2 s left, want at least 1.9 s", left)
				}
				m.advance(t, m.now+0.1)
				m.finishCall(t, id, 0.1)
				m.must(t, m.endRun(m.requests[id], Finished))
			}
			m.must(t, m.arrive("hung", "hung", Request{Memory: 1, RemainingBudget: 2}))
			m.awaitCall(t, "hung")
			if left := m.callTimeout("hung"); left < want-0.1 || left > want+0.1 {
				t.Fatalf("timeout of the hung call %.3f s with 2 s left, want %.1f to %.1f s",
					left, want-0.1, want+0.1)
			}
		})
	}
}

// Calls in flight to a shared dependency stay below this server's share of its limit.
func TestCallLimit_KeepsShareOfSharedDependency(t *testing.T) {
	m := newLearnedModel(t, Settings{
		Cores:      6,
		Downstream: DownstreamSettings{Kind: SharedDependency, CallLimit: 4},
	})
	for i := range 6 {
		id := fmt.Sprint("a", i)
		m.arriveMany(t, id, 1, Request{Memory: 1, RemainingBudget: 3})
		m.awaitCall(t, id+"0")
	}
	if n := m.count(modelCalling); n < 1 || n > 3 {
		t.Fatalf("%d of 6 calls dispatched at once with a share of 4, want 1 to 3", n)
	}
}

// Lost calls to a tier lower the limit on calls, but not below one call per core: otherwise the
// server would starve while its cores are idle.
func TestCallLimit_LostCallsKeepOneCallPerCore(t *testing.T) {
	m := newLearnedModel(t, Settings{Downstream: DownstreamSettings{Kind: ServerTier}})
	m.arriveMany(t, "a", 1, Request{Memory: 1, RemainingBudget: 4})
	for range 40 {
		m.awaitCall(t, "a0")
		m.advance(t, m.now+0.05)
		m.must(t, Event{Kind: CallReturned, RequestID: "a0", Outcome: Rejected})
	}
	if m.controller.downstream.limit < 2 {
		t.Fatalf("call limit %.2f with 2 cores after 40 lost calls, want at least 2", m.controller.downstream.limit)
	}
}

// While calls are scarce, requests that can be degraded continue without their call instead of
// waiting and keeping others from the cores. The calls go to the requests that cannot be
// degraded.
func TestScheduleCalls_DegradesRequestsWhileCallsAreScarce(t *testing.T) {
	m := newLearnedModel(t, Settings{
		Cores:      6,
		Downstream: DownstreamSettings{Kind: SharedDependency, CallLimit: 1},
		Classes: []Class{
			{SoftDeadline: 2, Timeout: 4, Value: 1, CallsDownstream: true},
			{SoftDeadline: 2, Timeout: 4, Value: 1, CallsDownstream: true, DegradedValueFraction: 0.5},
		},
	})
	m.recordCallTimes()
	m.advance(t, m.now+0.2)
	m.arriveMany(t, "plain", 2, Request{Memory: 1, RemainingBudget: 4})
	m.arriveMany(t, "degradable", 3, Request{Class: 1, Memory: 1, RemainingBudget: 4})
	m.awaitCall(t, "plain0") // gets the one call that the limit allows
	m.awaitCall(t, "plain1")
	for i := range 3 {
		m.awaitCall(t, fmt.Sprint("degradable", i))
	}
	if m.count(modelCalling) != 1 || m.requests["plain1"].state != modelAwaitingDownstream {
		t.Fatalf("%d calls in flight, want 1; plain1 is %s, want %s",
			m.count(modelCalling), m.requests["plain1"].state, modelAwaitingDownstream)
	}
	for i := range 3 {
		if state := m.requests[fmt.Sprint("degradable", i)].state; state != modelOnCore {
			t.Errorf("degradable%d is %s, want it on a core without its call", i, state)
		}
	}
}

// While calls are slow, the call of a request that has no value without it is dispatched before
// the call of a request that can be degraded, even if the latter has the earlier soft deadline.
func TestScheduleCalls_SlowCallsAreOrderedByAddedValue(t *testing.T) {
	m := newLearnedModel(t, Settings{
		Cores:      6,
		Downstream: DownstreamSettings{Kind: SharedDependency, CallLimit: 1},
		Classes: []Class{
			{SoftDeadline: 30, Timeout: 40, Value: 1, CallsDownstream: true},
			{SoftDeadline: 20, Timeout: 40, Value: 1, CallsDownstream: true, DegradedValueFraction: 0.5},
		},
	})
	for _, c := range []*Controller{m.controller, m.replay} {
		c.downstream.callTime.lowest.Observe(m.now, 0.1)
	}
	m.recordCallTimes()
	m.advance(t, m.now+0.2)
	m.arriveMany(t, "out", 1, Request{Memory: 1, RemainingBudget: 40})
	m.arriveMany(t, "first", 1, Request{Class: 1, Memory: 1, RemainingBudget: 40})
	m.arriveMany(t, "more", 1, Request{Memory: 1, RemainingBudget: 40})
	m.awaitCall(t, "out0")   // gets the one call that the limit allows
	m.awaitCall(t, "first0") // has the earlier soft deadline and can be degraded
	m.awaitCall(t, "more0")  // has no value without its call
	m.finishCall(t, "out0", 0.5)
	m.advance(t, m.now+3)
	if m.requests["more0"].state != modelCalling || m.requests["first0"].state == modelCalling {
		t.Errorf("more0 is %s, want calling; first0 is %s, want not calling",
			m.requests["more0"].state, m.requests["first0"].state)
	}
}
