package faultinjection

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/fake/upstream"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/wire/catalogue"
	"swiftcourse/internal/wire/simulator"
)

// What the tests below share: a budget of 60 tasks a second of one tenant, over five servers of
// which each has a floor of 1.2. The slack is half a second of it and a task a server
// (docs/shared.md), and late is what a busy test may see come at once that was let through a while
// before.
const (
	quotaRate      = 60.0
	quotaSettings  = "budget tenant/acme=60\nbudget-servers 5\n"
	quotaFloor     = 0.1 * quotaRate / 5
	quotaSlack     = quotaRate/2 + 5
	burstTolerance = quotaRate
)

func startQuotaFleet(t *testing.T, seed uint64) (*Fleet, *Load) {
	t.Helper()
	p := Config{Servers: 5, Seed: seed, ExtraSettings: quotaSettings,
		Tenants: []simulator.Tenant{{Name: "acme", RatePerS: 1000}}}
	f := startFleet(t, p)
	ctx, stop := context.WithCancel(context.Background())
	d := f.StartLoad(ctx, "acme")
	t.Cleanup(func() {
		stop()
		d.Wait()
		if over := d.MaxExcess(quotaRate, f.Names...); over > quotaSlack+burstTolerance {
			t.Errorf("%.0f tasks over the budget, the slack is %.0f", over, quotaSlack)
		}
		asked, finished, rejected := d.Counts()
		t.Logf("asked %d, finished %d, rejected %d; at most %.1f over the budget", asked, finished, rejected,
			d.MaxExcess(quotaRate, f.Names...))
		if n := len(f.Events("", "fleet_agent_panic")); n > 0 {
			t.Errorf("%d panics", n)
		}
	})
	return f, d
}

// awaitRate waits until a server finishes at least so many a second.
func (f *Fleet) awaitRate(t *testing.T, d *Load, name string, least float64) {
	t.Helper()
	f.await(t, name+" has its part", func() bool { return d.Rate(name, 2*time.Second) >= least })
}

func TestQuota_FollowsDemand(t *testing.T) {
	f, d := startQuotaFleet(t, 31)
	d.SetRate(300, "n1")
	d.SetRate(1, "n2", "n3", "n4", "n5")
	f.awaitRate(t, d, "n1", 0.8*quotaRate)
	d.SetRate(1, "n1")
	d.SetRate(300, "n4")
	f.awaitRate(t, d, "n4", 0.8*quotaRate)
	s, err := fleet.FetchQuotas(f.controlAddrs[f.leader(t)])
	if err != nil || !s.IsLeader || len(s.Granted) != 1 || s.Granted[0].Leased > s.Granted[0].Pool+1e-9 ||
		s.Granted[0].Leased < 0.5*s.Granted[0].Pool {
		t.Errorf("an operator hears %+v, %v", s, err)
	}
	if r := d.Rate("n4", time.Second) + d.Rate("n1", time.Second); r > 1.5*quotaRate+quotaSlack {
		t.Errorf("together they finish %.0f a second", r)
	}
}

// TestQuota_PartitionedServerServesItsFloor: one that all demand is at is cut off, then so is half
// of the fleet; the leader dies meanwhile.
func TestQuota_PartitionedServerServesItsFloor(t *testing.T) {
	f, d := startQuotaFleet(t, 32)
	d.SetRate(300, "n5")
	d.SetRate(2, "n1", "n2", "n3", "n4")
	f.awaitRate(t, d, "n5", 0.8*quotaRate)
	f.Net.Partition([]string{"n1", "n2", "n3", "n4"}, []string{"n5"})
	f.await(t, "n5 is down to its floor, and no further", func() bool {
		r := d.Rate("n5", 5*time.Second)
		return r > 0 && r <= quotaFloor+1
	})
	d.SetRate(300, "n4")
	f.awaitRate(t, d, "n4", 0.8*quotaRate)
	leader := f.leader(t)
	if err := f.KillAndRestart(context.Background(), leader); err != nil {
		t.Fatal(err)
	}
	f.Net.Heal()
	f.await(t, "both have a part again", func() bool {
		return d.Rate("n4", 2*time.Second) > 0.3*quotaRate && d.Rate("n5", 2*time.Second) > 0.3*quotaRate
	})
}

