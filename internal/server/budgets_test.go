package server

import (
	"testing"
	"time"

	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/wire/rpc"
)

// TestQuota_BindsByLoopClock: nobody tells the loop when a part is over, and it says by which word
// it goes.
func TestQuota_BindsByLoopClock(t *testing.T) {
	told := make(chan QuotaUsage, 256)
	f := startServerWith(t, nil, nil, func(f *fixture) {
		s := f.server
		s.EnableQuota(func(list []QuotaUsage) {
			for _, u := range list {
				select {
				case told <- u:
				default:
				}
			}
		})
		s.SetAllowances([]serving.Allowance{{Name: "calls", Tenant: -1, Guaranteed: 1, GrantNumber: 3},
			{Name: "acme", FleetMax: 1000, Tenant: 0, LeasedShare: 1000, LeaseExpiry: s.Now() + 1, BurstSeconds: 0.5, GrantNumber: 7}})
	})
	says := func(what string, ok func(QuotaUsage) bool) {
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
	says("by which word it goes", func(u QuotaUsage) bool { return u.Name == "acme" && u.Answer == 7 })
	client := f.dialClient()
	client.send("%s%s", requestFrame(1, "a1", "x"), requestFrame(2, "a2", "x"))
	f.executor.expectCommand("begin", "a1")
	f.executor.expectCommand("begin", "a2")
	f.executor.sendCall(1, "a1", "c")
	below := acceptConn(t, f.upstreamListener)
	below.expect("FETCH a1 ")
	f.executor.sendCall(2, "a2", "c")
	says("that one call is out and another waits", func(u QuotaUsage) bool { return u.Name == "calls" && u.Open == 1 && u.Demand == 2 && u.Answer == 3 })
	f.server.SetAllowances([]serving.Allowance{{Name: "calls", Tenant: -1, Guaranteed: 1, LeasedShare: 1, LeaseExpiry: f.server.Now() + 60, GrantNumber: 4},
		{Name: "acme", FleetMax: 1000, Tenant: 0, GrantNumber: 8}}) // its part is over, and it has no floor
	acceptConn(t, f.upstreamListener).expect("FETCH a2 ")
	client.send("%s", requestFrame(3, "a3", "x"))
	if a := client.readAnswer(); a.Number != 3 || a.End != rpc.Rejected {
		t.Errorf("with nothing allowed task %d ends as %v", a.Number, a.End)
	}
	says("what was asked for", func(u QuotaUsage) bool { return u.Name == "acme" && u.Demand > 0 && u.Answer == 8 })
	f.server.SetAllowances(nil)    // the budgets are no more
	for n := byte(4); n < 9; n++ { // the first may be read in the same instant, in which nothing is saved up yet
		client.send("%s", requestFrame(n, "b"+string(rune('a'+n)), "x"))
		time.Sleep(20 * time.Millisecond)
	}
	if m := f.executor.readCommand(false); m["msg"] != "begin" {
		t.Errorf("without budgets: %v", m)
	}
}

// TestQuota_LeasedShareExpiresWithoutNotice: the loop's own clock ends it.
func TestQuota_LeasedShareExpiresWithoutNotice(t *testing.T) {
	f := startServerWith(t, nil, nil, func(f *fixture) {
		s := f.server
		s.EnableQuota(func([]QuotaUsage) {})
		s.SetAllowances([]serving.Allowance{{Name: "acme", Tenant: 0, LeasedShare: 1e6, LeaseExpiry: s.Now() + 0.5, BurstSeconds: 0.5}})
	})
	time.Sleep(600 * time.Millisecond) // past its end
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	if a := client.readAnswer(); a.Number != 1 || a.End != rpc.Rejected {
		t.Errorf("a task after the end of the part ends as %v", a.End)
	}
}
