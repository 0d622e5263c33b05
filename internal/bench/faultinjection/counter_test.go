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

// requestCounts is what callers asked for and were told, of the servers named, of all where none is.
func (d *Load) requestCounts(names ...string) (t serving.RequestCounts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, ends := range d.outcomes {
		if len(names) > 0 && !slices.Contains(names, name) {
			continue
		}
		t = t.Add(serving.RequestCounts{Received: uint64(d.sent[name]), Finished: uint64(ends[rpc.ResponseFinished]), Rejected: uint64(ends[rpc.ResponseRejected]), Abandoned: uint64(ends[rpc.ResponseFailed])})
	}
	return t
}

// countedRequests is what a voter knows that all were asked for, and by how many lives that are not closed.
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

// TestCounters_AgreeWithClientsThroughFaults: five processes count what they are asked for; servers are cut off, stopped, killed, and taken for another life, the leader
// among them. Whatever callers saw is counted once, by every voter; of a killed server all but what it had not told.
func TestCounters_AgreeWithClientsThroughFaults(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 41, ExtraSettings: "fleet-counts on\n", Tenants: []simulator.Tenant{{Name: "acme", RatePerS: 1000}}})
	ctx, stop := context.WithCancel(context.Background())
	d := f.StartLoad(ctx, "acme")
	defer d.Wait()
	defer stop()
	const rate = 40
	var untold uint64 // that a killed server may not have told: what its loop and its row hold back, and some for a busy machine
	last := ""
	t.Cleanup(func() { t.Log(last) })
	settle := func(what string) {
		t.Helper()
		d.SetRate(0, f.Names...)
		f.await(t, what+": all voters know what callers saw", func() bool {
			truth := d.requestCounts()
			for _, name := range []string{"n1", "n2", "n3"} {
				got, rows := f.countedRequests(name)
				if rows != len(f.Names) || !truth.Covers(got) || !got.Add(serving.RequestCounts{Received: untold, Finished: untold, Rejected: untold, Abandoned: untold}).Covers(truth) {
					last = fmt.Sprintf("%s knows %+v of %d lives, callers %+v", name, got, rows, truth)
					return false
				}
			}
			return true
		})
	}
	ask := func(least uint64) {
		t.Helper()
		from := d.requestCounts().Finished
		d.SetRate(rate, f.Names...)
		f.await(t, fmt.Sprint(least, " tasks are finished"), func() bool { return d.requestCounts().Finished >= from+least })
	}
	ask(300)
	settle("well")
	d.SetRate(0, f.Names...)

	// Cut off, with one way open, and stopped for longer than a row has to be quiet to be closed. Nothing is lost, so nothing may be missing.
	f.Net.Partition([]string{"n1", "n2", "n3", "n5"}, []string{"n4"})
	ask(20)
	d.SetRate(0, "n5") // what it would find when it wakes is too old to be a task
	f.await(t, "all that n5 was asked for is answered", func() bool {
		t := d.requestCounts("n5") // the others are asked on: of all some are always open
		return t.Received == t.Finished+t.Rejected+t.Abandoned
	})
	if err := f.Pause("n5"); err != nil {
		t.Fatal(err)
	}
	d.SetRate(rate, "n1", "n2", "n3", "n4")
	f.await(t, "the others have served for a while", func() bool { return d.Rate("n1", 12*time.Second) > 0.8*rate })
	if err := f.Resume("n5"); err != nil {
		t.Fatal(err)
	}
	f.Net.Heal()
	settle("cut and stopped")

	// Killed: a server, and the voter that leads.
	leader := f.leader(t)
	ask(200)
	for _, name := range []string{"n5", leader} {
		d.SetRate(0, name)
		untold += 3 * rate
		if err := f.KillAndRestart(context.Background(), name); err != nil {
			t.Fatal(err)
		}
		d.SetRate(rate, name)
	}
	ask(200)
	settle("killed")
	before, _ := f.countedRequests("n1")
	time.Sleep(2 * time.Second)
	if after, rows := f.countedRequests("n1"); after != before || rows != len(f.Names) {
		t.Errorf("at rest it counts on: %+v, then %+v of %d", before, after, rows)
	}
}
