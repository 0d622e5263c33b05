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

// Settings of the quota tests: five servers share a quota of 60 requests per second of one tenant,
// and each has a floor of 1.2 requests per second. quotaSlack is the allowed excess over the quota:
// half a second of the quota and one request per server. burstTolerance allows for answers that
// were admitted at different times but arrive together on a busy machine.
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
			t.Errorf("%.0f requests over the quota, want at most %.0f and a burst of %.0f",
				over, quotaSlack, burstTolerance)
		}
		sent, finished, rejected := load.Counts()
		t.Logf("sent %d, finished %d, rejected %d; at most %.1f over the quota", sent, finished, rejected,
			load.MaxExcess(quotaRate, f.Names...))
		if n := len(f.Events("", EventFleetAgentPanic)); n > 0 {
			t.Errorf("%d panics, want none", n)
		}
	})
	return f, load
}

// awaitRate waits until a server finishes at least minRate requests per second.
func (f *Fleet) awaitRate(t *testing.T, load *Load, name string, minRate float64) {
	t.Helper()
	f.await(t, fmt.Sprintf("%s finishes at least %.1f requests per second", name, minRate), func() bool {
		return load.Rate(name, 2*time.Second) >= minRate
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
		t.Errorf("quota status %+v, error %v, want a leader that leased half to all of the pool", s, err)
	}
	if r := load.Rate("n4", time.Second) + load.Rate("n1", time.Second); r > 1.5*quotaRate+quotaSlack {
		t.Errorf("n1 and n4 together finish %.0f requests per second, want at most %.0f", r,
			1.5*quotaRate+quotaSlack)
	}
}

// The server with most of the demand is partitioned: it must fall back to its floor, and its share
// must become available to another server. The leader restarts during the partition.
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

// leader returns the leader that n1 knows, once it knows one.
func (f *Fleet) leader(t *testing.T) string {
	t.Helper()
	return f.leaderOf(t, "n1")
}

// leaderOf waits until a process knows the leader, and returns the leader's name.
func (f *Fleet) leaderOf(t *testing.T, observer string) (name string) {
	t.Helper()
	f.await(t, observer+" knows the leader", func() bool {
		s, err := f.Status(observer)
		if err == nil {
			name = s.Leader
		}
		return err == nil && name != ""
	})
	return name
}

// A server is paused for longer than its lease and resumes partitioned. It must not use the share
// of its expired lease, since another server may have it.
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
	f.await(t, "5 s have passed since n5 resumed", func() bool { return time.Since(resumedAt) > 5*time.Second })
	if r := load.RateBetween(resumedAt, time.Now(), "n5"); r > quotaFloor+2 {
		t.Errorf("n5 resumed after its lease and finished %.1f requests per second, want at most its floor %.1f plus 2",
			r, quotaFloor)
	}
}

// Releases lower the limit while shares are leased, set it to zero and raise it again. The servers
// must follow each change.
func TestQuota_LimitChangesWhileSharesAreLeased(t *testing.T) {
	f, load := startQuotaFleet(t, 34)
	load.SetRate(100, f.Names...)
	totalRate := func(window time.Duration) (sum float64) {
		for _, name := range f.Names {
			sum += load.Rate(name, window)
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

// Three of five servers, two of three voters among them, are killed while they hold leased shares.
// They restart with their floors and must get shares again.
func TestQuota_MajorityOfServersRestarts(t *testing.T) {
	f, load := startQuotaFleet(t, 35)
	load.SetRate(100, f.Names...)
	for _, name := range f.Names {
		f.awaitRate(t, load, name, 0.5*quotaRate/5)
	}
	for _, name := range []string{"n1", "n3", "n5"} { // n1 and n3 are voters
		if err := f.KillAndRestart(context.Background(), name); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range f.Names {
		f.awaitRate(t, load, name, 0.5*quotaRate/5)
	}
}

// The servers share a limit on concurrent downstream calls. Calls take 250 ms and the demand is
// more than twice the limit; the fake upstream counts the calls in flight.
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
			// A call counts as ended 50 ms before its reply, so that it never overlaps with the
			// call that the server starts after the reply. A fifth of each call is therefore not
			// counted.
			time.AfterFunc(reply-50*time.Millisecond, func() { inFlight.Add(-1) })
			return upstream.Response{Delay: reply, Outcome: admission.Finished, Body: []byte("r")}
		}})
	ctx, stop := context.WithCancel(context.Background())
	load := f.StartLoad(ctx, "")
	defer load.Wait()
	defer stop()
	load.SetRate(100, f.Names...)
	meanInFlight := func() float64 { // sampled at the start of each call, for two seconds
		sum.Store(0)
		samples.Store(0)
		time.Sleep(2 * time.Second)
		return float64(sum.Load()) / float64(max(1, samples.Load()))
	}
	f.await(t, "more than 60% of the limit is used", func() bool { return meanInFlight() > 0.6*limit })
	f.Net.Partition([]string{"n1", "n2", "n3", "n4"}, []string{"n5"})
	f.await(t, "the partitioned n5 serves at less than 5 requests per second", func() bool {
		r := load.Rate("n5", 2*time.Second)
		return r > 0 && r < 5
	})
	f.await(t, "the other servers use the share of n5", func() bool { return meanInFlight() > 0.6*limit })
	if n := largest.Load(); n > limit {
		t.Errorf("%d calls in flight, want at most %d", n, limit)
	}
}

// While the downstream dependency fails, all servers together must probe it only a few times per
// second, and serve again after it recovers.
func TestCircuitBreaker_FailedDownstreamIsProbedAndRecovers(t *testing.T) {
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
	load.SetRate(4, "n2", "n3", "n4", "n5") // too few calls to open their breakers on their own
	served := func(name string, minRate float64) func() bool {
		return func() bool { return load.Rate(name, 2*time.Second) >= minRate }
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
		t.Errorf("%d probes in 5 s, want 1 to 40; the target is 3 per second", n)
	}
	dead.Store(false)
	f.await(t, "n1 serves again", served("n1", 30))
	f.await(t, "n5 serves again", served("n5", 3))
}

// Only the calls of one server fail. It must open its circuit breaker, and the others must not
// limit their calls because of it.
func TestCircuitBreaker_FailureOfOneServerStaysLocal(t *testing.T) {
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
			t.Errorf("circuit breaker of %s opened or throttled, want it closed: only calls of n4 failed", name)
		}
	}
	failingServer.Store(nil)
	f.await(t, "n4 serves again", func() bool { return load.Rate("n4", 2*time.Second) > 25 })
}
