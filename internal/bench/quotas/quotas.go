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
	"swiftcourse/internal/wire/simulator"
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

// FaultKinds by name.
var FaultKinds = []string{"kill", "leader", "stop", "cut", "one-way", "loss", "jump", "voters"}

// Validate tells what is wrong with a plan.
func (p *Plan) Validate() error {
	if p.Servers < 3 || p.Servers > 30 || p.Seconds < 2 || p.Seconds > 600 || p.Fault != "" && !slices.Contains(FaultKinds, p.Fault) {
		return fmt.Errorf("--servers %d --seconds %g --fault %q: from 3 to 30, 2 to 600, and one of %v", p.Servers, p.Seconds, p.Fault, FaultKinds)
	}
	return nil
}

// Row is what a run came to.
type Row struct {
	Seed                 uint64  `json:"seed"`
	Servers              int     `json:"servers"`
	Faults               int     `json:"faults"`
	Requests             int     `json:"asked"`
	Finished             int     `json:"finished"`
	MaxExcess            float64 `json:"overspend_max"` // tasks finished within any time beyond the budget in that time
	AllowedExcess        float64 `json:"slack"`         // what that may be
	UsedShare            float64 `json:"used_of_budget"`
	ShiftMillis          float64 `json:"hot_share_after_ms"` // until the server to which demand jumped had half of the budget in a second; measured over that second
	CutOffService        float64 `json:"silent_service"`     // tasks a second of one cut off for over a lease, over its floor
	UsedShareHealed      float64 `json:"used_of_budget_after"`
	GossipBytesPerSecond float64 `json:"talk_bytes_s"` // that a server sends, all of the fleet's, without faults
}

// Columns and Cells are those of the table.
var Columns = []string{"seed", "servers", "faults", "asked", "finished", "over", "slack", "used", "hot ms", "silent", "after", "B/s"}

// Cells are a row's in the table.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %d %d %d %.1f %.0f %.3f %.0f %.2f %.3f %.0f", r.Seed, r.Servers, r.Faults, r.Requests, r.Finished, r.MaxExcess, r.AllowedExcess, r.UsedShare,
		r.ShiftMillis, r.CutOffService, r.UsedShareHealed, r.GossipBytesPerSecond))
}

// Violations counts what must not be: more than the slack over the budget, a silent server that serves nothing, a budget that is not used again.
func (r Row) Violations() (n int) {
	for _, bad := range []bool{r.MaxExcess > r.AllowedExcess, r.CutOffService == 0, r.UsedShareHealed < 0.8} {
		if bad {
			n++
		}
	}
	return n
}

const (
	limitPerServer = 12.0 // tasks a second of the budget, a server
	hotDemandRatio = 4.0  // times the budget that the hot server is asked for
	tenantName     = "acme"
	leaseDuration  = 2 * time.Second
	floorFraction  = 0.1
	settleTimeout  = 30 * time.Second
	measurePeriod  = 6 * time.Second
)

type experiment struct {
	*Plan
	fleet     *faultinjection.Fleet
	load      *faultinjection.Load
	limit     float64
	hotServer string
	row       Row
}

