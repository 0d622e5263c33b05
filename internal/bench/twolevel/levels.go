// Package twolevel is an experiment on a fleet of two levels: forwarders, planners and workers as processes of the real program, under a load that is
// uneven over forwarders, on workers that are uneven too, while planners are killed. Each seed plays it three times: with no kills, with kills, and with no
// planner at all.
package twolevel

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/wire/simulator"
)

// Plan is one run.
type Plan struct {
	Program      string
	Forwarders   int
	Planners     int
	Workers      int
	Seconds      float64 // of each of the three
	KillInterval float64 // seconds between two kills of planners
	Load         float64 // asked for, over what the workers can do
	IdleConns    int     // connections that say nothing at the first forwarder while its memory is measured; 0 for not
	Seed         uint64
	Log          io.Writer
}

// Validate tells what is wrong with a plan.
func (p *Plan) Validate() error {
	if p.Forwarders < 1 || p.Forwarders > 8 || p.Planners < 1 || p.Planners > 7 || p.Workers < 2 || p.Workers > 16 || p.Seconds < 3 || p.Seconds > 600 ||
		p.KillInterval < 1 || p.IdleConns < 0 || p.IdleConns > 20_000 || p.Load <= 0 || p.Load > 3 {
		return fmt.Errorf("--forwarders %d --planners %d --workers %d --seconds %g --kill-every %g --load %g --crowd %d: from 1 to 8, 1 to 7, 2 to 16, 3 to 600, 1 on, up to 3, and up to 20000",
			p.Forwarders, p.Planners, p.Workers, p.Seconds, p.KillInterval, p.Load, p.IdleConns)
	}
	return nil
}

// Row is what a seed came to. Service is the part of what was asked for that was finished.
type Row struct {
	Seed               uint64  `json:"seed"`
	Asked              int     `json:"asked"`
	Kills              int     `json:"kills"`
	Service            float64 `json:"service"`
	NoKills            float64 `json:"service_no_kills"`
	LocalOnly          float64 `json:"service_local_only"`
	StalePlans         int     `json:"stale_plans_applied"` // a forwarder went back to a term before, by its log
	LateAnswers        int     `json:"late_answers"`
	DoubleEffects      int     `json:"double_effects"`
	Unanswered         int     `json:"unanswered"`
	HopP50             float64 `json:"hop_p50_us"` // that a task takes longer through a forwarder than at a worker, one at a time
	HopP99             float64 `json:"hop_p99_us"`
	Terms              int     `json:"terms"` // in which planners led
	P99                float64 `json:"p99_ms"`
	P99NoKills         float64 `json:"p99_no_kills_ms"`
	P99LocalOnly       float64 `json:"p99_local_only_ms"`
	ForwarderCPUMicros float64 `json:"forwarder_core_us"` // of a core that a task takes at its forwarder, with no kills
	ForwarderMB        float64 `json:"forwarder_mb"`      // of the first forwarder, before its load
	ForwarderIdleMB    float64 `json:"forwarder_crowd_mb"`
}

// Columns and Cells are those of the table.
var Columns = []string{"seed", "asked", "kills", "service", "no kills", "local only", "stale", "late", "twice", "unanswered", "hop p50 us", "hop p99 us", "terms",
	"p99 ms", "no kills", "local only", "core us", "MB", "crowd MB"}

// Cells are a row's in the table.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %d %.4f %.4f %.4f %d %d %d %d %.0f %.0f %d %.0f %.0f %.0f %.0f %.1f %.1f", r.Seed, r.Asked, r.Kills, r.Service, r.NoKills, r.LocalOnly,
		r.StalePlans, r.LateAnswers, r.DoubleEffects, r.Unanswered, r.HopP50, r.HopP99, r.Terms, r.P99, r.P99NoKills, r.P99LocalOnly, r.ForwarderCPUMicros, r.ForwarderMB, r.ForwarderIdleMB))
}

// Violations counts what must not be.
func (r Row) Violations() (n int) {
	for _, bad := range []bool{r.StalePlans > 0, r.LateAnswers > 0, r.DoubleEffects > 0, r.Unanswered > 0, r.Service < 0.95*r.NoKills} {
		if bad {
			n++
		}
	}
	return n
}

