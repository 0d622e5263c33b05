// Package rollouts is an experiment on a fleet's configuration rollouts: processes of the real
// program under load, with releases and faults drawn from a seed. The fleet's audit is compared
// with what the processes logged as they did it.
//
// Run owns the processes of an experiment; it may be called by one goroutine at a time.
package rollouts

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/loadgen"
	"swiftcourse/internal/bench/report"
	"swiftcourse/internal/policy/release"
)

// Plan is one experiment.
type Plan struct {
	Program     string
	Servers     int
	Seconds     float64
	Seed        uint64
	NoFaults    bool
	RequestRate float64 // requests a second and server
	Log         io.Writer
}

// Validate returns an error that names the limits if a value is outside of them.
func (p *Plan) Validate() error {
	if p.Servers < 1 || p.Servers > 30 || p.Seconds < 2 || p.Seconds > 600 ||
		p.RequestRate <= 0 || p.RequestRate > 150 {
		return fmt.Errorf("--servers %d --seconds %g --rate %g: from 1 to 30, from 2 to 600, and over 0 to 150",
			p.Servers, p.Seconds, p.RequestRate)
	}
	return nil
}

// Row is the result of an experiment.
type Row struct {
	report.RolloutCounts
	AuditMismatches int `json:"audit_disagrees"` // intervals that only the audit or only the servers' logs have
	AuditGaps       int `json:"audit_holes"`     // intervals that the audit says it may lack
	Unhealed        int `json:"unhealed"`        // servers not on the newest version at the end
	report.CatchUpLatency
	CatchUps             int     `json:"catch_ups"`         // samples of the latency
	EjectedAfterMillis   float64 `json:"shut_out_after_ms"` // of a server that can't apply a release; -1 for never
	FinishedShare        float64 `json:"service"`           // of the requests that were due
	FinishedShareAlone   float64 `json:"service_alone"`     // the same seed with the fleet disabled
	GossipBytesPerSecond float64 `json:"talk_bytes_s"`      // sent by a server
	CPU                  float64 `json:"cpu_share"`         // of a core, for a server
	CPUAlone             float64 `json:"cpu_share_alone"`
}

// Violations counts what breaks an invariant.
func (r Row) Violations() int {
	return r.ConflictingDigests + r.ServedWhileEjected + r.AuditMismatches + r.Unhealed
}

// Columns are the heads of the table.
var Columns = []string{
	"seed", "servers", "releases", "faults", "two digests", "acted out", "disagrees", "holes", "unhealed",
	"p50 ms", "p99 ms", "max ms", "out ms", "service", "alone", "talk B/s", "cpu", "alone",
}

// Cells returns the row for the table.
func (r Row) Cells() []string {
	return []string{
		strconv.FormatUint(r.Seed, 10),
		strconv.Itoa(r.Servers),
		strconv.Itoa(r.Releases),
		strconv.Itoa(r.Faults),
		strconv.Itoa(r.ConflictingDigests),
		strconv.Itoa(r.ServedWhileEjected),
		strconv.Itoa(r.AuditMismatches),
		strconv.Itoa(r.AuditGaps),
		strconv.Itoa(r.Unhealed),
		fmt.Sprintf("%.0f", r.CatchUpP50),
		fmt.Sprintf("%.0f", r.CatchUpP99),
		fmt.Sprintf("%.0f", r.CatchUpMax),
		fmt.Sprintf("%.0f", r.EjectedAfterMillis),
		fmt.Sprintf("%.4f", r.FinishedShare),
		fmt.Sprintf("%.4f", r.FinishedShareAlone),
		fmt.Sprintf("%.0f", r.GossipBytesPerSecond),
		fmt.Sprintf("%.4f", r.CPU),
		fmt.Sprintf("%.4f", r.CPUAlone),
	}
}

const (
	// shortLeases are settings with which a run of seconds sees leases end.
	shortLeases = faultinjection.ShortLeases + "fleet-wave 500ms\n"
	// otherPrefix is set at the last server alone: it can't apply releases of this setting.
	otherPrefix = "door-prefix-ipv4 16"
	// healTimeout is how long a fleet has to agree after the last fault: ten leases.
	healTimeout = 20 * time.Second
	// requestTimeout is that of the load's requests.
	requestTimeout = 1500 * time.Millisecond
)

