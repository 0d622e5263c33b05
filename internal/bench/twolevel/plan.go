// Package twolevel tests a fleet of two levels with real processes: forwarders and load planners,
// and workers behind them. The load is uneven over the forwarders, and the workers differ in size.
// Each seed has three runs: without kills, with kills of planners, and without planners.
package twolevel

import (
	"context"
	"fmt"
	"io"
	"strings"
)

// Plan is the experiment for one seed.
type Plan struct {
	Program string // path of the server's binary
	// ProgramByName has the binaries of processes that do not run Program, by process name.
	ProgramByName map[string]string
	Forwarders    int
	Planners      int
	Workers       int
	Seconds       float64 // duration of each of the three runs
	KillInterval  float64 // seconds between two faults of planners
	Load          float64 // offered load, as a multiple of the workers' capacity
	IdleConns     int     // idle connections at the first forwarder for a memory measurement; 0 for none
	Seed          uint64
	Log           io.Writer // receives the logs of the processes; nil for none
}

// Validate returns an error with the values and their limits if one is out of range.
func (p *Plan) Validate() error {
	inRange := p.Forwarders >= 1 && p.Forwarders <= 8 &&
		p.Planners >= 1 && p.Planners <= 7 &&
		p.Workers >= 2 && p.Workers <= 16 &&
		p.Seconds >= 3 && p.Seconds <= 600 &&
		p.KillInterval >= 1 &&
		p.Load > 0 && p.Load <= 3 &&
		p.IdleConns >= 0 && p.IdleConns <= 20_000
	if inRange {
		return nil
	}
	return fmt.Errorf("--forwarders %d --planners %d --workers %d --seconds %g --kill-every %g --load %g --crowd %d: "+
		"want forwarders from 1 to 8, planners from 1 to 7, workers from 2 to 16, seconds from 3 to 600, "+
		"kill-every at least 1, load over 0 and at most 3, crowd from 0 to 20000",
		p.Forwarders, p.Planners, p.Workers, p.Seconds, p.KillInterval, p.Load, p.IdleConns)
}

// Row is the result of the three runs of a seed. FinishedShare, FinishedShareNoKills and
// FinishedShareLocalOnly are the shares of finished requests in the runs with kills, without kills
// and without planners.
type Row struct {
	Seed                   uint64  `json:"seed"`
	Requests               int     `json:"asked"`
	Kills                  int     `json:"kills"` // kills and pauses of planners
	FinishedShare          float64 `json:"service"`
	FinishedShareNoKills   float64 `json:"service_no_kills"`
	FinishedShareLocalOnly float64 `json:"service_local_only"`
	StalePlans             int     `json:"stale_plans_applied"` // switches of a forwarder to a plan of an earlier term
	LateAnswers            int     `json:"late_answers"`
	RepeatedRuns           int     `json:"double_effects"`
	Unanswered             int     `json:"unanswered"`
	HopP50                 float64 `json:"hop_p50_us"` // latency that a forwarder adds to sequential requests
	HopP99                 float64 `json:"hop_p99_us"`
	Terms                  int     `json:"terms"` // number of elections of a leading planner
	P99                    float64 `json:"p99_ms"`
	P99NoKills             float64 `json:"p99_no_kills_ms"`
	P99LocalOnly           float64 `json:"p99_local_only_ms"`
	ForwarderCPUMicros     float64 `json:"forwarder_core_us"` // CPU time per request, without kills
	ForwarderMB            float64 `json:"forwarder_mb"`      // resident memory of the first forwarder before the load
	ForwarderIdleMB        float64 `json:"forwarder_crowd_mb"`
}

// Columns are the column heads of the table.
var Columns = []string{"seed", "asked", "kills", "service", "no kills", "local only", "stale", "late", "twice",
	"unanswered", "hop p50 us", "hop p99 us", "terms", "p99 ms", "no kills", "local only", "core us", "MB", "crowd MB"}

// Cells returns the row's table cells, in the order of Columns.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf(
		"%d %d %d %.4f %.4f %.4f %d %d %d %d %.0f %.0f %d %.0f %.0f %.0f %.0f %.1f %.1f",
		r.Seed, r.Requests, r.Kills, r.FinishedShare, r.FinishedShareNoKills, r.FinishedShareLocalOnly, r.StalePlans,
		r.LateAnswers, r.RepeatedRuns, r.Unanswered, r.HopP50, r.HopP99, r.Terms, r.P99, r.P99NoKills, r.P99LocalOnly,
		r.ForwarderCPUMicros, r.ForwarderMB, r.ForwarderIdleMB))
}

// minServiceRatio is the minimum share of finished requests with kills, relative to the share
// without.
const minServiceRatio = 0.95

// Violations returns the number of violated invariants.
func (r Row) Violations() int {
	broken := []bool{
		r.StalePlans > 0,
		r.LateAnswers > 0,
		r.RepeatedRuns > 0,
		r.Unanswered > 0,
		r.FinishedShare < minServiceRatio*r.FinishedShareNoKills,
	}
	n := 0
	for _, violated := range broken {
		if violated {
			n++
		}
	}
	return n
}

// variant is one of the three runs of a seed.
type variant string

const (
	noKills   variant = "no kills"
	kills     variant = "kills"
	localOnly variant = "local only"
)

// Run runs the three variants of a seed.
func Run(ctx context.Context, p *Plan) (Row, error) {
	row := Row{Seed: p.Seed}
	for _, v := range []variant{noKills, kills, localOnly} {
		if err := p.run(ctx, v, &row); err != nil {
			return row, fmt.Errorf("seed %d, %s: %w", p.Seed, v, err)
		}
	}
	return row, ctx.Err()
}
