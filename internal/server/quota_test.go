package server

import (
	"testing"
	"time"

	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/wire/rpc"
)

// usageReports collects the quota usage that the loop reports.
type usageReports chan QuotaUsage

func (r usageReports) add(list []QuotaUsage) {
	for _, usage := range list {
		select {
		case r <- usage:
		default:
		}
	}
}

// await waits for a usage that matches; description names it in the failure message.
func (r usageReports) await(t *testing.T, description string, matches func(QuotaUsage) bool) {
	t.Helper()
	for timeout := time.After(10 * time.Second); ; {
		select {
		case usage := <-r:
			if matches(usage) {
				return
			}
		case <-timeout:
			t.Fatalf("the loop did not report %s within 10 s", description)
		}
	}
}

// The loop must apply each list of allowances, and report the usage of each quota with the number of
// the grant that it applies.
func TestQuota_AppliesAllowancesAndReportsUsage(t *testing.T) {
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
	reports.await(t, "grant 7 of acme", func(u QuotaUsage) bool {
		return u.Name == "acme" && u.GrantNumber == 7
	})
	client := f.dialClient()
	client.send("%s%s", requestFrame(1, "a1", "x"), requestFrame(2, "a2", "x"))
	f.executor.expectCommand("begin", "a1")
	f.executor.expectCommand("begin", "a2")
	f.executor.sendCall(1, "a1", "c")
	acceptConn(t, f.upstreamListener).expect("FETCH a1 ")
	f.executor.sendCall(2, "a2", "c")
	reports.await(t, "one call in flight and another waiting", func(u QuotaUsage) bool {
		return u.Name == "calls" && u.InFlight == 1 && u.Demand == 2 && u.GrantNumber == 3
	})
	expiry := f.server.Now() + 60
	f.server.SetAllowances([]serving.Allowance{
		{Name: "calls", Tenant: -1, Guaranteed: 1, LeasedShare: 1, LeaseExpiry: expiry, GrantNumber: 4},
		{Name: "acme", FleetMax: 1000, Tenant: 0, GrantNumber: 8}, // no leased and no guaranteed share
	})
	acceptConn(t, f.upstreamListener).expect("FETCH a2 ")
	client.send("%s", requestFrame(3, "a3", "x"))
	if answer := client.readAnswer(); answer.Number != 3 || answer.Kind != rpc.ResponseRejected {
		t.Errorf("answer to message %d without an allowance is %v, want message 3 rejected",
			answer.Number, answer.Kind)
	}
	reports.await(t, "a demand of acme under grant 8", func(u QuotaUsage) bool {
		return u.Name == "acme" && u.Demand > 0 && u.GrantNumber == 8
	})
	f.server.SetAllowances(nil) // the quotas no longer exist
	for n := byte(4); n < 9; n++ {
		// The first request may be read at the moment of the change, before any allowance has accrued.
		client.send("%s", requestFrame(n, "b"+string(rune('a'+n)), "x"))
		time.Sleep(20 * time.Millisecond)
	}
	if command := f.executor.readCommand(false); command["msg"] != "begin" {
		t.Errorf("command %v after the quotas were removed, want begin", command)
	}
}

// A leased share must end by the loop's clock, without any call from outside.
func TestQuota_LeasedShareExpiresWithoutNotice(t *testing.T) {
	f := startServerWith(t, nil, nil, func(f *fixture) {
		s := f.server
		s.EnableQuota(func([]QuotaUsage) {})
		expiry := s.Now() + 0.5
		s.SetAllowances([]serving.Allowance{
			{Name: "acme", Tenant: 0, LeasedShare: 1e6, LeaseExpiry: expiry, BurstSeconds: 0.5},
		})
	})
	time.Sleep(600 * time.Millisecond) // until after the expiry
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	if answer := client.readAnswer(); answer.Number != 1 || answer.Kind != rpc.ResponseRejected {
		t.Errorf("answer to message %d after the lease expired is %v, want message 1 rejected",
			answer.Number, answer.Kind)
	}
}
