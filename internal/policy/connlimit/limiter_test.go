package connlimit

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"swiftcourse/internal/fake/random"
)

func TestMain(m *testing.M) { random.RunSeeded(m, 1000) }

func TestEvictionCandidates_Order(t *testing.T) {
	limiter := New(30)
	now := 100.0
	limiter.HandleOpen(5, now-9)
	limiter.HandleEvent(5, EventRequestOpened, now-9) // has an open request: not a candidate
	limiter.HandleOpen(2, now-9)
	limiter.HandleEvent(2, EventRequest, now-8) // of those that sent something, the one silent for longest
	limiter.HandleOpen(3, now-9)
	limiter.HandleEvent(3, EventRequest, now-0.5)
	limiter.HandleOpen(0, now-1) // had the time to send something and did not
	limiter.HandleOpen(1, now-0.5)
	limiter.HandleOpen(4, now) // its first message may still be in transit
	if got := slices.Collect(limiter.EvictionCandidates(now)); !slices.Equal(got, []int32{0, 1, 2, 3, 4}) {
		t.Errorf("candidates %v, want 0 to 4 in order", got)
	}
}

func TestTakeDecisions_LimitsBatchWhenManyTimeOut(t *testing.T) {
	const connections = 10_000
	limiter := New(5)
	for slot := range int32(connections) {
		limiter.HandleOpen(slot, 0)
		limiter.HandleEvent(slot, EventRequest, 0)
	}
	if wakeup, early := limiter.NextWakeup(), limiter.TakeDecisions(4.999); wakeup != 5 || len(early) != 0 {
		t.Fatalf("next wakeup is %v s and %d decisions at 4.999 s, want 5 s and 0", wakeup, len(early))
	}
	asked, now := 0, limiter.NextWakeup()
	for ; asked < connections; now = limiter.NextWakeup() {
		decisions := limiter.TakeDecisions(now)
		if len(decisions) == 0 || len(decisions) > maxBatch {
			t.Fatalf("%d decisions at %v s, want from 1 to %d", len(decisions), now, maxBatch)
		}
		for _, decision := range decisions {
			if decision.Command != CommandAskToClose || decision.Slot != int32(asked) {
				t.Fatalf("decision %+v, want %v for slot %d", decision, CommandAskToClose, asked)
			}
			asked++
			limiter.HandleClosed(decision.Slot) // the peer closes the connection
		}
		if more := limiter.TakeDecisions(now); len(more) > 0 && asked < connections {
			t.Fatalf("%d more decisions at the same time, want 0", len(more))
		}
	}
	if !math.IsInf(now, 1) || limiter.Count(StateIdle) != 0 || len(limiter.connections) != 0 {
		t.Errorf("next wakeup %v, %d idle, %d records; want no wakeup, connection or record left",
			now, limiter.Count(StateIdle), len(limiter.connections))
	}
}

func TestStartDrain_ClosesActiveConnectionAfterItsRequest(t *testing.T) {
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
		t.Errorf("slots %v have an open request, want [1]", active)
	}
	limiter.SetIdleTimeout(30) // has no effect while draining
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
		t.Fatalf("%d asked, %d closed, slot 1 is %v; want %d, %d, %v",
			asked, closed, limiter.State(1), connections-1, connections-1, StateActive)
	}
	limiter.HandleEvent(1, EventRequestsDone, now)
	if got := limiter.TakeDecisions(now); len(got) != 0 || limiter.State(1) != StateAskedToClose {
		t.Errorf("after the request: decisions %v, state %v; want none, %v", got, limiter.State(1), StateAskedToClose)
	}
	if got := limiter.TakeDecisions(now + 0.2); !slices.Equal(got, []Decision{{1, CommandClose, StateAskedToClose}}) {
		t.Errorf("after the request and the timeout: decisions %v, want %v for slot 1", got, CommandClose)
	}
}

func TestHandleEvent_UnreadDataCancelsClose(t *testing.T) {
	limiter := New(1)
	limiter.HandleOpen(0, 0)
	limiter.HandleEvent(0, EventRequest, 0)
	if got := limiter.TakeDecisions(1); !slices.Equal(got, []Decision{{0, CommandAskToClose, StateIdle}}) {
		t.Fatalf("decisions %v at the idle timeout, want %v for slot 0", got, CommandAskToClose)
	}
	if got := limiter.TakeDecisions(1.5); !slices.Equal(got, []Decision{{0, CommandClose, StateAskedToClose}}) {
		t.Fatalf("decisions %v at the close timeout, want %v for slot 0", got, CommandClose)
	}
	limiter.HandleEvent(0, EventUnreadData, 1.5)
	limiter.HandleEvent(0, EventRequestOpened, 1.5)
	if got := limiter.TakeDecisions(100); len(got) != 0 || limiter.State(0) != StateActive {
		t.Errorf("with an open request: decisions %v, state %v; want none, %v", got, limiter.State(0), StateActive)
	}
	limiter.HandleEvent(0, EventRequestsDone, 100)
	if limiter.State(0) != StateAskedToClose || limiter.NextWakeup() != 100.5 {
		t.Errorf("state %v, next wakeup %v; want %v, 100.5", limiter.State(0), limiter.NextWakeup(), StateAskedToClose)
	}
}

// BenchmarkHandleEvent measures the cost of a message with the given number of connections, including
// a call of TakeDecisions for every 64 messages.
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
