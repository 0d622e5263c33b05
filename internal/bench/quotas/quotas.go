// Package quotas is an experiment on a quota that all servers of a fleet share. Real server
// processes receive more demand than the quota allows, at changing servers, while they are killed,
// paused and partitioned as drawn from a seed. The finished requests, as counted by their clients,
// are compared with the quota.
//
// Run owns the processes of an experiment and must not be called concurrently.
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

// Fault names a kind of fault.
type Fault string

// The kinds of faults.
const (
	FaultKillServer  Fault = "kill"    // a server is killed and restarted
	FaultKillLeader  Fault = "leader"  // the leader is killed and restarted
	FaultPause       Fault = "stop"    // a server is paused for a while
	FaultPartition   Fault = "cut"     // a minority of the servers is partitioned from the others
	FaultCutIncoming Fault = "one-way" // a server receives no messages from other servers
	FaultLoss        Fault = "loss"    // all links lose and duplicate messages
	FaultDemandShift Fault = "jump"    // most of the demand moves to another server
	FaultKillVoters  Fault = "voters"  // all voters are killed and then restarted
	anyFault         Fault = ""        // each fault is drawn from FaultKinds
)

// FaultKinds lists all kinds of faults.
var FaultKinds = []Fault{
	FaultKillServer, FaultKillLeader, FaultPause, FaultPartition, FaultCutIncoming, FaultLoss, FaultDemandShift,
	FaultKillVoters,
}

// Plan describes an experiment.
type Plan struct {
	Program string
	Servers int
	Seconds float64 // how long faults are injected
	Fault   Fault   // the only kind of fault to inject; "" draws each from FaultKinds
	Seed    uint64
	Log     io.Writer
}

// Validate returns an error if a value is out of range.
func (p *Plan) Validate() error {
	if p.Servers < 3 || p.Servers > 30 || p.Seconds < 2 || p.Seconds > 600 ||
		p.Fault != anyFault && !slices.Contains(FaultKinds, p.Fault) {
		return fmt.Errorf("--servers %d --seconds %g --fault %q: must be from 3 to 30, from 2 to 600, "+
			"and empty or one of %v", p.Servers, p.Seconds, p.Fault, FaultKinds)
	}
	return nil
}

// Row is the result of an experiment.
type Row struct {
	Seed     uint64 `json:"seed"`
	Servers  int    `json:"servers"`
	Faults   int    `json:"faults"`
	Requests int    `json:"asked"`
	Finished int    `json:"finished"`
	// MaxExcess is the maximum, over all intervals, of the finished requests beyond the quota.
	MaxExcess     float64 `json:"overspend_max"`
	AllowedExcess float64 `json:"slack"`          // upper bound of MaxExcess that the quota guarantees
	UsedShare     float64 `json:"used_of_budget"` // used share of the quota, without faults
	// DemandShiftMillis is the time from a shift of most of the demand to another server until that
	// server uses half of the quota.
	DemandShiftMillis float64 `json:"hot_share_after_ms"`
	// PartitionedService is the rate of a server that has been partitioned for longer than a lease,
	// as a multiple of its floor.
	PartitionedService   float64 `json:"silent_service"`
	UsedShareAfterHeal   float64 `json:"used_of_budget_after"` // used share of the quota after all faults
	GossipBytesPerSecond float64 `json:"talk_bytes_s"`         // gossip sent per server, without faults
}

// Columns are the column heads for Row.Cells.
var Columns = []string{
	"seed", "servers", "faults", "asked", "finished", "over", "slack", "used", "hot ms", "silent", "after", "B/s",
}

// Cells returns the row's table cells, in the order of Columns.
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
		fmt.Sprintf("%.0f", r.DemandShiftMillis),
		fmt.Sprintf("%.2f", r.PartitionedService),
		fmt.Sprintf("%.3f", r.UsedShareAfterHeal),
		fmt.Sprintf("%.0f", r.GossipBytesPerSecond),
	}
}

// minHealedShare is the share of the quota that must be used after all faults are healed.
const minHealedShare = 0.8

// Violations returns the number of violated invariants: the quota is not exceeded by more than
// AllowedExcess, a partitioned server keeps serving, and the quota is used again after the faults.
func (r Row) Violations() (count int) {
	for _, violated := range []bool{
		r.MaxExcess > r.AllowedExcess,
		r.PartitionedService == 0,
		r.UsedShareAfterHeal < minHealedShare,
	} {
		if violated {
			count++
		}
	}
	return count
}

