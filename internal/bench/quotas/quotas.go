// Package quotas is an experiment on a quota that all servers of a fleet share: processes of the
// real program get more demand than it allows, here and there, while they are killed, paused and
// partitioned by a seed. The finished requests, counted by their clients, are compared with the
// quota.
//
// Run owns the processes of an experiment; it may be called by one goroutine at a time.
package quotas

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/timing"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/wire/simulator"
)

// Fault is a kind of fault.
type Fault string

// The kinds of faults.
const (
	FaultKill   Fault = "kill"    // a server restarts
	FaultLeader Fault = "leader"  // the leader restarts
	FaultPause  Fault = "stop"    // a server is paused
	FaultCut    Fault = "cut"     // a minority is partitioned
	FaultOneWay Fault = "one-way" // a server receives nothing
	FaultLoss   Fault = "loss"    // all links lose and duplicate
	FaultShift  Fault = "jump"    // the demand moves to another server
	FaultVoters Fault = "voters"  // all voters restart together
	anyFault    Fault = ""        // drawn among the kinds
)

// FaultKinds are all kinds of faults.
var FaultKinds = []Fault{
	FaultKill, FaultLeader, FaultPause, FaultCut, FaultOneWay, FaultLoss, FaultShift, FaultVoters,
}

// Plan is one experiment.
type Plan struct {
	Program string
	Servers int
	Seconds float64 // of faults
	Fault   Fault   // one of FaultKinds, again and again; "" draws among them
	Seed    uint64
	Log     io.Writer
}

// Validate returns an error that names the limits if a value is outside of them.
func (p *Plan) Validate() error {
	if p.Servers < 3 || p.Servers > 30 || p.Seconds < 2 || p.Seconds > 600 ||
		p.Fault != anyFault && !slices.Contains(FaultKinds, p.Fault) {
		return fmt.Errorf("--servers %d --seconds %g --fault %q: from 3 to 30, 2 to 600, and one of %v",
			p.Servers, p.Seconds, p.Fault, FaultKinds)
	}
	return nil
}

// Row is the result of an experiment.
type Row struct {
	Seed                 uint64  `json:"seed"`
	Servers              int     `json:"servers"`
	Faults               int     `json:"faults"`
	Requests             int     `json:"asked"`
	Finished             int     `json:"finished"`
	MaxExcess            float64 `json:"overspend_max"` // requests in any interval over its quota
	AllowedExcess        float64 `json:"slack"`         // what MaxExcess may be
	UsedShare            float64 `json:"used_of_budget"`
	ShiftMillis          float64 `json:"hot_share_after_ms"` // until the new hot server used half of the quota
	CutOffService        float64 `json:"silent_service"`     // of a server cut off for over a lease, over its floor
	UsedShareHealed      float64 `json:"used_of_budget_after"`
	GossipBytesPerSecond float64 `json:"talk_bytes_s"` // sent by a server, of all gossip, without faults
}

// Columns are the heads of the table.
var Columns = []string{
	"seed", "servers", "faults", "asked", "finished", "over", "slack", "used", "hot ms", "silent", "after", "B/s",
}

// Cells returns the row for the table.
func (r Row) Cells() []string {
	return []string{
		strconv.FormatUint(r.Seed, 10),
		strconv.Itoa(r.Servers),
		strconv.Itoa(r.Faults),
		strconv.Itoa(r.Requests),
		strconv.Itoa(r.Finished),
		fmt.Sprintf("%.1f", r.MaxExcess),
		fmt.Sprintf("%.0f", r.AllowedExcess),
		fmt.Sprintf("%.3f", r.UsedShare),
		fmt.Sprintf("%.0f", r.ShiftMillis),
		fmt.Sprintf("%.2f", r.CutOffService),
		fmt.Sprintf("%.3f", r.UsedShareHealed),
		fmt.Sprintf("%.0f", r.GossipBytesPerSecond),
	}
}

// minHealedShare is the share of the quota that has to be used once all faults are healed.
const minHealedShare = 0.8

// Violations counts what breaks an invariant: use over the quota, a server cut off that serves
// nothing, and a quota that is not used again.
func (r Row) Violations() (count int) {
	for _, broken := range []bool{
		r.MaxExcess > r.AllowedExcess,
		r.CutOffService == 0,
		r.UsedShareHealed < minHealedShare,
	} {
		if broken {
			count++
		}
	}
	return count
}

const (
	tenantName     = "acme"
	limitPerServer = 12.0 // requests a second of the quota, for each server
	floorFraction  = 0.1
	leaseDuration  = 2 * time.Second
	voters         = 3
	hotDemandRatio = 4.0 // of the demand at the hot server, over the quota
	idleDemand     = limitPerServer / 3
	settleTimeout  = 30 * time.Second // for the quota to be used
	measurePeriod  = 6 * time.Second
	rateWindow     = 2 * time.Second
)

// experiment is one run of a plan.
type experiment struct {
	*Plan
	fleet     *faultinjection.Fleet
	load      *faultinjection.Load
	limit     float64 // of the quota, requests a second
	hotServer string
	row       Row
}