// leader is who the servers say leads, leaderOf who one of them says does.
func (f *Fleet) leader(t *testing.T) string {
	t.Helper()
	return f.leaderOf(t, "n1")
}

func (f *Fleet) leaderOf(t *testing.T, of string) (name string) {
	t.Helper()
	f.await(t, "a leader is known", func() bool {
		s, err := f.Status(of)
		if err == nil {
			name = s.Leader
		}
		return err == nil && name != ""
	})
	return name
}

// TestQuota_PausedServerLosesItsShareAfterLease: it is woken with the part that it had, past its
// lease.
func TestQuota_PausedServerLosesItsShareAfterLease(t *testing.T) {
	f, d := startQuotaFleet(t, 33)
	d.SetRate(300, "n5")
	f.awaitRate(t, d, "n5", 0.8*quotaRate)
	if err := f.Pause("n5"); err != nil {
		t.Fatal(err)
	}
	d.SetRate(300, "n4")
	f.awaitRate(t, d, "n4", 0.8*quotaRate)
	f.Net.Partition([]string{"n1", "n2", "n3", "n4"}, []string{"n5"})
	woken := time.Now()
	if err := f.Resume("n5"); err != nil {
		t.Fatal(err)
	}
	f.await(t, "n5 has served for a while", func() bool { return time.Since(woken) > 5*time.Second })
	if r := d.RateBetween(woken, time.Now(), "n5"); r > quotaFloor+2 {
		t.Errorf("woken with a part that is over, it finished %.1f a second, its floor is %.1f", r, quotaFloor)
	}
}

// TestQuota_LimitChangesWhileSharesAreLeased: down, to nothing and up again, by releases.
func TestQuota_LimitChangesWhileSharesAreLeased(t *testing.T) {
	f, d := startQuotaFleet(t, 34)
	d.SetRate(100, f.Names...)
	all := func(lately time.Duration) (sum float64) {
		for _, name := range f.Names {
			sum += d.Rate(name, lately)
		}
		return sum
	}
	f.await(t, "the budget is used", func() bool { return all(2*time.Second) > 0.8*quotaRate })
	f.release(t, "n2", "budget tenant/acme=20\n")
	f.await(t, "a third of it is used", func() bool { r := all(4 * time.Second); return r < 25 && r > 12 })
	f.release(t, "n3", "budget tenant/acme=0\n")
	f.await(t, "nothing is", func() bool { return all(2*time.Second) == 0 })
	f.release(t, "n1", "budget tenant/acme=60\n")
	f.await(t, "all of it is", func() bool { return all(2*time.Second) > 0.8*quotaRate })
}

