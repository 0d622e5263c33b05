// Package quotas is an experiment on a budget that all servers of a fleet share: processes of the real program get more demand than it bears, here and
// there, while they are killed, stopped and cut off by a seed, and an account of all that was finished is held against the budget.
package quotas

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/wire/shale"
)

// Plan is one run.
type Plan struct {
	Program string
	Servers int
	Seconds float64 // of faults
	Fault   string  // one of Faults that comes again and again; "" draws among them
	Seed    uint64
	Log     io.Writer
}

// Faults by name.
var Faults = []string{"kill", "leader", "stop", "cut", "one-way", "loss", "jump", "voters"}

// Check tells what is wrong with a plan.
func (p *Plan) Check() error {
	if p.Servers < 3 || p.Servers > 30 || p.Seconds < 2 || p.Seconds > 600 || p.Fault != "" && !slices.Contains(Faults, p.Fault) {
		return fmt.Errorf("--servers %d --seconds %g --fault %q: from 3 to 30, 2 to 600, and one of %v", p.Servers, p.Seconds, p.Fault, Faults)
	}
	return nil
}

// Row is what a run came to.
type Row struct {
	Seed      uint64  `json:"seed"`
	Servers   int     `json:"servers"`
	Faults    int     `json:"faults"`
	Asked     int     `json:"asked"`
	Finished  int     `json:"finished"`
	Over      float64 `json:"overspend_max"` // tasks finished within any time beyond the budget in that time
	Slack     float64 `json:"slack"`         // what that may be
	Used      float64 `json:"used_of_budget"`
	HotAfter  float64 `json:"hot_share_after_ms"` // until the server to which demand jumped had half of the budget in a second; measured over that second
	Silent    float64 `json:"silent_service"`     // tasks a second of one cut off for over a lease, over its floor
	UsedAfter float64 `json:"used_of_budget_after"`
	TalkBytes float64 `json:"talk_bytes_s"` // that a server sends, all of the fleet's, without faults
}

// Heads and Cells are those of the table.
var Heads = []string{"seed", "servers", "faults", "asked", "finished", "over", "slack", "used", "hot ms", "silent", "after", "B/s"}

// Cells are a row's in the table.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %d %d %d %.1f %.0f %.3f %.0f %.2f %.3f %.0f", r.Seed, r.Servers, r.Faults, r.Asked, r.Finished, r.Over, r.Slack, r.Used,
		r.HotAfter, r.Silent, r.UsedAfter, r.TalkBytes))
}

// Bad counts what must not be: more than the slack over the budget, a silent server that serves nothing, a budget that is not used again.
func (r *Row) Bad() (n int) {
	for _, bad := range []bool{r.Over > r.Slack, r.Silent == 0, r.UsedAfter < 0.8} {
		if bad {
			n++
		}
	}
	return n
}

const (
	perServer = 12.0 // tasks a second of the budget, a server
	hotAsks   = 4.0  // times the budget that the hot server is asked for
	tenant    = "acme"
	lease     = 2 * time.Second
	floor     = 0.1
	settles   = 30 * time.Second
	measured  = 6 * time.Second
)

type run struct {
	*Plan
	fleet  *faultinjection.Fleet
	demand *faultinjection.Load
	most   float64
	hot    string
	row    Row
}

// Run plays a seed.
func Run(ctx context.Context, p *Plan) (Row, error) {
	most := perServer * float64(p.Servers)
	terms := quota.Config{LeaseSeconds: lease.Seconds(), FloorFraction: floor, MaxServers: p.Servers, Limits: []quota.Limit{{Name: tenant, Max: most}}}
	r := &run{Plan: p, most: most, row: Row{Seed: p.Seed, Servers: p.Servers, Slack: terms.MaxBurst(&terms.Limits[0])}}
	shape := faultinjection.SmallShape(p.Program)
	shape.Log = p.Log
	f, err := faultinjection.Start(ctx, faultinjection.Config{Shape: shape, Servers: p.Servers, Voters: 3, Seed: p.Seed, Tenants: []shale.Tenant{{Name: tenant, RatePerS: 1e6}},
		ExtraSettings: fmt.Sprintf("door on\nfleet-lease %s\nfleet-behind 2s\nbudget tenant/%s=%g\nbudget-servers %d\n", lease, tenant, most, p.Servers)})
	if err != nil {
		return r.row, fmt.Errorf("seed %d: %w", p.Seed, err)
	}
	defer f.Close()
	asking, end := context.WithCancel(ctx)
	defer end()
	r.fleet, r.demand = f, f.StartLoad(asking, tenant)
	r.jump(f.Names[len(f.Names)-1])
	if !faultinjection.WaitUntil(settles, func() bool { return r.rate(2*time.Second) > 0.8*most }) {
		return r.row, fmt.Errorf("seed %d: the budget is not used after %s: %.1f of %.0f a second", p.Seed, settles, r.rate(2*time.Second), most)
	}
	sent, from := r.sent(), time.Now()
	r.row.Used = r.wait(ctx, measured)
	r.row.TalkBytes = float64(r.sent()-sent) / time.Since(from).Seconds() / float64(p.Servers)
	from = time.Now()
	r.jump(f.Names[0])
	faultinjection.WaitUntil(settles, func() bool { return r.demand.Rate(r.hot, time.Second) > most/2 })
	r.row.HotAfter = float64(time.Since(from).Milliseconds())
	r.silent(ctx)
	r.stir(ctx)
	f.Net.Heal()
	r.jump(f.Names[len(f.Names)-1])
	faultinjection.WaitUntil(settles, func() bool { return r.rate(2*time.Second) > 0.9*most })
	r.row.UsedAfter = r.wait(ctx, measured)
	end()
	r.demand.Wait()
	r.row.Asked, r.row.Finished, _ = r.demand.Counts()
	r.row.Over = r.demand.MaxExcess(most, f.Names...)
	return r.row, ctx.Err()
}

