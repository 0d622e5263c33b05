package server

import (
	"testing"
	"time"

	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/wire/rpc"
)

// usageReports collects what the loop reports of its quotas.
type usageReports chan QuotaUsage

func (r usageReports) add(list []QuotaUsage) {
	for _, usage := range list {
		select {
		case r <- usage:
		default:
		}
	}
}

// await waits for a report that matches.
func (r usageReports) await(t *testing.T, what string, matches func(QuotaUsage) bool) {
	t.Helper()
	for late := time.After(10 * time.Second); ; {
		select {
		case usage := <-r:
			if matches(usage) {
				return
			}
		case <-late:
			t.Fatalf("the loop does not report %s", what)
		}
	}
}

// Nobody tells the loop when a leased share expires, and it reports by which grant it goes.
func TestQuota_BindsByLoopClock(t *testing.T) {
	reports := make(usageReports, 256)
	f := startServerWith(t, nil, nil, func(f *fixture) {
		f.server.EnableQuota(reports.add)
		f.server.SetAllowances([]serving.Allowance{
			{Name: "calls", Tenant: -1, Guaranteed: 1, GrantNumber: 3},
			{
				Name:         "acme",
				FleetMax:     1000,
				Tenant:       0,
				LeasedShare:  1000,
				LeaseExpiry:  f.server.Now() + 1,
				BurstSeconds: 0.5,
				GrantNumber:  7,
			},
		})
	})
	reports.await(t, "by which grant it goes", func(u QuotaUsage) bool {
		return u.Name == "acme" && u.GrantNumber == 7
	})
	client := f.dialClient()
	client.send("%s%s", requestFrame(1, "a1", "x"), requestFrame(2, "a2", "x"))
	f.executor.expectCommand("begin", "a1")
	f.executor.expectCommand("begin", "a2")
	f.executor.sendCall(1, "a1", "c")
	acceptConn(t, f.upstreamListener).expect("FETCH a1 ")
	f.executor.sendCall(2, "a2", "c")
	reports.await(t, "that one call is out and another waits", func(u QuotaUsage) bool {
		return u.Name == "calls" && u.InFlight == 1 && u.Demand == 2 && u.GrantNumber == 3
	})
	expiry := f.server.Now() + 60
	f.server.SetAllowances([]serving.Allowance{
		{Name: "calls", Tenant: -1, Guaranteed: 1, LeasedShare: 1, LeaseExpiry: expiry, GrantNumber: 4},
		{Name: "acme", FleetMax: 1000, Tenant: 0, GrantNumber: 8}, // its lease expired, and nothing is guaranteed
	})
	acceptConn(t, f.upstreamListener).expect("FETCH a2 ")
	client.send("%s", requestFrame(3, "a3", "x"))
	if answer := client.readAnswer(); answer.Number != 3 || answer.Kind != rpc.ResponseRejected {
		t.Errorf("with nothing allowed request %d ends as %v", answer.Number, answer.Kind)
	}
	reports.await(t, "what was asked for", func(u QuotaUsage) bool {
		return u.Name == "acme" && u.Demand > 0 && u.GrantNumber == 8
	})
	f.server.SetAllowances(nil) // the quotas are no more
	for n := byte(4); n < 9; n++ {
		// The first may be read in the same instant, in which nothing is saved up yet.
		client.send("%s", requestFrame(n, "b"+string(rune('a'+n)), "x"))
		time.Sleep(20 * time.Millisecond)
	}
	if command := f.executor.readCommand(false); command["msg"] != "begin" {
		t.Errorf("without quotas: %v", command)
	}
}

// The loop's own clock ends a leased share.
func TestQuota_LeasedShareExpiresWithoutNotice(t *testing.T) {
	f := startServerWith(t, nil, nil, func(f *fixture) {
		s := f.server
		s.EnableQuota(func([]QuotaUsage) {})
		expiry := s.Now() + 0.5
		s.SetAllowances([]serving.Allowance{
			{Name: "acme", Tenant: 0, LeasedShare: 1e6, LeaseExpiry: expiry, BurstSeconds: 0.5},
		})
	})
	time.Sleep(600 * time.Millisecond) // past its end
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	if answer := client.readAnswer(); answer.Number != 1 || answer.Kind != rpc.ResponseRejected {
		t.Errorf("a request after the end of the lease ends as %v", answer.Kind)
	}
}