// TestQuota_HalfOfTheFleetRestarts, killed with its parts in hand: it begins at its floors.
func TestQuota_HalfOfTheFleetRestarts(t *testing.T) {
	f, d := startQuotaFleet(t, 35)
	d.SetRate(100, f.Names...)
	for _, name := range f.Names {
		f.awaitRate(t, d, name, 0.5*quotaRate/5)
	}
	for _, name := range []string{"n1", "n3", "n5"} { // two of three voters among them
		if err := f.KillAndRestart(context.Background(), name); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range f.Names {
		f.awaitRate(t, d, name, 0.5*quotaRate/5)
	}
}

// TestQuota_ConcurrentCallsStayWithinLimit: calls of a quarter of a second, over twice as many
// wanted as there may be out. What is out is counted at the tier below.
func TestQuota_ConcurrentCallsStayWithinLimit(t *testing.T) {
	const most, reply = 50, 250 * time.Millisecond
	var out, largest, sum, seen atomic.Int64
	f := startFleet(t, Config{Servers: 5, Seed: 36, ExtraSettings: "budget calls=50\nbudget-servers 5\n",
		CallOutcome: func(string, int, catalogue.Call) upstream.Response {
			n := out.Add(1)
			sum.Add(n)
			seen.Add(1)
			for was := largest.Load(); n > was && !largest.CompareAndSwap(was, n); was = largest.Load() {
			}
			// surely before its server hears, and lets another one out: a fifth of them does not count
			time.AfterFunc(reply-50*time.Millisecond, func() { out.Add(-1) })
			return upstream.Response{Delay: reply, Outcome: admission.Finished, Body: []byte("r")}
		}})
	ctx, stop := context.WithCancel(context.Background())
	d := f.StartLoad(ctx, "")
	defer d.Wait()
	defer stop()
	d.SetRate(100, f.Names...)
	lately := func() float64 { // calls out, in the mean, as those that went out found it
		sum.Store(0)
		seen.Store(0)
		time.Sleep(2 * time.Second)
		return float64(sum.Load()) / float64(max(1, seen.Load()))
	}
	f.await(t, "most of the budget is used", func() bool { return lately() > 0.6*most })
	f.Net.Partition([]string{"n1", "n2", "n3", "n4"}, []string{"n5"})
	f.await(t, "n5 is down to one at a time, and serves", func() bool {
		r := d.Rate("n5", 2*time.Second)
		return r > 0 && r < 5
	})
	f.await(t, "the others use what it left", func() bool { return lately() > 0.6*most })
	if n := largest.Load(); n > most {
		t.Errorf("%d calls were out at a time, %d may be", n, most)
	}
}

// TestCircuitBreaker_DeadDownstreamIsProbedAndRecovers: it dies for all, is tried a few times a
// second by all servers together, and comes back.
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
	d := f.StartLoad(ctx, "")
	defer d.Wait()
	defer stop()
	d.SetRate(40, "n1")
	d.SetRate(4, "n2", "n3", "n4", "n5") // too few to know by their own calls alone
	served := func(name string, least float64) func() bool {
		return func() bool { return d.Rate(name, 2*time.Second) >= least }
	}
	f.await(t, "n1 serves", served("n1", 30))
	f.await(t, "n5 serves", served("n5", 3))
	dead.Store(true)
	for _, name := range f.Names {
		f.await(t, name+" knows it dead", f.hasLogged(name, "circuit_breaker_changed", "state", "open"))
	}
	time.Sleep(2 * time.Second)
	calls.Store(0)
	time.Sleep(5 * time.Second)
	n := calls.Load()
	t.Logf("all together tried it %d times in 5 s", n)
	if n == 0 || n > 5*8 {
		t.Errorf("all together tried it %d times in 5 s, 3 a second are meant", n)
	}
	dead.Store(false)
	f.await(t, "n1 serves again", served("n1", 30))
	f.await(t, "n5 serves again", served("n5", 3))
}

// TestCircuitBreaker_OneBadLinkStaysLocal: calls of one server all fail, those of the others don't.
func TestCircuitBreaker_OneBadLinkStaysLocal(t *testing.T) {
	var mine atomic.Pointer[string]
	f := startFleet(t, Config{Servers: 5, Seed: 38, ExtraSettings: "fleet-below on\n",
		CallOutcome: func(name string, _ int, _ catalogue.Call) upstream.Response {
			if bad := mine.Load(); bad != nil && *bad == name {
				return upstream.Response{Delay: 20 * time.Millisecond, Outcome: admission.Failed}
			}
			return upstream.Response{Delay: 20 * time.Millisecond, Outcome: admission.Finished, Body: []byte("r")}
		}})
	ctx, stop := context.WithCancel(context.Background())
	d := f.StartLoad(ctx, "")
	defer d.Wait()
	defer stop()
	d.SetRate(30, f.Names...)
	f.await(t, "n2 serves", func() bool { return d.Rate("n2", 2*time.Second) > 25 })
	bad := "n4"
	mine.Store(&bad)
	f.await(t, "n4 knows it dead", f.hasLogged("n4", "circuit_breaker_changed", "state", "open"))
	time.Sleep(3 * time.Second)
	for _, name := range []string{"n1", "n2", "n3", "n5"} {
		if f.hasLogged(name, "circuit_breaker_changed", "state", "open")() || f.hasLogged(name,
			"circuit_breaker_changed", "state", "throttled")() {
			t.Errorf("%s shut it out, by another's bad link", name)
		}
	}
	mine.Store(nil)
	f.await(t, "n4 serves again", func() bool { return d.Rate("n4", 2*time.Second) > 25 })
}
