package faultinjection

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/wire/rpc"
	"swiftcourse/internal/wire/simulator"
)

// requestCounts returns the requests that clients sent to the named servers, or to all if no name
// is given, by outcome.
func (l *Load) requestCounts(names ...string) (total serving.RequestCounts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, outcomes := range l.outcomes {
		if len(names) > 0 && !slices.Contains(names, name) {
			continue
		}
		total = total.Add(serving.RequestCounts{Received: uint64(l.sent[name]),
			Finished: uint64(outcomes[rpc.ResponseFinished]), Rejected: uint64(outcomes[rpc.ResponseRejected]),
			Abandoned: uint64(outcomes[rpc.ResponseFailed])})
	}
	return total
}

// countedRequests returns a voter's totals over all servers and its number of open rows, -1 if they
// are unavailable.
func (f *Fleet) countedRequests(name string) (total serving.RequestCounts, rows int) {
	counters, err := fleet.FetchCounters(f.controlAddrs[name])
	if err != nil || counters.Totals == nil {
		return total, -1
	}
	for _, row := range counters.Totals.Total {
		if row.Tenant == "acme" && row.Class == PingClass {
			total = total.Add(row.RequestCounts)
		}
	}
	return total, counters.Totals.OpenRows
}

// counterRate is the load of each server in requests per second.
const counterRate = 40

// counterFleet is a fleet under load whose counters are compared with the clients' counts.
type counterFleet struct {
	*Fleet
	load *Load
	// unreported is the maximum number of requests that killed servers may have counted but not yet
	// sent from their serving loop and their row, with a margin for a busy machine.
	unreported uint64
	lastState  string // describes the latest difference, for the test log
}

// settle stops the load and waits until the counters of all voters agree with the clients' counts.
func (c *counterFleet) settle(t *testing.T, phase string) {
	t.Helper()
	c.load.SetRate(0, c.Names...)
	c.await(t, phase+": the counters of all voters agree with the clients", func() bool {
		expected := c.load.requestCounts()
		missing := serving.RequestCounts{
			Received:  c.unreported,
			Finished:  c.unreported,
			Rejected:  c.unreported,
			Abandoned: c.unreported,
		}
		for _, name := range []string{"n1", "n2", "n3"} {
			got, rows := c.countedRequests(name)
			if rows != len(c.Names) || !expected.Covers(got) || !got.Add(missing).Covers(expected) {
				c.lastState = fmt.Sprintf("%s counted %+v in %d open rows, clients %+v", name, got, rows, expected)
				return false
			}
		}
		return true
	})
}

// sendLoad loads all servers until at least count more requests are finished. The load continues
// after that.
func (c *counterFleet) sendLoad(t *testing.T, count uint64) {
	t.Helper()
	from := c.load.requestCounts().Finished
	c.load.SetRate(counterRate, c.Names...)
	c.await(t, fmt.Sprint(count, " more requests are finished"), func() bool {
		return c.load.requestCounts().Finished >= from+count
	})
}

// partitionAndPause partitions n4, and pauses n5 for longer than the time after which an idle row
// is closed. No process ends, so no request may be missing from the counters.
func (c *counterFleet) partitionAndPause(t *testing.T) {
	t.Helper()
	c.Net.Partition([]string{"n1", "n2", "n3", "n5"}, []string{"n4"})
	c.sendLoad(t, 20)
	c.load.SetRate(0, "n5") // requests received before the pause would time out during it
	c.await(t, "n5 has answered all its requests", func() bool {
		counts := c.load.requestCounts("n5") // the other servers are still loaded
		return counts.Received == counts.Finished+counts.Rejected+counts.Abandoned
	})
	if err := c.Pause("n5"); err != nil {
		t.Fatal(err)
	}
	c.load.SetRate(counterRate, "n1", "n2", "n3", "n4")
	c.await(t, "n1 has served for 12 s", func() bool {
		return c.load.Rate("n1", 12*time.Second) > 0.8*counterRate
	})
	if err := c.Resume("n5"); err != nil {
		t.Fatal(err)
	}
	c.Net.Heal()
}

// kill kills and restarts servers under load.
func (c *counterFleet) kill(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		c.load.SetRate(0, name)
		c.unreported += 3 * counterRate
		if err := c.KillAndRestart(context.Background(), name); err != nil {
			t.Fatal(err)
		}
		c.load.SetRate(counterRate, name)
	}
}

// Servers, the leader among them, are partitioned, paused and killed. Every voter must count each
// request of the clients exactly once, except those that a killed server had not reported.
func TestCounters_AgreeWithClientsUnderFaults(t *testing.T) {
	f := startFleet(t, Config{
		Servers:       5,
		Seed:          41,
		ExtraSettings: "fleet-counts on\n",
		Tenants:       []simulator.Tenant{{Name: "acme", RatePerS: 1000}},
	})
	ctx, stop := context.WithCancel(context.Background())
	c := &counterFleet{Fleet: f, load: f.StartLoad(ctx, "acme")}
	defer c.load.Wait()
	defer stop()
	t.Cleanup(func() { t.Log(c.lastState) })
	c.sendLoad(t, 300)
	c.settle(t, "without faults")

	c.partitionAndPause(t)
	c.settle(t, "partitioned and paused")

	leader := c.leader(t)
	c.sendLoad(t, 200)
	c.kill(t, "n5", leader)
	c.sendLoad(t, 200)
	c.settle(t, "killed")

	before, _ := c.countedRequests("n1")
	time.Sleep(2 * time.Second)
	if after, rows := c.countedRequests("n1"); after != before || rows != len(c.Names) {
		t.Errorf("counts without load: %+v, 2 s later %+v in %d open rows, want no change and %d rows",
			before, after, rows, len(c.Names))
	}
}
