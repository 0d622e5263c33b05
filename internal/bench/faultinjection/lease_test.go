package faultinjection

import (
	"context"
	"fmt"
	"testing"
	"time"

	"swiftcourse/internal/wire/rpc"
)

func TestLease_ClockSkewAndDuplicateProcess(t *testing.T) {
	f := startFleet(t, Config{Servers: 4, Seed: 6, ClockByName: map[string]string{"n1": "3600,1",
		"n2": "-3600,1.01", "n3": "0,0.99"}})
	epoch := f.release(t, "n2", "door-come-back 300ms\n")
	f.await(t, "all servers apply the release", func() bool { return f.AllActiveOn(epoch, f.Names...) })
	time.Sleep(3 * time.Second) // longer than a lease
	for _, name := range f.Names {
		for _, s := range f.Events(name, EventLeaseStateChanged) {
			if s.Fields["state"] != "acting" {
				t.Errorf("lease state of %s is %s (%s), want acting only", name, s.Fields["state"], s.Fields["reason"])
			}
		}
	}
	duplicate, err := f.StartDuplicate(context.Background(), "n4")
	if err != nil {
		t.Fatal(err)
	}
	defer duplicate.Kill()
	f.await(t, "the duplicate process logs that its name is taken", f.hasLogged("n4", EventLeaseStateChanged,
		"state", "taken"))
	if s, err := f.Status("n4"); err != nil || s.LeaseState != "acting" {
		t.Errorf("status of the original process %+v, error %v, want lease state acting", s, err)
	}
}

// A server is paused for longer than its lease while a release is rolled out and requests are sent
// to it. It resumes partitioned, so that it can't renew the lease. It must notice that the lease has
// expired before it handles the requests, and reject all of them instead of running them on the old
// version.
func TestLease_PausedServerResumesAfterExpiry(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 9, ExtraSettings: "fleet-silent leave\nfleet-most-out 100%\n"})
	f.await(t, "n5 may go out of service", func() bool {
		s, err := f.Status("n5")
		return err == nil && s.MayGoOutOfService
	})
	c, answers := f.dialBalancer(t, "n5")
	if err := f.Pause("n5"); err != nil {
		t.Fatal(err)
	}
	epoch := f.release(t, "n1", "door-come-back 300ms\n")
	f.await(t, "the others apply the release", func() bool { return f.AllActiveOn(epoch, "n1", "n2", "n3", "n4") })
	time.Sleep(3 * time.Second) // longer than a lease
	const requests = 8
	for i := range requests {
		message := newPing(c.NextNumber(), time.Now())
		message.ID = fmt.Sprintf("%016x", i+1)
		message.Timeout = 1.5
		if err := c.SendRequest(message); err != nil {
			t.Fatal(err)
		}
	}
	f.Net.Partition([]string{"n1", "n2", "n3", "n4"}, []string{"n5"})
	if err := f.Resume("n5"); err != nil {
		t.Fatal(err)
	}
	rejected := 0
	for range requests {
		select {
		case a := <-answers:
			if a.Kind == rpc.ResponseRejected {
				rejected++
			}
		case <-time.After(awaitTimeout):
			t.Fatalf("request without an answer after %s", awaitTimeout)
		}
	}
	if rejected != requests {
		t.Errorf("n5 resumed after its lease and admitted %d of %d requests, want none", requests-rejected, requests)
	}
	f.await(t, "n5 logs that it was out of service",
		f.hasLogged("n5", EventServingModeChanged, "mode", "out_of_service"))
	f.Net.Heal()
	f.await(t, "n5 catches up and serves", func() bool {
		return f.ActiveEpoch("n5") >= epoch && f.LastEvent("n5", EventServingModeChanged).Fields["mode"] == "normal"
	})
}
