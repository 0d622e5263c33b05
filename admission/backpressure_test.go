package admission

import (
	"fmt"
	"testing"
)

// Requests that stay unread for too long lower the wanted fraction of traffic, and their clients
// are asked not to try another server. If no request ends in time any more, the server is
// reported unhealthy; under plain overload, where some do, it must stay healthy.
func TestLoadReport_UnreadBacklogLowersWantedFraction(t *testing.T) {
	for name, someInTime := range map[string]bool{"none ends in time": false, "some end in time": true} {
		t.Run(name, func(t *testing.T) {
			m := newLearnedModel(t, Settings{Backpressure: BackpressureWeight, MaxRetryAfter: 1})
			for i := range 60 {
				id := fmt.Sprint("late", i, "-")
				m.arriveMany(t, id, 1, Request{Memory: 1, Age: 1.9, RemainingBudget: 0.2})
				m.advance(t, m.now+0.05)
				if someInTime && i%4 == 3 {
					m.runToEnd(t, fmt.Sprint("in time", i), 0.25, Finished)
				}
			}
			c := m.controller
			lastRejection := m.rejectedOrFailed["late59-0"]
			if c.load.wantedFraction > 0.3 || !lastRejection.NoFailover || c.progress.stalled == someInTime {
				t.Fatalf("wanted fraction %.2f, want at most 0.3; %+v, want NoFailover; stalled %t, want %t",
					c.load.wantedFraction, lastRejection, c.progress.stalled, !someInTime)
			}
			m.advance(t, m.now+0.8)
			if c.progress.stalled { // without arrivals there is no unread backlog
				t.Fatal("still unhealthy 0.8 s after the last arrival, want healthy")
			}
		})
	}
}

// The wanted fraction must fall by the fraction of requests that is wasted: one rejection among
// 40 requests must not lower it as much as one among two. In the case "one of 0", the wasted
// requests arrived before the tick at which they are counted.
func TestLoadReport_DecreaseFollowsWastedFraction(t *testing.T) {
	for arrived, want := range map[float64][2]float64{40: {0.5, 0.7}, 2: {0.2, 0.3}, 0: {0.2, 0.3}} {
		t.Run(fmt.Sprint("one of ", arrived), func(t *testing.T) {
			c := newLearnedModel(t, Settings{Backpressure: BackpressureWeight}).controller
			for range 20 {
				c.load.arrivedRequests = arrived
				c.load.wastedRequests = 1
				c.tuneLoadReport()
			}
			if c.load.wantedFraction < want[0] || c.load.wantedFraction > want[1] {
				t.Errorf("wanted fraction %.2f after 20 ticks, want %.1f to %.1f",
					c.load.wantedFraction, want[0], want[1])
			}
		})
	}
}
