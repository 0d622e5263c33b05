package serve

import (
	"testing"
	"time"

	"swiftcourse/internal/judge/stance"
	"swiftcourse/internal/wire/rpc"
)

// TestPartsOfBudgetsBindByTheLoopsOwnClock: nobody tells the loop when a part is over, and it says by which word it goes.
func TestPartsOfBudgetsBindByTheLoopsOwnClock(t *testing.T) {
	told := make(chan Used, 256)
	w := buildWith(t, nil, nil, func(s *Server) {
		s.Budget(func(list []Used) {
			for _, u := range list {
				select {
				case told <- u:
				default:
				}
			}
		})
		s.Allow([]stance.Allowance{{Name: "calls", Tenant: -1, Guaranteed: 1, GrantNumber: 3},
			{Name: "acme", FleetMax: 1000, Tenant: 0, LeasedShare: 1000, LeaseExpiry: s.Now() + 1, BurstSeconds: 0.5, GrantNumber: 7}})
	})
	says := func(what string, ok func(Used) bool) {
		t.Helper()
		for late := time.After(10 * time.Second); ; {
			select {
			case u := <-told:
				if ok(u) {
					return
				}
			case <-late:
				t.Fatalf("the loop does not say %s", what)
			}
		}
	}
	says("by which word it goes", func(u Used) bool { return u.Name == "acme" && u.Answer == 7 })
	b := w.balancer()
	b.send("%s%s", frame(1, "a1", "x"), frame(2, "a2", "x"))
	w.processor.wants("begin", "a1")
	w.processor.wants("begin", "a2")
	w.processor.ask(1, "a1", "c")
	below := accept(t, w.catalogues)
	below.expect("FETCH a1 ")
	w.processor.ask(2, "a2", "c")
	says("that one call is out and another waits", func(u Used) bool { return u.Name == "calls" && u.Open == 1 && u.Demand == 2 && u.Answer == 3 })
	w.server.Allow([]stance.Allowance{{Name: "calls", Tenant: -1, Guaranteed: 1, LeasedShare: 1, LeaseExpiry: w.server.Now() + 60, GrantNumber: 4},
		{Name: "acme", FleetMax: 1000, Tenant: 0, GrantNumber: 8}}) // its part is over, and it has no floor
	accept(t, w.catalogues).expect("FETCH a2 ")
	b.send("%s", frame(3, "a3", "x"))
	if a := b.next(); a.Number != 3 || a.End != rpc.Rejected {
		t.Errorf("with nothing allowed task %d ends as %v", a.Number, a.End)
	}
	says("what was asked for", func(u Used) bool { return u.Name == "acme" && u.Demand > 0 && u.Answer == 8 })
	w.server.Allow(nil)            // the budgets are no more
	for n := byte(4); n < 9; n++ { // the first may be read in the same instant, in which nothing is saved up yet
		b.send("%s", frame(n, "b"+string(rune('a'+n)), "x"))
		time.Sleep(20 * time.Millisecond)
	}
	if m := w.processor.command(false); m["msg"] != "begin" {
		t.Errorf("without budgets: %v", m)
	}
}

// TestAPartThatIsOverIsOverWithoutAWord: the loop's own clock ends it.
func TestAPartThatIsOverIsOverWithoutAWord(t *testing.T) {
	w := buildWith(t, nil, nil, func(s *Server) {
		s.Budget(func([]Used) {})
		s.Allow([]stance.Allowance{{Name: "acme", Tenant: 0, LeasedShare: 1e6, LeaseExpiry: s.Now() + 0.5, BurstSeconds: 0.5}})
	})
	time.Sleep(600 * time.Millisecond) // past its end
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	if a := b.next(); a.Number != 1 || a.End != rpc.Rejected {
		t.Errorf("a task after the end of the part ends as %v", a.End)
	}
}
