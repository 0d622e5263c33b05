// Package twolevel is an experiment on a fleet of two levels: forwarders, load planners and workers as processes of
// the real program, under a load that is uneven over the forwarders, on workers of uneven size, while planners are
// killed. Each seed runs it three times: with no kills, with kills, and with no planner at all.
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
	// ProgramByName is the binary of single processes, in place of Program.
	ProgramByName map[string]string
	Forwarders    int
	Planners      int
	Workers       int
	Seconds       float64 // of each of the three runs
	KillInterval  float64 // seconds between two kills of planners
	Load          float64 // requested, as a multiple of what the workers can do
	IdleConns     int     // at the first forwarder while its memory is measured; 0 for no measurement
	Seed          uint64
	Log           io.Writer // of the processes; nil for none
}

// Validate returns an error for a number that is out of its range.
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
		"from 1 to 8, 1 to 7, 2 to 16, 3 to 600, 1 on, up to 3, and up to 20000",
		p.Forwarders, p.Planners, p.Workers, p.Seconds, p.KillInterval, p.Load, p.IdleConns)
}

// Row is the result of a seed. Service is the share of the requests that were finished.
type Row struct {
	Seed               uint64  `json:"seed"`
	Asked              int     `json:"asked"`
	Kills              int     `json:"kills"`
	Service            float64 `json:"service"`
	NoKills            float64 `json:"service_no_kills"`
	LocalOnly          float64 `json:"service_local_only"`
	StalePlans         int     `json:"stale_plans_applied"` // a forwarder went back to an earlier term, by its log
	LateAnswers        int     `json:"late_answers"`
	DoubleEffects      int     `json:"double_effects"`
	Unanswered         int     `json:"unanswered"`
	HopP50             float64 `json:"hop_p50_us"` // added by a forwarder to a request, one at a time
	HopP99             float64 `json:"hop_p99_us"`
	Terms              int     `json:"terms"` // in which a planner led
	P99                float64 `json:"p99_ms"`
	P99NoKills         float64 `json:"p99_no_kills_ms"`
	P99LocalOnly       float64 `json:"p99_local_only_ms"`
	ForwarderCPUMicros float64 `json:"forwarder_core_us"` // for each request, with no kills
	ForwarderMB        float64 `json:"forwarder_mb"`      // of the first forwarder, before its load
	ForwarderIdleMB    float64 `json:"forwarder_crowd_mb"`
}

// Columns are the names of the columns of Row.Cells.
var Columns = []string{"seed", "asked", "kills", "service", "no kills", "local only", "stale", "late", "twice",
	"unanswered", "hop p50 us", "hop p99 us", "terms", "p99 ms", "no kills", "local only", "core us", "MB", "crowd MB"}

// Cells returns the row's cells in the table.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf(
		"%d %d %d %.4f %.4f %.4f %d %d %d %d %.0f %.0f %d %.0f %.0f %.0f %.0f %.1f %.1f",
		r.Seed, r.Asked, r.Kills, r.Service, r.NoKills, r.LocalOnly, r.StalePlans, r.LateAnswers, r.DoubleEffects,
		r.Unanswered, r.HopP50, r.HopP99, r.Terms, r.P99, r.P99NoKills, r.P99LocalOnly, r.ForwarderCPUMicros,
		r.ForwarderMB, r.ForwarderIdleMB))
}

// minServiceRatio is the least service with kills, as a share of the service without.
const minServiceRatio = 0.95

// Violations returns the number of invariants that the run broke.
func (r Row) Violations() int {
	broken := []bool{
		r.StalePlans > 0,
		r.LateAnswers > 0,
		r.DoubleEffects > 0,
		r.Unanswered > 0,
		r.Service < minServiceRatio*r.NoKills,
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