// Run runs the plan twice, with the fleet enabled and disabled.
func Run(ctx context.Context, plan *Plan) (Row, error) {
	row, err := runOnce(ctx, plan, true)
	if err != nil {
		return row, fmt.Errorf("seed %d: %w", plan.Seed, err)
	}
	alone, err := runOnce(ctx, plan, false)
	row.FinishedShareAlone = alone.FinishedShare
	row.CPUAlone = alone.CPU
	return row, err
}

// period is a time in which a fault may have delayed a server.
type period struct{ from, to time.Time }

// contains reports whether a time is in the period.
func (p period) contains(at time.Time) bool { return at.After(p.from) && at.Before(p.to) }

// experiment is one of a plan's two runs.
type experiment struct {
	*Plan
	fleet       *faultinjection.Fleet
	random      *rand.Rand
	serverNames []string
	row         Row
	pendingUndo []func()       // each waits for the end of a fault
	releasing   sync.WaitGroup // of the releases that are submitted

	mu        sync.Mutex
	disturbed map[string][]period         // by server
	released  map[release.Epoch]time.Time // when each release to all was accepted
}

// runOnce runs the plan once.
func runOnce(ctx context.Context, plan *Plan, fleetEnabled bool) (Row, error) {
	r := &experiment{
		Plan:      plan,
		random:    rand.New(rand.NewPCG(plan.Seed, 11)),
		disturbed: map[string][]period{},
		released:  map[release.Epoch]time.Time{},
		row:       Row{RolloutCounts: report.RolloutCounts{Seed: plan.Seed, Servers: plan.Servers}},
	}
	if err := r.startFleet(ctx, fleetEnabled); err != nil {
		return r.row, err
	}
	defer r.fleet.Close()
	if err := r.measureLoad(ctx, fleetEnabled); err != nil {
		return r.row, err
	}
	for _, undo := range r.pendingUndo {
		undo()
	}
	if !fleetEnabled {
		return r.row, nil
	}
	return r.row, r.verify()
}

// startFleet starts the processes and waits until all have applied a first version.
func (r *experiment) startFleet(ctx context.Context, fleetEnabled bool) error {
	shape := faultinjection.SmallShape(r.Program)
	shape.Log = r.Log
	started, err := faultinjection.Start(ctx, faultinjection.Config{
		Shape:               shape,
		Servers:             r.Servers,
		Voters:              faultinjection.VoterCount(r.Servers),
		ExtraSettings:       shortLeases,
		ExtraSettingsByName: map[string]string{fmt.Sprint("n", r.Servers): otherPrefix},
		Seed:                r.Seed,
		FleetDisabled:       !fleetEnabled,
	})
	if err != nil {
		return err
	}
	r.fleet = started
	r.serverNames = started.Names
	isReady := func() bool { return started.AllActiveOn(1, started.Names...) }
	if fleetEnabled && !faultinjection.WaitUntil(healTimeout, isReady) {
		started.Close()
		return fmt.Errorf("no first version within %s", healTimeout)
	}
	return nil
}

// measureLoad injects faults under load, and measures service and cost.
func (r *experiment) measureLoad(ctx context.Context, fleetEnabled bool) error {
	var addrs []string
	for _, server := range r.fleet.Servers {
		addrs = append(addrs, server.Addr)
	}
	cpuBefore := r.processorSeconds()
	sentBefore := r.fleet.BytesSent()
	from := time.Now()
	load, err := loadgen.Start(ctx, loadgen.Config{
		Addresses:      addrs,
		ConnsPerServer: 2,
		Rate:           r.RequestRate * float64(r.Servers),
		Class:          faultinjection.PingClass,
		Timeout:        requestTimeout,
		Seed:           r.Seed,
	})
	if err != nil {
		return err
	}
	r.injectFaults(ctx, fleetEnabled)
	stats := load.Stop()
	seconds := time.Since(from).Seconds()
	r.row.FinishedShare = float64(stats.Finished) / float64(max(1, stats.Sent+stats.Unsent))
	r.row.CPU = (r.processorSeconds() - cpuBefore) / seconds / float64(r.Servers)
	r.row.GossipBytesPerSecond = float64(r.fleet.BytesSent()-sentBefore) / seconds / float64(r.Servers)
	return nil
}

// processorSeconds returns the processor time of all processes. It is too low after a kill: a
// killed process takes its own along.
func (r *experiment) processorSeconds() (total float64) {
	for _, server := range r.fleet.Servers {
		if seconds, err := server.CPUSeconds(); err == nil {
			total += seconds
		}
	}
	return total
}
