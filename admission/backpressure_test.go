package admission

import (
	"fmt"
	"testing"
)

// Requests read too late lower the part of traffic that is wanted and are asked not to try
// elsewhere; where none is finished in time any more the server is reported unhealthy, but not
// while some are, as under plain overload.
func TestLoadReport_UnreadBacklogKeepsTrafficAway(t *testing.T) {
	for name, someInTime := range map[string]bool{"none ends in time": false, "some end in time": true} {
		t.Run(name, func(t *testing.T) {
			m := newLearnedModel(t, Settings{Backpressure: BackpressureWeight, MaxRetryAfter: 1})
			for i := range 60 {
				id := fmt.Sprint("late", i, "-")
				m.arriveMany(t, id, 1, Request{Memory: 1, Age: 1.9, RemainingBudget: 0.2})
				m.advance(t, m.now+0.05)
				if someInTime && i%4 == 3 {
					m.run(t, fmt.Sprint("in time", i), 0.25, Finished)
				}
			}
			c := m.controller
			last := m.rejected["late59-0"]
			if c.load.wanted > 0.3 || !last.NoFailover || c.progress.stalled == someInTime {
				t.Fatalf("share wanted %.2f, last response %+v, stalled: %v", c.load.wanted, last, c.progress.stalled)
			}
			m.advance(t, m.now+0.8)
			if c.progress.stalled { // out of service nothing comes, so nothing waits unread
				t.Fatal("still reported unhealthy after 0.8 s without a request")
			}
		})
	}
}

// One request in forty rejected lowers the part that is wanted by as much, not as if hardly any had
// been finished.
func TestLoadReport_FewWastedOfManyLowerItLittle(t *testing.T) {
	for arrived, want := range map[float64][2]float64{40: {0.5, 0.7}, 2: {0.2, 0.3}, 0: {0.2, 0.3}} {
		t.Run(fmt.Sprint("one of ", arrived), func(t *testing.T) {
			c := newLearnedModel(t, Settings{Backpressure: BackpressureWeight}).controller
			for range 20 {
				c.load.arrived = arrived
				c.load.wasted = 1
				c.tuneLoadReport()
			}
			if c.load.wanted < want[0] || c.load.wanted > want[1] {
				t.Errorf("share wanted %.2f", c.load.wanted)
			}
		})
	}
}
