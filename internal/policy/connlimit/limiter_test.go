package connlimit

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"swiftcourse/internal/fake/random"
)

func TestMain(m *testing.M) { random.Fix(m, 1000) }

func TestEvictionCandidates_InOrder(t *testing.T) {
	limiter := New(30)
	now := 100.0
	limiter.Open(5, now-9)
	limiter.Tell(5, Owed, now-9) // has an open request: never
	limiter.Open(2, now-9)
	limiter.Tell(2, Spoke, now-8) // silent for longest of those that sent something
	limiter.Open(3, now-9)
	limiter.Tell(3, Spoke, now-0.5)
	limiter.Open(0, now-1) // had its time and sent nothing
	limiter.Open(1, now-0.5)
	limiter.Open(4, now) // its first message may be on its way
	if got := slices.Collect(limiter.Spare(now)); !slices.Equal(got, []int32{0, 1, 2, 3, 4}) {
		t.Error(got)
	}
}

func TestTakeDecisions_MassExpiryComesInBatches(t *testing.T) {
	const connections = 10_000
	limiter := New(5)
	for slot := range int32(connections) {
		limiter.Open(slot, 0)
		limiter.Tell(slot, Spoke, 0)
	}
	if limiter.Next() != 5 || len(limiter.Due(4.999)) != 0 {
		t.Fatalf("next wakeup %v", limiter.Next())
	}
	asked, now := 0, limiter.Next()
	for ; asked < connections; now = limiter.Next() {
		decisions := limiter.Due(now)
		if len(decisions) == 0 || len(decisions) > maxBatch {
			t.Fatalf("%d decisions at %v", len(decisions), now)
		}
		for _, decision := range decisions {
			if decision.Do != Ask || decision.Slot != int32(asked) {
				t.Fatalf("%+v after %d", decision, asked)
			}
			asked++
			limiter.Leave(decision.Slot) // the peer closes it
		}
		if more := limiter.Due(now); len(more) > 0 && asked < connections {
			t.Fatalf("%d more in the same instant", len(more))
		}
	}
	if !math.IsInf(now, 1) || limiter.Count(Known) != 0 || len(limiter.connections) != 0 {
		t.Errorf("next wakeup %v, %d idle, %d records", now, limiter.Count(Known), len(limiter.connections))
	}
}

func TestStartDrain_AsksAndClosesAllButActive(t *testing.T) {
	const connections = 1000
	limiter := New(30)
	for slot := range int32(connections) {
		limiter.Open(slot, 0)
		if slot%3 > 0 {
			limiter.Tell(slot, Spoke, 0)
		}
	}
	limiter.Tell(1, Owed, 0)
	if active := limiter.LeaveAll(); !slices.Equal(active, []int32{1}) {
		t.Errorf("%v have an open request", active)
	}
	limiter.Idle(30) // said by the admission module after that: it changes nothing
	asked, closed, now := 0, 0, 0.0
	for ; now < 1; now += 0.001 {
		for _, decision := range limiter.Due(now) {
			if decision.Do == Ask {
				asked++
				continue
			}
			closed++
			limiter.Leave(decision.Slot)
		}
	}
	if asked != connections-1 || closed != connections-1 || limiter.State(1) != Busy {
		t.Fatalf("%d asked, %d closed, the active one is %v", asked, closed, limiter.State(1))
	}
	limiter.Tell(1, Settled, now)
	if got := limiter.Due(now); len(got) != 0 || limiter.State(1) != Parting {
		t.Errorf("after its request it is asked again: %v", got)
	}
	if got := limiter.Due(now + 0.2); !slices.Equal(got, []Verdict{{1, Close, Parting}}) {
		t.Errorf("it does not close: %v", got)
	}
}

func TestHandleEvent_UnreadDataTakesCloseBack(t *testing.T) {
	limiter := New(1)
	limiter.Open(0, 0)
	limiter.Tell(0, Spoke, 0)
	if got := limiter.Due(1); !slices.Equal(got, []Verdict{{0, Ask, Known}}) {
		t.Fatal(got)
	}
	if got := limiter.Due(1.5); !slices.Equal(got, []Verdict{{0, Close, Parting}}) {
		t.Fatal(got)
	}
	limiter.Tell(0, Woke, 1.5)
	limiter.Tell(0, Owed, 1.5)
	if len(limiter.Due(100)) != 0 || limiter.State(0) != Busy {
		t.Error("closed while a request is open")
	}
	limiter.Tell(0, Settled, 100)
	if limiter.State(0) != Parting || limiter.Next() != 100.5 {
		t.Errorf("%v, next wakeup %v", limiter.State(0), limiter.Next())
	}
}

// BenchmarkHandleEvent measures what a message on one of so many connections costs, with a look at
// the decisions now and then.
func BenchmarkHandleEvent(b *testing.B) {
	for _, connections := range []int32{100, 10_000, 1_000_000} {
		b.Run(fmt.Sprint(connections), func(b *testing.B) {
			limiter := New(1e9)
			for slot := range connections {
				limiter.Open(slot, 0)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := 1 + float64(i)*1e-9
				limiter.Tell(int32(int64(i)*7919%int64(connections)), Spoke, now)
				if i%64 == 0 {
					limiter.Due(0)
				}
			}
		})
	}
}
