package admission

import (
	"fmt"
	"testing"
)

// In a large fleet the limit is far under one, yet a call needs more than the safety margin to come
// back.
func TestCallTimeout_IsTimeLeftLessMargin(t *testing.T) {
	wants := map[Downstream][2]float64{ServerTier: {0.98, 0.995}, SharedDependency: {0.1, 0.5}}
	for kind, want := range wants {
		t.Run(kind.String(), func(t *testing.T) {
			downstream := DownstreamSettings{Kind: kind, CallLimit: 0.15}
			m := newLearnedModel(t, Settings{Downstream: downstream})
			m.arriveMany(t, "a", 1, Request{Memory: 1, RemainingBudget: 1})
			m.awaitCall(t, "a0")
			if left := m.callTimeLeft("a0"); left < want[0] || left > want[1] {
				t.Fatalf("call out for %.3f with 1 s left", left)
			}
		})
	}
}

// A call into a tier that hangs is given up in time for another, which gets what is left; the first
// to be tried again is one that may be, and only where typical calls are known.
func TestCallTimeout_HungCallLeavesTimeForAnother(t *testing.T) {
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
				if left := m.callTimeLeft(id); i == 0 && left < 1.9 {
					t.Fatalf("the first call out for %.3f", left)
				}
				m.advance(t, m.now+0.1)
				m.finishCall(t, id, 0.1)
				m.must(t, m.end(m.requests[id], Finished))
			}
			m.must(t, m.arrive("hung", "hung", Request{Memory: 1, RemainingBudget: 2}))
			m.awaitCall(t, "hung")
			if left := m.callTimeLeft("hung"); left < want-0.1 || left > want+0.1 {
				t.Fatalf("out for %.3f with 2 s left", left)
			}
		})
	}
}

func TestCallLimit_HoldsOfSharedDependency(t *testing.T) {
	m := newLearnedModel(t, Settings{
		Cores:      6,
		Downstream: DownstreamSettings{Kind: SharedDependency, CallLimit: 4},
	})
	for i := range 6 {
		id := fmt.Sprint("a", i)
		m.arriveMany(t, id, 1, Request{Memory: 1, RemainingBudget: 3})
		m.awaitCall(t, id+"0")
	}
	if n := m.count(placeCalling); n < 1 || n > 3 {
		t.Fatalf("%d of 6 calls dispatched at once, limit 4", n)
	}
}

// Lost calls to a tier must not starve a server whose cores are idle.
func TestCallLimit_LostCallsLeaveOneACore(t *testing.T) {
	m := newLearnedModel(t, Settings{Downstream: DownstreamSettings{Kind: ServerTier}})
	m.arriveMany(t, "a", 1, Request{Memory: 1, RemainingBudget: 4})
	for range 40 {
		m.awaitCall(t, "a0")
		m.advance(t, m.now+0.05)
		m.must(t, Event{Kind: CallReturned, RequestID: "a0", Outcome: Rejected})
	}
	if m.controller.downstream.limit < 2 {
		t.Fatalf("limit on calls at %.2f with 2 cores", m.controller.downstream.limit)
	}
}

// Where calls are scarce, what can do without goes on without, rather than wait and keep others
// from the cores; the calls go where they add most.
func TestScheduleCalls_ScarceCallsGoWhereTheyAddMost(t *testing.T) {
	m := newLearnedModel(t, Settings{
		Cores:      6,
		Downstream: DownstreamSettings{Kind: SharedDependency, CallLimit: 1},
		Classes: []Class{
			{SoftDeadline: 2, Timeout: 4, Value: 1, CallsDownstream: true},
			{SoftDeadline: 2, Timeout: 4, Value: 1, CallsDownstream: true, DegradedValue: 0.5},
		},
	})
	m.learnCalls()
	m.advance(t, m.now+0.2)
	m.arriveMany(t, "plain", 2, Request{Memory: 1, RemainingBudget: 4})
	m.arriveMany(t, "degradable", 3, Request{Class: 1, Memory: 1, RemainingBudget: 4})
	m.awaitCall(t, "plain0") // has the one call that may go out
	m.awaitCall(t, "plain1")
	for i := range 3 {
		m.awaitCall(t, fmt.Sprint("degradable", i))
	}
	if m.count(placeCalling) != 1 || m.requests["plain1"].place != placeAwaiting {
		t.Fatalf("%d calls are in flight, the other is %s", m.count(placeCalling), m.requests["plain1"].place)
	}
	for i := range 3 {
		if place := m.requests[fmt.Sprint("degradable", i)].place; place != placeOnCore {
			t.Errorf("degradable%d is %s: it can do without", i, place)
		}
	}
}

// Slow calls go to the one that earns nothing without, though the other is due first.
func TestScheduleCalls_SlowCallsGoWhereTheyAddMost(t *testing.T) {
	m := newLearnedModel(t, Settings{
		Cores:      6,
		Downstream: DownstreamSettings{Kind: SharedDependency, CallLimit: 1},
		Classes: []Class{
			{SoftDeadline: 30, Timeout: 40, Value: 1, CallsDownstream: true},
			{SoftDeadline: 20, Timeout: 40, Value: 1, CallsDownstream: true, DegradedValue: 0.5},
		},
	})
	for _, c := range []*Controller{m.controller, m.twin} {
		c.downstream.callTime.lowest.Observe(m.now, 0.1)
	}
	m.learnCalls()
	m.advance(t, m.now+0.2)
	m.arriveMany(t, "out", 1, Request{Memory: 1, RemainingBudget: 40})
	m.arriveMany(t, "first", 1, Request{Class: 1, Memory: 1, RemainingBudget: 40})
	m.arriveMany(t, "more", 1, Request{Memory: 1, RemainingBudget: 40})
	m.awaitCall(t, "out0")
	m.awaitCall(t, "first0")
	m.awaitCall(t, "more0")
	m.finishCall(t, "out0", 0.5)
	m.advance(t, m.now+3)
	if m.requests["more0"].place != placeCalling || m.requests["first0"].place == placeCalling {
		t.Errorf("the one that needs it is %s, the other %s", m.requests["more0"].place, m.requests["first0"].place)
	}
}
