package faultinjection

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/fake/upstream"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/wire/catalogue"
	"swiftcourse/internal/wire/simulator"
)

// Settings of the quota tests: a quota of 60 requests a second of one tenant over five servers, of which
// each has a floor of 1.2. quotaSlack is the allowed excess: half a second of the quota and one request
// for each server. burstTolerance allows for answers that arrive together on a busy machine although they
// were admitted earlier.
const (
	quotaRate      = 60.0
	quotaSettings  = "budget tenant/acme=60\nbudget-servers 5\n"
	quotaFloor     = 0.1 * quotaRate / 5
	quotaSlack     = quotaRate/2 + 5
	burstTolerance = quotaRate
)

func startQuotaFleet(t *testing.T, seed uint64) (*Fleet, *Load) {
	t.Helper()
	config := Config{Servers: 5, Seed: seed, ExtraSettings: quotaSettings,
		Tenants: []simulator.Tenant{{Name: "acme", RatePerS: 1000}}}
	f := startFleet(t, config)
	ctx, stop := context.WithCancel(context.Background())
	load := f.StartLoad(ctx, "acme")
	t.Cleanup(func() {
		stop()
		load.Wait()
		if over := load.MaxExcess(quotaRate, f.Names...); over > quotaSlack+burstTolerance {
			t.Errorf("%.0f requests over the quota, the slack is %.0f", over, quotaSlack)
		}
		sent, finished, rejected := load.Counts()
		t.Logf("sent %d, finished %d, rejected %d; at most %.1f over the quota", sent, finished, rejected,
			load.MaxExcess(quotaRate, f.Names...))
		if n := len(f.Events("", EventFleetAgentPanic)); n > 0 {
			t.Errorf("%d panics", n)
		}
	})
	return f, load
}

// awaitRate waits until a server finishes at least that many requests a second.
func (f *Fleet) awaitRate(t *testing.T, load *Load, name string, least float64) {
	t.Helper()
	f.await(t, fmt.Sprintf("%s finishes %.1f requests a second", name, least), func() bool {
		return load.Rate(name, 2*time.Second) >= least
	})
}

func TestQuota_FollowsDemand(t *testing.T) {
	f, load := startQuotaFleet(t, 31)
	load.SetRate(300, "n1")
	load.SetRate(1, "n2", "n3", "n4", "n5")
	f.awaitRate(t, load, "n1", 0.8*quotaRate)
	load.SetRate(1, "n1")
	load.SetRate(300, "n4")
	f.awaitRate(t, load, "n4", 0.8*quotaRate)
	s, err := fleet.FetchQuotas(f.controlAddrs[f.leader(t)])
	if err != nil || !s.IsLeader || len(s.Granted) != 1 || s.Granted[0].Leased > s.Granted[0].Pool+1e-9 ||
		s.Granted[0].Leased < 0.5*s.Granted[0].Pool {
		t.Errorf("the quota status is %+v, %v", s, err)
	}
	if r := load.Rate("n4", time.Second) + load.Rate("n1", time.Second); r > 1.5*quotaRate+quotaSlack {
		t.Errorf("n1 and n4 together finish %.0f requests a second", r)
	}
}

// TestQuota_PartitionedServerServesItsFloor: the server with all demand is partitioned; the demand
// moves to another one, and the leader restarts during the partition.
func TestQuota_PartitionedServerServesItsFloor(t *testing.T) {
	f, load := startQuotaFleet(t, 32)
	load.SetRate(300, "n5")
	load.SetRate(2, "n1", "n2", "n3", "n4")
	f.awaitRate(t, load, "n5", 0.8*quotaRate)
	f.Net.Partition([]string{"n1", "n2", "n3", "n4"}, []string{"n5"})
	f.await(t, "n5 serves its floor", func() bool {
		r := load.Rate("n5", 5*time.Second)
		return r > 0 && r <= quotaFloor+1
	})
	load.SetRate(300, "n4")
	f.awaitRate(t, load, "n4", 0.8*quotaRate)
	leader := f.leader(t)
	if err := f.KillAndRestart(context.Background(), leader); err != nil {
		t.Fatal(err)
	}
	f.Net.Heal()
	f.await(t, "n4 and n5 share the quota again", func() bool {
		return load.Rate("n4", 2*time.Second) > 0.3*quotaRate && load.Rate("n5", 2*time.Second) > 0.3*quotaRate
	})
}

// leader returns the leader as n1 knows it.
func (f *Fleet) leader(t *testing.T) string {
	t.Helper()
	return f.leaderOf(t, "n1")
}