const (
	pay      = "pay" // a stage whose tasks must never run twice
	workFor  = 0.02  // seconds of a task
	settles  = 20 * time.Second
	warmsFor = 3 * time.Second // of load before it is measured
	lastWait = 5 * time.Second // for what is out at the end
	hopTasks = 300
)

// cores are those of a worker: one in four has a quarter of what the others have, and one half.
func cores(i int) int { return []int{4, 1, 4, 2}[i%4] }

// Run plays a seed.
func Run(ctx context.Context, p *Plan) (Row, error) {
	row := Row{Seed: p.Seed}
	for _, what := range []kind{noKills, kills, localOnly} {
		if err := play(ctx, p, what, &row); err != nil {
			return row, fmt.Errorf("seed %d, %s: %w", p.Seed, what, err)
		}
	}
	return row, ctx.Err()
}

type kind string

const (
	noKills   kind = "no kills"
	kills     kind = "kills"
	localOnly kind = "local only"
)

func play(ctx context.Context, p *Plan, what kind, row *Row) error {
	shape := faultinjection.SmallShape(p.Program)
	shape.Log = p.Log
	shape.Settings.Classes = append(shape.Settings.Classes, simulator.Class{Name: pay, Idempotency: "at_most_once", TimeoutMs: 2000, SoftDeadlineMs: 1000, Value: 3, LateValue: 0.5})
	shape.Descriptors = 512
	worker := shape
	if shape.Descriptors += 2 * p.IdleConns; p.IdleConns > 0 {
		shape.MemoryMB = 192
	}
	can := 0.0
	worker.ExecutorOf = func(name string) executor.Config {
		i, _ := strconv.Atoi(strings.TrimLeft(name, "n"))
		n := cores(i)
		return executor.Config{Cores: n, CPUSeconds: func(string, string) float64 { return workFor },
			Gauges: func(busy, waiting int) []float64 {
				return []float64{float64(busy) / float64(n), float64(busy + waiting)}
			}}
	}
	for i := range p.Workers {
		can += float64(cores(i+1)) / workFor
	}
	f, err := faultinjection.Start(ctx, faultinjection.Config{Shape: shape, WorkerShape: worker, Planners: p.Planners, Forwarders: p.Forwarders, Workers: p.Workers, Seed: p.Seed,
		RunLog: faultinjection.NewRunLog(), ExtraSettings: "fleet-lease 2s\nfleet-behind 2s\n"})
	if err != nil {
		return err
	}
	defer f.Close()
	if what == localOnly {
		for _, name := range f.PlannerNames() {
			f.Server(name).Kill()
		}
	} else if !faultinjection.WaitUntil(settles, func() bool { return len(f.Events("", "load_planner_changed")) >= p.Forwarders }) {
		return fmt.Errorf("forwarders have no plan after %s", settles)
	}
	asking, end := context.WithCancel(ctx)
	defer end()
	d := f.StartLoad(asking, "")
	d.Classes = []string{faultinjection.PingClass, pay}
	if what == noKills {
		if err := hop(ctx, f, row); err != nil {
			return err
		}
		if err := crowd(f, p.IdleConns, row); err != nil {
			return err
		}
	}
	// Half of the load is the first forwarder's.
	for i, name := range f.ForwarderNames() {
		part := 0.5 / float64(max(1, p.Forwarders-1))
		if i == 0 {
			part = 0.5
		}
		if p.Forwarders == 1 {
			part = 1
		}
		d.SetRate(part*p.Load*can, name)
	}
	pause(ctx, warmsFor)
	used := work(f)
	asked, finished, _ := d.Counts()
	asked -= d.UnansweredCount() // what is out counts from here on
	chance := rand.New(rand.NewPCG(p.Seed, 9))
	for until := time.Now().Add(time.Duration(p.Seconds * float64(time.Second))); time.Now().Before(until) && ctx.Err() == nil; {
		pause(ctx, time.Duration(p.KillInterval*float64(time.Second)))
		if what == kills {
			if err := kill(ctx, f, chance, row); err != nil {
				return err
			}
		}
	}
	d.SetRate(0, f.Names...)
	faultinjection.WaitUntil(lastWait, func() bool { return d.UnansweredCount() == 0 })
	used = work(f) - used
	asked2, finished2, _ := d.Counts()
	service := float64(finished2-finished) / float64(max(1, asked2-asked))
	row.Asked += asked2
	row.LateAnswers += d.LateCount()
	row.Unanswered += d.UnansweredCount()
	row.DoubleEffects += f.RunLog.CountRepeated(pay)
	p99 := 0.0
	if took := d.Latencies(); len(took) > 0 {
		p99 = float64(took[len(took)*99/100].Microseconds()) / 1000
	}
	switch what {
	case noKills:
		row.NoKills, row.P99NoKills = service, p99
		row.ForwarderCPUMicros = 1e6 * used / float64(max(1, finished2-finished))
	case kills:
		row.Service, row.P99 = service, p99
		row.Terms = len(f.Events("", "load_planner_started"))
		row.StalePlans = stale(f)
	case localOnly:
		row.LocalOnly, row.P99LocalOnly = service, p99
	}
	end()
	d.Wait()
	return nil
}