// jump has one server be asked for far more than the budget, and the others for less than their even part.
func (r *run) jump(to string) {
	r.hot = to
	r.demand.SetRate(perServer/3, r.fleet.Names...)
	r.demand.SetRate(hotAsks*r.most, to)
}

// rate is what all finished a second lately.
func (r *run) rate(lately time.Duration) (sum float64) {
	for _, name := range r.fleet.Names {
		sum += r.demand.Rate(name, lately)
	}
	return sum
}

// wait tells which part of the budget is used meanwhile.
func (r *run) wait(ctx context.Context, length time.Duration) float64 {
	from := time.Now()
	pause(ctx, length)
	return r.demand.RateBetween(from, time.Now(), r.fleet.Names...) / r.most
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

func (r *run) sent() (all int64) {
	for _, name := range r.fleet.Names {
		all += r.fleet.Net.BytesSent(name)
	}
	return all
}

// silent cuts one off that is asked for much, and looks at it once its lease is over.
func (r *run) silent(ctx context.Context) {
	name := r.fleet.Names[len(r.fleet.Names)-2]
	r.demand.SetRate(r.most, name)
	others := slices.DeleteFunc(slices.Clone(r.fleet.Names), func(n string) bool { return n == name })
	r.fleet.Net.Partition(others, []string{name})
	pause(ctx, lease+time.Second)
	from := time.Now()
	pause(ctx, measured)
	r.row.Silent = r.demand.RateBetween(from, time.Now(), name) / (floor * r.most / float64(r.Servers))
	r.fleet.Net.Heal()
	r.demand.SetRate(perServer/3, name)
}

// stir does what the seed says.
func (r *run) stir(ctx context.Context) {
	chance := rand.New(rand.NewPCG(r.Seed, 23))
	f := r.fleet
	for end := time.Now().Add(time.Duration(r.Seconds * float64(time.Second))); time.Now().Before(end) && ctx.Err() == nil; {
		r.row.Faults++
		what, name := r.Fault, f.Names[chance.IntN(len(f.Names))]
		if drawn := Faults[chance.IntN(len(Faults))]; what == "" {
			what = drawn
		}
		length := time.Duration(300+chance.IntN(4000)) * time.Millisecond
		mixed := slices.Clone(f.Names)
		chance.Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
		few, many := mixed[:(len(mixed)-1)/2], mixed[(len(mixed)-1)/2:]
		switch what {
		case "leader":
			if s, err := f.Status(name); err == nil && f.Server(s.Leader) != nil {
				name = s.Leader
			}
			fallthrough
		case "kill":
			_ = f.KillAndRestart(ctx, name) // whether it is back shows in what is used after
		case "voters":
			for _, v := range f.Names[:f.Voters] {
				f.Server(v).Kill()
			}
			for _, v := range f.Names[:f.Voters] {
				_ = f.Restart(ctx, v)
			}
		case "stop":
			_ = f.Pause(name)
			pause(ctx, length)
			_ = f.Resume(name)
		case "cut":
			f.Net.Partition(few, many)
			pause(ctx, length)
			f.Net.Heal()
		case "one-way":
			for _, other := range f.Names {
				if other != name {
					f.Net.SetLink(other, name, faultinjection.Link{Cut: true})
				}
			}
			pause(ctx, length)
			f.Net.Heal()
		case "loss":
			for _, a := range f.Names {
				for _, b := range f.Names {
					if a != b {
						f.Net.SetLink(a, b, faultinjection.Link{Loss: 0.3, Duplicate: 0.1, Jitter: 50 * time.Millisecond})
					}
				}
			}
			pause(ctx, length)
			f.Net.Heal()
		case "jump":
			r.jump(name)
		}
		pause(ctx, time.Duration(200+chance.IntN(800))*time.Millisecond)
	}
}
