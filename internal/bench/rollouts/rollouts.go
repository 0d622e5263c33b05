// Package rollouts tests the configuration rollouts of a fleet of real processes under load, with
// releases and faults drawn from a seed. It compares the fleet's audit with the log events of the
// processes.
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
	RequestRate float64 // requests per second and server
	Log         io.Writer
}

// Validate returns an error with the values and their limits if one is out of range.
func (p *Plan) Validate() error {
	if p.Servers < 1 || p.Servers > 30 || p.Seconds < 2 || p.Seconds > 600 ||
		p.RequestRate <= 0 || p.RequestRate > 150 {
		return fmt.Errorf("--servers %d --seconds %g --rate %g: "+
			"want servers from 1 to 30, seconds from 2 to 600, rate over 0 and at most 150",
			p.Servers, p.Seconds, p.RequestRate)
	}
	return nil
}

// Row is the result of an experiment.
type Row struct {
	report.RolloutCounts
	AuditMismatches int `json:"audit_disagrees"` // intervals only in the audit or only in the logs
	AuditGaps       int `json:"audit_holes"`     // logged intervals in gaps that the audit reports
	Unhealed        int `json:"unhealed"`        // servers not on the newest version at the end
	report.CatchUpLatency
	CatchUps             int     `json:"catch_ups"`         // number of latency samples
	EjectedAfterMillis   float64 `json:"shut_out_after_ms"` // of a server that can't apply a release; -1 for never
	FinishedShare        float64 `json:"service"`           // finished requests over scheduled requests
	FinishedShareNoFleet float64 `json:"service_alone"`     // the same with the fleet disabled
	GossipBytesPerSecond float64 `json:"talk_bytes_s"`      // sent per server
	CPU                  float64 `json:"cpu_share"`         // cores used per server
	CPUNoFleet           float64 `json:"cpu_share_alone"`
}

// Violations returns the number of violated invariants.
func (r Row) Violations() int {
	return r.ConflictingDigests + r.ServedWhileEjected + r.AuditMismatches + r.Unhealed
}

// Columns are the column heads of the table.
var Columns = []string{
	"seed", "servers", "releases", "faults", "two digests", "acted out", "disagrees", "holes", "unhealed",
	"p50 ms", "p99 ms", "max ms", "out ms", "service", "alone", "talk B/s", "cpu", "alone",
}

// Cells returns the row's table cells, in the order of Columns.
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
		fmt.Sprintf("%.4f", r.FinishedShareNoFleet),
		fmt.Sprintf("%.0f", r.GossipBytesPerSecond),
		fmt.Sprintf("%.4f", r.CPU),
		fmt.Sprintf("%.4f", r.CPUNoFleet),
	}
}

const (
	// shortLeases are settings under which leases expire during an experiment of some seconds.
	shortLeases = faultinjection.ShortLeases + "fleet-wave 500ms\n"
	// conflictingPrefixSetting is a setting of the last server only. The server can't apply
	// releases with another value, because the setting can't be changed while serving.
	conflictingPrefixSetting = "door-prefix-ipv4 16"
	// healTimeout is how long all servers may take to apply the newest version after the last
	// fault: ten leases.
	healTimeout = 20 * time.Second
	// requestTimeout is the timeout of the load's requests.
	requestTimeout = 1500 * time.Millisecond
)

// Run runs the experiment twice, with the fleet enabled and disabled, and returns the combined
// result.
func Run(ctx context.Context, plan *Plan) (Row, error) {
	row, err := runOnce(ctx, plan, true)
	if err != nil {
		return row, fmt.Errorf("seed %d: %w", plan.Seed, err)
	}
	withoutFleet, err := runOnce(ctx, plan, false)
	row.FinishedShareNoFleet = withoutFleet.FinishedShare
	row.CPUNoFleet = withoutFleet.CPU
	return row, err
}

// period is a time span in which a fault may have delayed a server.
type period struct{ from, to time.Time }

// contains reports whether a time is within the period.
func (p period) contains(at time.Time) bool { return at.After(p.from) && at.Before(p.to) }

// experiment is one of the two runs of a plan.
type experiment struct {
	*Plan
	fleet            *faultinjection.Fleet
	random           *rand.Rand
	serverNames      []string
	row              Row
	pendingFaultEnds []func()       // each returns once its fault has ended
	releasing        sync.WaitGroup // for the submissions of releases

	mu        sync.Mutex
	disturbed map[string][]period         // by server
	released  map[release.Epoch]time.Time // when each release without waves was accepted
}

// runOnce runs the experiment once.
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
	for _, waitForEnd := range r.pendingFaultEnds {
		waitForEnd()
	}
	if !fleetEnabled {
		return r.row, nil
	}
	return r.row, r.verify()
}

// startFleet starts the processes and waits until all have applied an initial version.
func (r *experiment) startFleet(ctx context.Context, fleetEnabled bool) error {
	processConfig := faultinjection.SmallProcessConfig(r.Program)
	processConfig.Log = r.Log
	started, err := faultinjection.Start(ctx, faultinjection.Config{
		ProcessConfig:       processConfig,
		Servers:             r.Servers,
		Voters:              faultinjection.VoterCount(r.Servers),
		ExtraSettings:       shortLeases,
		ExtraSettingsByName: map[string]string{fmt.Sprint("n", r.Servers): conflictingPrefixSetting},
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
		return fmt.Errorf("not all servers applied an initial version within %s", healTimeout)
	}
	return nil
}

// measureLoad injects faults under load, and measures the share of finished requests, the CPU time
// and the gossip traffic.
func (r *experiment) measureLoad(ctx context.Context, fleetEnabled bool) error {
	var addrs []string
	for _, server := range r.fleet.Servers {
		addrs = append(addrs, server.Addr)
	}
	cpuBefore := r.cpuSeconds()
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
	r.row.CPU = (r.cpuSeconds() - cpuBefore) / seconds / float64(r.Servers)
	r.row.GossipBytesPerSecond = float64(r.fleet.BytesSent()-sentBefore) / seconds / float64(r.Servers)
	return nil
}

// cpuSeconds returns the CPU time of all running processes. It lacks the CPU time of killed
// processes.
func (r *experiment) cpuSeconds() (total float64) {
	for _, server := range r.fleet.Servers {
		if seconds, err := server.CPUSeconds(); err == nil {
			total += seconds
		}
	}
	return total
}