const (
	tenantName          = "acme"
	limitPerServer      = 12.0 // requests per second that each server adds to the quota
	floorFraction       = 0.1
	leaseDuration       = 2 * time.Second
	voters              = 3
	hotDemandFactor     = 4.0 // demand at the hot server, as a multiple of the quota
	baseDemandPerServer = limitPerServer / 3
	settleTimeout       = 30 * time.Second // bounds the wait until servers use the quota
	measurePeriod       = 6 * time.Second
	rateWindow          = 2 * time.Second
)

// experiment is one run of a plan.
type experiment struct {
	*Plan
	fleet     *faultinjection.Fleet
	load      *faultinjection.Load
	limit     float64 // the quota, in requests per second
	hotServer string  // server that has most of the demand
	row       Row
}

// Run runs the experiment.
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

// startFleet starts the server processes.
func (r *experiment) startFleet(ctx context.Context) (err error) {
	processConfig := faultinjection.SmallProcessConfig(r.Program)
	processConfig.Log = r.Log
	r.fleet, err = faultinjection.Start(ctx, faultinjection.Config{
		ProcessConfig: processConfig,
		Servers:       r.Servers,
		Voters:        voters,
		Seed:          r.Seed,
		Tenants:       []simulator.Tenant{{Name: tenantName, RatePerS: 1e6}},
		ExtraSettings: fmt.Sprintf("door on\nfleet-lease %s\nfleet-behind 2s\nbudget tenant/%s=%g\nbudget-servers %d\n",
			leaseDuration, tenantName, r.limit, r.Servers),
	})
	return err
}

// measureHealthy waits until most of the quota is used, and then measures the used share and the
// gossip traffic without faults.
func (r *experiment) measureHealthy(ctx context.Context) error {
	names := r.fleet.Names
	r.shiftDemand(names[len(names)-1])
	if !r.waitForRate(0.8 * r.limit) {
		return fmt.Errorf("the servers do not use the quota after %s: %.1f of %.0f requests per second",
			settleTimeout, r.finishRate(rateWindow), r.limit)
	}
	sentBefore := r.fleet.BytesSent()
	from := time.Now()
	r.row.UsedShare = r.measureUsedShare(ctx, measurePeriod)
	sent := float64(r.fleet.BytesSent() - sentBefore)
	r.row.GossipBytesPerSecond = sent / time.Since(from).Seconds() / float64(r.Servers)
	return nil
}

// measureShift moves the demand to another server and measures how soon the quota follows it.
func (r *experiment) measureShift() {
	from := time.Now()
	r.shiftDemand(r.fleet.Names[0])
	faultinjection.WaitUntil(settleTimeout, func() bool { return r.load.Rate(r.hotServer, time.Second) > r.limit/2 })
	r.row.DemandShiftMillis = float64(time.Since(from).Milliseconds())
}

// measureHealed heals all links and measures the used share of the quota.
func (r *experiment) measureHealed(ctx context.Context) {
	names := r.fleet.Names
	r.fleet.Net.Heal()
	r.shiftDemand(names[len(names)-1])
	r.waitForRate(0.9 * r.limit)
	r.row.UsedShareAfterHeal = r.measureUsedShare(ctx, measurePeriod)
}

// waitForRate waits until all servers together finish more requests per second than the given rate,
// and reports whether they did within settleTimeout.
func (r *experiment) waitForRate(rate float64) bool {
	return faultinjection.WaitUntil(settleTimeout, func() bool { return r.finishRate(rateWindow) > rate })
}

// shiftDemand gives one server, the hot one, far more demand than the quota, and each other server
// less than its even share of the quota.
func (r *experiment) shiftDemand(to string) {
	r.hotServer = to
	r.load.SetRate(baseDemandPerServer, r.fleet.Names...)
	r.load.SetRate(hotDemandFactor*r.limit, to)
}

// finishRate returns the requests per second that all servers together finished during the latest
// window.
func (r *experiment) finishRate(window time.Duration) (sum float64) {
	for _, name := range r.fleet.Names {
		sum += r.load.Rate(name, window)
	}
	return sum
}

// measureUsedShare returns the share of the quota that is used from now on for the given duration.
func (r *experiment) measureUsedShare(ctx context.Context, length time.Duration) float64 {
	from := time.Now()
	timing.Sleep(ctx, length)
	return r.load.RateBetween(from, time.Now(), r.fleet.Names...) / r.limit
}

// measurePartition partitions one server that has demand from all others, and measures its rate
// after its lease has expired.
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
	r.row.PartitionedService = r.load.RateBetween(from, time.Now(), name) / floor
	network.Heal()
	r.load.SetRate(baseDemandPerServer, name)
}