// leaderOf waits until a process knows a leader, and returns it.
func (f *Fleet) leaderOf(t *testing.T, observer string) (name string) {
	t.Helper()
	f.await(t, "a leader is known", func() bool {
		s, err := f.Status(observer)
		if err == nil {
			name = s.Leader
		}
		return err == nil && name != ""
	})
	return name
}

// TestQuota_PausedServerLosesItsShareAfterLease: it resumes, partitioned, with the share of a
// lease that has expired.
func TestQuota_PausedServerLosesItsShareAfterLease(t *testing.T) {
	f, load := startQuotaFleet(t, 33)
	load.SetRate(300, "n5")
	f.awaitRate(t, load, "n5", 0.8*quotaRate)
	if err := f.Pause("n5"); err != nil {
		t.Fatal(err)
	}
	load.SetRate(300, "n4")
	f.awaitRate(t, load, "n4", 0.8*quotaRate)
	f.Net.Partition([]string{"n1", "n2", "n3", "n4"}, []string{"n5"})
	resumedAt := time.Now()
	if err := f.Resume("n5"); err != nil {
		t.Fatal(err)
	}
	f.await(t, "n5 has served for a while", func() bool { return time.Since(resumedAt) > 5*time.Second })
	if r := load.RateBetween(resumedAt, time.Now(), "n5"); r > quotaFloor+2 {
		t.Errorf("resumed after its lease, n5 finished %.1f requests a second, its floor is %.1f", r, quotaFloor)
	}
}

// TestQuota_LimitChangesWhileSharesAreLeased: releases lower the limit, set it to zero and
// raise it again.
func TestQuota_LimitChangesWhileSharesAreLeased(t *testing.T) {
	f, load := startQuotaFleet(t, 34)
	load.SetRate(100, f.Names...)
	totalRate := func(lately time.Duration) (sum float64) {
		for _, name := range f.Names {
			sum += load.Rate(name, lately)
		}
		return sum
	}
	f.await(t, "the quota is used", func() bool { return totalRate(2*time.Second) > 0.8*quotaRate })
	f.release(t, "n2", "budget tenant/acme=20\n")
	f.await(t, "a third of the quota is used", func() bool { r := totalRate(4 * time.Second); return r < 25 && r > 12 })
	f.release(t, "n3", "budget tenant/acme=0\n")
	f.await(t, "no request is finished", func() bool { return totalRate(2*time.Second) == 0 })
	f.release(t, "n1", "budget tenant/acme=60\n")
	f.await(t, "the quota is used again", func() bool { return totalRate(2*time.Second) > 0.8*quotaRate })
}

