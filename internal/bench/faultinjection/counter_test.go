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

// requestCounts is what clients sent and got answered, of the servers named, of all if none is.
func (l *Load) requestCounts(names ...string) (t serving.RequestCounts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, ends := range l.outcomes {
		if len(names) > 0 && !slices.Contains(names, name) {
			continue
		}
		t = t.Add(serving.RequestCounts{Received: uint64(l.sent[name]),
			Finished: uint64(ends[rpc.ResponseFinished]), Rejected: uint64(ends[rpc.ResponseRejected]),
			Abandoned: uint64(ends[rpc.ResponseFailed])})
	}
	return t
}

// countedRequests is what a voter counted for all servers, and its number of open rows.
func (f *Fleet) countedRequests(name string) (t serving.RequestCounts, rows int) {
	s, err := fleet.FetchCounters(f.controlAddrs[name])
	if err != nil || s.Totals == nil {
		return t, -1
	}
	for _, n := range s.Totals.Total {
		if n.Tenant == "acme" && n.Class == PingClass {
			t = t.Add(n.RequestCounts)
		}
	}
	return t, s.Totals.OpenRows
}

// counterRate is the requests a second at each server of the test below.
const counterRate = 40

// counterFleet is a fleet under load whose counters are compared with what the clients saw.
type counterFleet struct {
	*Fleet
	load *Load
	// unreported is what killed servers may not have reported: what the serving loop and its row
	// hold back, and some for a busy machine.
	unreported uint64
	lastState  string
}

// settle stops the load and waits until all voters know what the clients saw.
func (c *counterFleet) settle(t *testing.T, phase string) {
	t.Helper()
	c.load.SetRate(0, c.Names...)
	c.await(t, phase+": all voters know what clients saw", func() bool {
		truth := c.load.requestCounts()
		missing := serving.RequestCounts{
			Received:  c.unreported,
			Finished:  c.unreported,
			Rejected:  c.unreported,
			Abandoned: c.unreported,
		}
		for _, name := range []string{"n1", "n2", "n3"} {
			got, rows := c.countedRequests(name)
			if rows != len(c.Names) || !truth.Covers(got) || !got.Add(missing).Covers(truth) {
				c.lastState = fmt.Sprintf("%s knows %+v of %d incarnations, clients %+v", name, got, rows, truth)
				return false
			}
		}
		return true
	})
}

// ask loads all servers until at least that many more requests are finished.
func (c *counterFleet) ask(t *testing.T, least uint64) {
	t.Helper()
	from := c.load.requestCounts().Finished
	c.load.SetRate(counterRate, c.Names...)
	c.await(t, fmt.Sprint(least, " requests are finished"), func() bool {
		return c.load.requestCounts().Finished >= from+least
	})
}

// partitionAndPause cuts off n4, with one way open, and pauses n5 for longer than a row has to be
// quiet to be closed. Nothing is lost, so nothing may be missing.
func (c *counterFleet) partitionAndPause(t *testing.T) {
	t.Helper()
	c.Net.Partition([]string{"n1", "n2", "n3", "n5"}, []string{"n4"})
	c.ask(t, 20)
	c.load.SetRate(0, "n5") // what it would find when it resumes is too old to be a request
	c.await(t, "all that n5 received is answered", func() bool {
		counts := c.load.requestCounts("n5") // the others are loaded on: of all some are always open
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

// TestCounters_AgreeWithClientsThroughFaults: five processes count their requests; servers are cut
// off, paused and killed, the leader among them. Whatever clients saw is counted once, by every
// voter; of a killed server all but what it had not reported.
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
	c.ask(t, 300)
	c.settle(t, "well")

	c.partitionAndPause(t)
	c.settle(t, "cut and paused")

	leader := c.leader(t)
	c.ask(t, 200)
	c.kill(t, "n5", leader)
	c.ask(t, 200)
	c.settle(t, "killed")

	before, _ := c.countedRequests("n1")
	time.Sleep(2 * time.Second)
	if after, rows := c.countedRequests("n1"); after != before || rows != len(c.Names) {
		t.Errorf("at rest it counts on: %+v, then %+v of %d", before, after, rows)
	}
}
