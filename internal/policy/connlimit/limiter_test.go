package connlimit

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"swiftcourse/internal/fake/random"
)

func TestMain(m *testing.M) { random.RunSeeded(m, 1000) }

func TestEvictionCandidates_InOrder(t *testing.T) {
	limiter := New(30)
	now := 100.0
	limiter.HandleOpen(5, now-9)
	limiter.HandleEvent(5, EventRequestOpened, now-9) // has an open request: never
	limiter.HandleOpen(2, now-9)
	limiter.HandleEvent(2, EventRequest, now-8) // silent for longest of those that sent something
	limiter.HandleOpen(3, now-9)
	limiter.HandleEvent(3, EventRequest, now-0.5)
	limiter.HandleOpen(0, now-1) // had its time and sent nothing
	limiter.HandleOpen(1, now-0.5)
	limiter.HandleOpen(4, now) // its first message may be on its way
	if got := slices.Collect(limiter.EvictionCandidates(now)); !slices.Equal(got, []int32{0, 1, 2, 3, 4}) {
		t.Error(got)
	}
}

func TestTakeDecisions_MassExpiryComesInBatches(t *testing.T) {
	const connections = 10_000
	limiter := New(5)
	for slot := range int32(connections) {
		limiter.HandleOpen(slot, 0)
		limiter.HandleEvent(slot, EventRequest, 0)
	}
	if limiter.NextWakeup() != 5 || len(limiter.TakeDecisions(4.999)) != 0 {
		t.Fatalf("next wakeup %v", limiter.NextWakeup())
	}
	asked, now := 0, limiter.NextWakeup()
	for ; asked < connections; now = limiter.NextWakeup() {
		decisions := limiter.TakeDecisions(now)
		if len(decisions) == 0 || len(decisions) > maxBatch {
			t.Fatalf("%d decisions at %v", len(decisions), now)
		}
		for _, decision := range decisions {
			if decision.Command != CommandAskToClose || decision.Slot != int32(asked) {
				t.Fatalf("%+v after %d", decision, asked)
			}
			asked++
			limiter.HandleClosed(decision.Slot) // the peer closes it
		}
		if more := limiter.TakeDecisions(now); len(more) > 0 && asked < connections {
			t.Fatalf("%d more in the same instant", len(more))
		}
	}
	if !math.IsInf(now, 1) || limiter.Count(StateIdle) != 0 || len(limiter.connections) != 0 {
		t.Errorf("next wakeup %v, %d idle, %d records", now, limiter.Count(StateIdle), len(limiter.connections))
	}
}

func TestStartDrain_AsksAndClosesAllButActive(t *testing.T) {
	const connections = 1000
	limiter := New(30)
	for slot := range int32(connections) {
		limiter.HandleOpen(slot, 0)
		if slot%3 > 0 {
			limiter.HandleEvent(slot, EventRequest, 0)
		}
	}
	limiter.HandleEvent(1, EventRequestOpened, 0)
	if active := limiter.StartDrain(); !slices.Equal(active, []int32{1}) {
		t.Errorf("%v have an open request", active)
	}
	limiter.SetIdleTimeout(30) // said by the admission module after that: it changes nothing
	asked, closed, now := 0, 0, 0.0
	for ; now < 1; now += 0.001 {
		for _, decision := range limiter.TakeDecisions(now) {
			if decision.Command == CommandAskToClose {
				asked++
				continue
			}
			closed++
			limiter.HandleClosed(decision.Slot)
		}
	}
	if asked != connections-1 || closed != connections-1 || limiter.State(1) != StateActive {
		t.Fatalf("%d asked, %d closed, the active one is %v", asked, closed, limiter.State(1))
	}
	limiter.HandleEvent(1, EventRequestsDone, now)
	if got := limiter.TakeDecisions(now); len(got) != 0 || limiter.State(1) != StateAskedToClose {
		t.Errorf("after its request it is asked again: %v", got)
	}
	if got := limiter.TakeDecisions(now + 0.2); !slices.Equal(got, []Decision{{1, CommandClose, StateAskedToClose}}) {
		t.Errorf("it does not close: %v", got)
	}
}

func TestHandleEvent_UnreadDataTakesCloseBack(t *testing.T) {
	limiter := New(1)
	limiter.HandleOpen(0, 0)
	limiter.HandleEvent(0, EventRequest, 0)
	if got := limiter.TakeDecisions(1); !slices.Equal(got, []Decision{{0, CommandAskToClose, StateIdle}}) {
		t.Fatal(got)
	}
	if got := limiter.TakeDecisions(1.5); !slices.Equal(got, []Decision{{0, CommandClose, StateAskedToClose}}) {
		t.Fatal(got)
	}
	limiter.HandleEvent(0, EventUnreadData, 1.5)
	limiter.HandleEvent(0, EventRequestOpened, 1.5)
	if len(limiter.TakeDecisions(100)) != 0 || limiter.State(0) != StateActive {
		t.Error("closed while a request is open")
	}
	limiter.HandleEvent(0, EventRequestsDone, 100)
	if limiter.State(0) != StateAskedToClose || limiter.NextWakeup() != 100.5 {
		t.Errorf("%v, next wakeup %v", limiter.State(0), limiter.NextWakeup())
	}
}

// BenchmarkHandleEvent measures what a message on one of so many connections costs, with a look at
// the decisions now and then.
func BenchmarkHandleEvent(b *testing.B) {
	for _, connections := range []int32{100, 10_000, 1_000_000} {
		b.Run(fmt.Sprint(connections), func(b *testing.B) {
			limiter := New(1e9)
			for slot := range connections {
				limiter.HandleOpen(slot, 0)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := 1 + float64(i)*1e-9
				limiter.HandleEvent(int32(int64(i)*7919%int64(connections)), EventRequest, now)
				if i%64 == 0 {
					limiter.TakeDecisions(0)
				}
			}
		})
	}
}