// kill kills one planner, as often as not the one that leads, now and then all of them; or one is stopped for some seconds and goes on with what it had.
func kill(ctx context.Context, f *faultinjection.Fleet, chance *rand.Rand, row *Row) error {
	names := f.PlannerNames()
	switch which := names[chance.IntN(len(names))]; chance.IntN(5) {
	case 0:
		row.Kills += len(names)
		for _, name := range names {
			f.Server(name).Kill()
		}
		for _, name := range names {
			if err := f.Restart(ctx, name); err != nil {
				return err
			}
		}
	case 1:
		row.Kills++
		if err := f.Pause(which); err != nil {
			return err
		}
		pause(ctx, time.Duration((1+3*chance.Float64())*float64(time.Second)))
		return f.Resume(which)
	default:
		if said := f.Events("", "load_planner_started"); len(said) > 0 && chance.IntN(2) == 0 {
			which = said[len(said)-1].Name
		}
		row.Kills++
		return f.KillAndRestart(ctx, which)
	}
	return nil
}

// stale counts how often a forwarder took a plan of a term before that of the one it had, by the lines that it writes with each new term.
func stale(f *faultinjection.Fleet) (n int) {
	for _, name := range f.ForwarderNames() {
		var was [2]uint64
		for _, s := range f.Events(name, "load_planner_changed") {
			clusterID, _ := strconv.ParseUint(s.Fields["cluster_id"], 10, 64)
			term, _ := strconv.ParseUint(s.Fields["term"], 10, 64)
			if clusterID < was[0] || clusterID == was[0] && term < was[1] {
				n++
			}
			was = [2]uint64{clusterID, term}
		}
	}
	return n
}

// hop measures tasks one at a time, at a worker and through a forwarder.
func hop(ctx context.Context, f *faultinjection.Fleet, row *Row) error {
	direct, err := f.MeasureSequential(ctx, f.WorkerServers[0].Addr, hopTasks)
	if err != nil {
		return err
	}
	through, err := f.MeasureSequential(ctx, f.Server(f.ForwarderNames()[0]).Addr, hopTasks)
	if err != nil {
		return err
	}
	at := func(part int) float64 {
		return float64((through[len(through)*part/100] - direct[len(direct)*part/100]).Microseconds())
	}
	row.HopP50, row.HopP99 = at(50), at(99)
	return nil
}

// work is how many seconds of a core all forwarders have used.
func work(f *faultinjection.Fleet) (sum float64) {
	for _, name := range f.ForwarderNames() {
		if used, err := f.Server(name).CPUSeconds(); err == nil {
			sum += used
		}
	}
	return sum
}

// crowd measures the first forwarder's memory, without and with connections that say nothing.
func crowd(f *faultinjection.Fleet, n int, row *Row) error {
	s := f.Server(f.ForwarderNames()[0])
	before, err := s.ResidentBytes()
	if err != nil {
		return err
	}
	row.ForwarderMB = float64(before) / (1 << 20)
	if n == 0 {
		return nil
	}
	w, err := balancer.OpenIdle(s.Addr, n, false)
	if err != nil {
		return err
	}
	defer w.Close()
	after, err := s.ResidentBytes()
	row.ForwarderIdleMB = float64(after) / (1 << 20)
	if err == nil && w.Len() < n*9/10 {
		err = fmt.Errorf("of %d connections %d stand", n, w.Len())
	}
	return err
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