// Run runs the plan.
func Run(ctx context.Context, plan *Plan) (Row, error) {
	limit := limitPerServer * float64(plan.Servers)
	settings := quota.Config{
		LeaseSeconds:  leaseDuration.Seconds(),
		FloorFraction: floorFraction,
		MaxServers:    plan.Servers,
		Limits:        []quota.Limit{{Name: tenantName, Max: limit}},
	}
	r := &experiment{
		Plan:  plan,
		limit: limit,
		row: Row{
			Seed:          plan.Seed,
			Servers:       plan.Servers,
			AllowedExcess: settings.MaxBurst(&settings.Limits[0]),
		},
	}
	if err := r.startFleet(ctx); err != nil {
		return r.row, fmt.Errorf("seed %d: %w", plan.Seed, err)
	}
	defer r.fleet.Close()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	r.load = r.fleet.StartLoad(loadCtx, tenantName)
	if err := r.measureHealthy(ctx); err != nil {
		return r.row, fmt.Errorf("seed %d: %w", plan.Seed, err)
	}
	r.measureShift()
	r.measurePartition(ctx)
	r.injectFaults(ctx)
	r.measureHealed(ctx)
	stopLoad()
	r.load.Wait()
	r.row.Requests, r.row.Finished, _ = r.load.Counts()
	r.row.MaxExcess = r.load.MaxExcess(limit, r.fleet.Names...)
	return r.row, ctx.Err()
}

// startFleet starts the processes.
func (r *experiment) startFleet(ctx context.Context) (err error) {
	shape := faultinjection.SmallShape(r.Program)
	shape.Log = r.Log
	r.fleet, err = faultinjection.Start(ctx, faultinjection.Config{
		Shape:   shape,
		Servers: r.Servers,
		Voters:  voters,
		Seed:    r.Seed,
		Tenants: []simulator.Tenant{{Name: tenantName, RatePerS: 1e6}},
		ExtraSettings: fmt.Sprintf("door on\nfleet-lease %s\nfleet-behind 2s\nbudget tenant/%s=%g\nbudget-servers %d\n",
			leaseDuration, tenantName, r.limit, r.Servers),
	})
	return err
}

// measureHealthy waits until the quota is used, and measures use and gossip without faults.
func (r *experiment) measureHealthy(ctx context.Context) error {
	names := r.fleet.Names
	r.shiftDemand(names[len(names)-1])
	if !r.waitForRate(0.8 * r.limit) {
		return fmt.Errorf("the quota is not used after %s: %.1f of %.0f a second",
			settleTimeout, r.finishRate(rateWindow), r.limit)
	}
	sentBefore := r.fleet.BytesSent()
	from := time.Now()
	r.row.UsedShare = r.measureUsedShare(ctx, measurePeriod)
	sent := float64(r.fleet.BytesSent() - sentBefore)
	r.row.GossipBytesPerSecond = sent / time.Since(from).Seconds() / float64(r.Servers)
	return nil
}

// measureShift moves the demand, and measures how soon the quota follows.
func (r *experiment) measureShift() {
	from := time.Now()
	r.shiftDemand(r.fleet.Names[0])
	faultinjection.WaitUntil(settleTimeout, func() bool { return r.load.Rate(r.hotServer, time.Second) > r.limit/2 })
	r.row.ShiftMillis = float64(time.Since(from).Milliseconds())
}

// measureHealed measures use once all faults are healed.
func (r *experiment) measureHealed(ctx context.Context) {
	names := r.fleet.Names
	r.fleet.Net.Heal()
	r.shiftDemand(names[len(names)-1])
	r.waitForRate(0.9 * r.limit)
	r.row.UsedShareHealed = r.measureUsedShare(ctx, measurePeriod)
}

// waitForRate waits until all servers together finish more requests a second, and reports whether
// they did in time.
func (r *experiment) waitForRate(rate float64) bool {
	return faultinjection.WaitUntil(settleTimeout, func() bool { return r.finishRate(rateWindow) > rate })
}

// shiftDemand gives one server far more demand than the quota, and the others less than an even
// share.
func (r *experiment) shiftDemand(to string) {
	r.hotServer = to
	r.load.SetRate(idleDemand, r.fleet.Names...)
	r.load.SetRate(hotDemandRatio*r.limit, to)
}

// finishRate returns the requests a second that all servers finished in the last time.
func (r *experiment) finishRate(lately time.Duration) (sum float64) {
	for _, name := range r.fleet.Names {
		sum += r.load.Rate(name, lately)
	}
	return sum
}

// measureUsedShare returns the share of the quota that is used during that time.
func (r *experiment) measureUsedShare(ctx context.Context, length time.Duration) float64 {
	from := time.Now()
	timing.Sleep(ctx, length)
	return r.load.RateBetween(from, time.Now(), r.fleet.Names...) / r.limit
}

// measurePartition cuts off one server with demand, and measures its use once its lease is over.
func (r *experiment) measurePartition(ctx context.Context) {
	network := r.fleet.Net
	name := r.fleet.Names[len(r.fleet.Names)-2]
	r.load.SetRate(r.limit, name)
	others := slices.DeleteFunc(slices.Clone(r.fleet.Names), func(other string) bool { return other == name })
	network.Partition(others, []string{name})
	timing.Sleep(ctx, leaseDuration+time.Second)
	from := time.Now()
	timing.Sleep(ctx, measurePeriod)
	floor := floorFraction * r.limit / float64(r.Servers)
	r.row.CutOffService = r.load.RateBetween(from, time.Now(), name) / floor
	network.Heal()
	r.load.SetRate(idleDemand, name)
}
