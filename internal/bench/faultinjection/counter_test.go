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

// requestCounts returns what clients sent to the named servers, all if none is named, and how it was
// answered.
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

// countedRequests returns what a voter counted for all servers, and its number of open rows; -1 rows if
// that is unknown.
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

// counterRate is the requests a second at each server of the test below.
const counterRate = 40

// counterFleet is a fleet under load whose counters are compared with what the clients saw.
type counterFleet struct {
	*Fleet
	load *Load
	// unreported is what killed servers may not have reported: what the serving loop and
	// its row have not sent yet, and a margin for a busy machine.
	unreported uint64
	lastState  string
}

// settle stops the load and waits until the counters of all voters agree with what the clients saw.
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

// sendLoad loads all servers until at least that many more requests are finished.
func (c *counterFleet) sendLoad(t *testing.T, least uint64) {
	t.Helper()
	from := c.load.requestCounts().Finished
	c.load.SetRate(counterRate, c.Names...)
	c.await(t, fmt.Sprint(least, " requests are finished"), func() bool {
		return c.load.requestCounts().Finished >= from+least
	})
}

// partitionAndPause partitions n4, and pauses n5 for longer than the time after which an idle row is
// closed. No process dies, so no count may be missing.
func (c *counterFleet) partitionAndPause(t *testing.T) {
	t.Helper()
	c.Net.Partition([]string{"n1", "n2", "n3", "n5"}, []string{"n4"})
	c.sendLoad(t, 20)
	c.load.SetRate(0, "n5") // a request that waited during the pause would be past its timeout
	c.await(t, "all that n5 received is answered", func() bool {
		counts := c.load.requestCounts("n5") // of n5 alone: the others are still loaded and have requests in flight
		return counts.Received == counts.Finished+counts.Rejected+counts.Abandoned
	})
	if err := c.Pause("n5"); err != nil {
		t.Fatal(err)
	}
	c.load.SetRate(counterRate, "n1", "n2", "n3", "n4")
	c.await(t, "the others have served for a while", func() bool {
		return c.load.Rate("n1", 12*time.Second) > 0.8*counterRate
	})
	if err := c.Resume("n5"); err != nil {
		t.Fatal(err)
	}
	c.Net.Heal()
}

// kill restarts servers under load.
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

// TestCounters_AgreeWithClientsThroughFaults: servers are partitioned, paused and killed, the leader
// among them. Every voter counts each request that clients saw once, except those that a killed server
// had not reported.
func TestCounters_AgreeWithClientsThroughFaults(t *testing.T) {
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
		t.Errorf("without load the counts change: %+v, then %+v in %d open rows", before, after, rows)
	}
}