// Run plays a seed.
func Run(ctx context.Context, p *Plan) (Row, error) {
	most := limitPerServer * float64(p.Servers)
	terms := quota.Config{LeaseSeconds: leaseDuration.Seconds(), FloorFraction: floorFraction, MaxServers: p.Servers, Limits: []quota.Limit{{Name: tenantName, Max: most}}}
	r := &experiment{Plan: p, limit: most, row: Row{Seed: p.Seed, Servers: p.Servers, AllowedExcess: terms.MaxBurst(&terms.Limits[0])}}
	shape := faultinjection.SmallShape(p.Program)
	shape.Log = p.Log
	f, err := faultinjection.Start(ctx, faultinjection.Config{Shape: shape, Servers: p.Servers, Voters: 3, Seed: p.Seed, Tenants: []simulator.Tenant{{Name: tenantName, RatePerS: 1e6}},
		ExtraSettings: fmt.Sprintf("door on\nfleet-lease %s\nfleet-behind 2s\nbudget tenant/%s=%g\nbudget-servers %d\n", leaseDuration, tenantName, most, p.Servers)})
	if err != nil {
		return r.row, fmt.Errorf("seed %d: %w", p.Seed, err)
	}
	defer f.Close()
	asking, end := context.WithCancel(ctx)
	defer end()
	r.fleet, r.load = f, f.StartLoad(asking, tenantName)
	r.shiftDemand(f.Names[len(f.Names)-1])
	if !faultinjection.WaitUntil(settleTimeout, func() bool { return r.finishRate(2*time.Second) > 0.8*most }) {
		return r.row, fmt.Errorf("seed %d: the budget is not used after %s: %.1f of %.0f a second", p.Seed, settleTimeout, r.finishRate(2*time.Second), most)
	}
	sent, from := r.fleet.BytesSent(), time.Now()
	r.row.UsedShare = r.measureUsedShare(ctx, measurePeriod)
	r.row.GossipBytesPerSecond = float64(r.fleet.BytesSent()-sent) / time.Since(from).Seconds() / float64(p.Servers)
	from = time.Now()
	r.shiftDemand(f.Names[0])
	faultinjection.WaitUntil(settleTimeout, func() bool { return r.load.Rate(r.hotServer, time.Second) > most/2 })
	r.row.ShiftMillis = float64(time.Since(from).Milliseconds())
	r.measurePartition(ctx)
	r.injectFaults(ctx)
	f.Net.Heal()
	r.shiftDemand(f.Names[len(f.Names)-1])
	faultinjection.WaitUntil(settleTimeout, func() bool { return r.finishRate(2*time.Second) > 0.9*most })
	r.row.UsedShareHealed = r.measureUsedShare(ctx, measurePeriod)
	end()
	r.load.Wait()
	r.row.Requests, r.row.Finished, _ = r.load.Counts()
	r.row.MaxExcess = r.load.MaxExcess(most, f.Names...)
	return r.row, ctx.Err()
}

// shiftDemand has one server be asked for far more than the budget, and the others for less than their even part.
func (r *experiment) shiftDemand(to string) {
	r.hotServer = to
	r.load.SetRate(limitPerServer/3, r.fleet.Names...)
	r.load.SetRate(hotDemandRatio*r.limit, to)
}

// finishRate is what all finished a second lately.
func (r *experiment) finishRate(lately time.Duration) (sum float64) {
	for _, name := range r.fleet.Names {
		sum += r.load.Rate(name, lately)
	}
	return sum
}

// measureUsedShare tells which part of the budget is used meanwhile.
func (r *experiment) measureUsedShare(ctx context.Context, length time.Duration) float64 {
	from := time.Now()
	sleep(ctx, length)
	return r.load.RateBetween(from, time.Now(), r.fleet.Names...) / r.limit
}

func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// measurePartition cuts one off that is asked for much, and looks at it once its lease is over.
func (r *experiment) measurePartition(ctx context.Context) {
	name := r.fleet.Names[len(r.fleet.Names)-2]
	r.load.SetRate(r.limit, name)
	others := slices.DeleteFunc(slices.Clone(r.fleet.Names), func(n string) bool { return n == name })
	r.fleet.Net.Partition(others, []string{name})
	sleep(ctx, leaseDuration+time.Second)
	from := time.Now()
	sleep(ctx, measurePeriod)
	r.row.CutOffService = r.load.RateBetween(from, time.Now(), name) / (floorFraction * r.limit / float64(r.Servers))
	r.fleet.Net.Heal()
	r.load.SetRate(limitPerServer/3, name)
}

// injectFaults does what the seed says.
func (r *experiment) injectFaults(ctx context.Context) {
	chance := rand.New(rand.NewPCG(r.Seed, 23))
	f := r.fleet
	for end := time.Now().Add(time.Duration(r.Seconds * float64(time.Second))); time.Now().Before(end) && ctx.Err() == nil; {
		r.row.Faults++
		what, name := r.Fault, f.Names[chance.IntN(len(f.Names))]
		if drawn := FaultKinds[chance.IntN(len(FaultKinds))]; what == "" {
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
			sleep(ctx, length)
			_ = f.Resume(name)
		case "cut":
			f.Net.Partition(few, many)
			sleep(ctx, length)
			f.Net.Heal()
		case "one-way":
			for _, other := range f.Names {
				if other != name {
					f.Net.SetLink(other, name, faultinjection.Link{Cut: true})
				}
			}
			sleep(ctx, length)
			f.Net.Heal()
		case "loss":
			for _, a := range f.Names {
				for _, b := range f.Names {
					if a != b {
						f.Net.SetLink(a, b, faultinjection.Link{Loss: 0.3, Duplicate: 0.1, Jitter: 50 * time.Millisecond})
					}
				}
			}
			sleep(ctx, length)
			f.Net.Heal()
		case "jump":
			r.shiftDemand(name)
		}
		sleep(ctx, time.Duration(200+chance.IntN(800))*time.Millisecond)
	}
}