// TestQuota_HalfOfTheFleetRestarts: three of five servers are killed while they hold leased shares; they
// start at their floors.
func TestQuota_HalfOfTheFleetRestarts(t *testing.T) {
	f, load := startQuotaFleet(t, 35)
	load.SetRate(100, f.Names...)
	for _, name := range f.Names {
		f.awaitRate(t, load, name, 0.5*quotaRate/5)
	}
	for _, name := range []string{"n1", "n3", "n5"} { // two of three voters among them
		if err := f.KillAndRestart(context.Background(), name); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range f.Names {
		f.awaitRate(t, load, name, 0.5*quotaRate/5)
	}
}

// TestQuota_ConcurrentCallsStayWithinLimit: calls take a quarter of a second, and the demand is
// more than twice the limit. The fake upstream counts the calls in flight.
func TestQuota_ConcurrentCallsStayWithinLimit(t *testing.T) {
	const limit, reply = 50, 250 * time.Millisecond
	var inFlight, largest, sum, samples atomic.Int64
	f := startFleet(t, Config{Servers: 5, Seed: 36, ExtraSettings: "budget calls=50\nbudget-servers 5\n",
		CallOutcome: func(string, int, catalogue.Call) upstream.Response {
			n := inFlight.Add(1)
			sum.Add(n)
			samples.Add(1)
			for was := largest.Load(); n > was && !largest.CompareAndSwap(was, n); was = largest.Load() {
			}
			// before the server receives the reply and starts another call: a fifth of each call is
			// not counted
			time.AfterFunc(reply-50*time.Millisecond, func() { inFlight.Add(-1) })
			return upstream.Response{Delay: reply, Outcome: admission.Finished, Body: []byte("r")}
		}})
	ctx, stop := context.WithCancel(context.Background())
	load := f.StartLoad(ctx, "")
	defer load.Wait()
	defer stop()
	load.SetRate(100, f.Names...)
	meanInFlight := func() float64 { // over the calls of two seconds, as each found it at its start
		sum.Store(0)
		samples.Store(0)
		time.Sleep(2 * time.Second)
		return float64(sum.Load()) / float64(max(1, samples.Load()))
	}
	f.await(t, "most of the limit is used", func() bool { return meanInFlight() > 0.6*limit })
	f.Net.Partition([]string{"n1", "n2", "n3", "n4"}, []string{"n5"})
	f.await(t, "n5 serves with one call at a time", func() bool {
		r := load.Rate("n5", 2*time.Second)
		return r > 0 && r < 5
	})
	f.await(t, "the others use the share of n5", func() bool { return meanInFlight() > 0.6*limit })
	if n := largest.Load(); n > limit {
		t.Errorf("%d calls were in flight, the limit is %d", n, limit)
	}
}

// TestCircuitBreaker_DeadDownstreamIsProbedAndRecovers: while the downstream fails, all servers
// together probe it a few times a second; then it recovers.
func TestCircuitBreaker_DeadDownstreamIsProbedAndRecovers(t *testing.T) {
	const reply = 50 * time.Millisecond
	var dead atomic.Bool
	var calls atomic.Int64
	f := startFleet(t, Config{Servers: 5, Seed: 37, ExtraSettings: "fleet-below on\n",
		CallOutcome: func(string, int, catalogue.Call) upstream.Response {
			calls.Add(1)
			if dead.Load() {
				return upstream.Response{Delay: reply, Outcome: admission.Failed}
			}
			return upstream.Response{Delay: reply, Outcome: admission.Finished, Body: []byte("r")}
		}})
	ctx, stop := context.WithCancel(context.Background())
	load := f.StartLoad(ctx, "")
	defer load.Wait()
	defer stop()
	load.SetRate(40, "n1")
	load.SetRate(4, "n2", "n3", "n4", "n5") // too few calls for a verdict of their own
	served := func(name string, least float64) func() bool {
		return func() bool { return load.Rate(name, 2*time.Second) >= least }
	}
	f.await(t, "n1 serves", served("n1", 30))
	f.await(t, "n5 serves", served("n5", 3))
	dead.Store(true)
	for _, name := range f.Names {
		f.await(t, name+" opens its circuit breaker", f.hasLogged(name, EventCircuitBreakerChanged, "state", "open"))
	}
	time.Sleep(2 * time.Second)
	calls.Store(0)
	time.Sleep(5 * time.Second)
	n := calls.Load()
	t.Logf("%d probes in 5 s", n)
	if n == 0 || n > 5*8 {
		t.Errorf("%d probes in 5 s, the target is 3 a second", n)
	}
	dead.Store(false)
	f.await(t, "n1 serves again", served("n1", 30))
	f.await(t, "n5 serves again", served("n5", 3))
}

// TestCircuitBreaker_OneBadLinkStaysLocal: all calls of one server fail, those of the others don't.
func TestCircuitBreaker_OneBadLinkStaysLocal(t *testing.T) {
	var failingServer atomic.Pointer[string]
	f := startFleet(t, Config{Servers: 5, Seed: 38, ExtraSettings: "fleet-below on\n",
		CallOutcome: func(name string, _ int, _ catalogue.Call) upstream.Response {
			if bad := failingServer.Load(); bad != nil && *bad == name {
				return upstream.Response{Delay: 20 * time.Millisecond, Outcome: admission.Failed}
			}
			return upstream.Response{Delay: 20 * time.Millisecond, Outcome: admission.Finished, Body: []byte("r")}
		}})
	ctx, stop := context.WithCancel(context.Background())
	load := f.StartLoad(ctx, "")
	defer load.Wait()
	defer stop()
	load.SetRate(30, f.Names...)
	f.await(t, "n2 serves", func() bool { return load.Rate("n2", 2*time.Second) > 25 })
	bad := "n4"
	failingServer.Store(&bad)
	f.await(t, "n4 opens its circuit breaker", f.hasLogged("n4", EventCircuitBreakerChanged, "state", "open"))
	time.Sleep(3 * time.Second)
	for _, name := range []string{"n1", "n2", "n3", "n5"} {
		if f.hasLogged(name, EventCircuitBreakerChanged, "state", "open")() || f.hasLogged(name,
			EventCircuitBreakerChanged, "state", "throttled")() {
			t.Errorf("%s limits its calls because of the link of n4", name)
		}
	}
	failingServer.Store(nil)
	f.await(t, "n4 serves again", func() bool { return load.Rate("n4", 2*time.Second) > 25 })
}
