// Package readiness measures the time from a server's start until it is healthy and until its
// registry lists it as accepting requests. All servers of a fleet start at once; their executors
// and registries run already, or start later than the servers.
package readiness

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/process"
)

// Plan describes an experiment.
type Plan struct {
	Program  string // path of the server's binary
	Servers  int
	Rounds   int           // simultaneous restarts of all servers, for each row
	Delay    time.Duration // time from the servers' start until the late dependencies start
	Progress io.Writer
}

// Row is the result for one set of late dependencies, over all servers and rounds. Times are in
// seconds.
type Row struct {
	LateDependencies string  `json:"late"` // the late dependencies; "" for none
	DelaySeconds     float64 `json:"late_s"`
	Starts           int     `json:"starts"`
	Ready            Spread  `json:"ready_s"` // from the start until a health check succeeds
	// Listed is the time from the start until the registry knows that the server accepts requests.
	Listed Spread `json:"listed_s"`
}

// Spread summarizes a distribution by the median, the 90th percentile and the maximum.
type Spread struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	Max float64 `json:"max"`
}

// newSpread sorts the values and summarizes them. There must be at least one.
func newSpread(values []float64) Spread {
	slices.Sort(values)
	quantile := func(fraction float64) float64 {
		return values[min(len(values)-1, int(fraction*float64(len(values))))]
	}
	return Spread{P50: quantile(0.5), P90: quantile(0.9), Max: values[len(values)-1]}
}

// Columns are the column heads for Row.Cells.
var Columns = []string{"late", "by s", "starts", "ready p50", "p90", "max", "listed p50", "p90", "max"}

// Cells returns the row's table cells, in the order of Columns.
func (r Row) Cells() []string {
	cells := []string{r.lateName(), fmt.Sprintf("%.1f", r.DelaySeconds), fmt.Sprint(r.Starts)}
	for _, s := range []Spread{r.Ready, r.Listed} {
		cells = append(cells, fmt.Sprintf("%.3f", s.P50), fmt.Sprintf("%.3f", s.P90), fmt.Sprintf("%.3f", s.Max))
	}
	return cells
}

// lateName returns the name of the late dependencies in tables and errors.
func (r Row) lateName() string {
	if r.LateDependencies == "" {
		return "nobody"
	}
	return r.LateDependencies
}

// lateDependencies names the dependencies that start late, as written in reports.
type lateDependencies string

const (
	lateNone     lateDependencies = ""
	lateExecutor lateDependencies = "processor"
	lateRegistry lateDependencies = "roster"
	lateBoth     lateDependencies = "processor and roster"
)

// set returns the set of dependencies that l names.
func (l lateDependencies) set() dependencies {
	return dependencies{
		executor: l == lateExecutor || l == lateBoth,
		registry: l == lateRegistry || l == lateBoth,
	}
}

// dependencies is a set of services on which a server depends.
type dependencies struct{ executor, registry bool }

// complement returns the set of dependencies that are not in d.
func (d dependencies) complement() dependencies {
	return dependencies{executor: !d.executor, registry: !d.registry}
}

// Run measures one row each with no late dependencies, late executors, late registries, and both
// late.
func (p *Plan) Run(ctx context.Context) ([]Row, error) {
	config := faultinjection.SmallProcessConfig(p.Program)
	servers, err := process.Start(ctx, p.Servers, config)
	if err != nil {
		return nil, err
	}
	defer process.CloseAll(servers)
	var rows []Row
	for _, late := range []lateDependencies{lateNone, lateExecutor, lateRegistry, lateBoth} {
		row, err := p.measure(ctx, servers, config, late)
		if err != nil {
			return rows, fmt.Errorf("experiment with late dependencies: %s: %w", row.lateName(), err)
		}
		rows = append(rows, row)
		fmt.Fprintln(p.Progress, strings.Join(row.Cells(), "  "))
	}
	return rows, nil
}

// measure measures one row: it restarts all servers in each round and summarizes their start times.
func (p *Plan) measure(
	ctx context.Context, servers []*process.Server, config process.Config, late lateDependencies,
) (Row, error) {
	row := Row{LateDependencies: string(late), Starts: p.Servers * p.Rounds}
	if late != lateNone {
		row.DelaySeconds = p.Delay.Seconds()
	}
	var ready, listed []float64
	for range p.Rounds {
		times, err := p.restartAll(ctx, servers, config, late)
		if err != nil {
			return row, err
		}
		for _, serverTimes := range times {
			ready = append(ready, serverTimes.ready)
			listed = append(listed, serverTimes.listed)
		}
	}
	row.Ready = newSpread(ready)
	row.Listed = newSpread(listed)
	return row, nil
}

// restartAll kills all servers, starts them at once, and waits until each is healthy and listed.
func (p *Plan) restartAll(
	ctx context.Context, servers []*process.Server, config process.Config, late lateDependencies,
) ([]startTimes, error) {
	var wait sync.WaitGroup
	for _, s := range servers {
		wait.Go(s.Kill)
	}
	wait.Wait()
	times := make([]startTimes, len(servers))
	failures := make([]error, len(servers))
	for i, s := range servers {
		r := &restart{
			server:          s,
			executorAddress: s.Executor.Addr(),
			registryAddress: s.Registry.Addr(),
			config:          config,
			late:            late,
			delay:           p.Delay,
		}
		wait.Go(func() { times[i], failures[i] = r.run(ctx) })
	}
	wait.Wait()
	for i, err := range failures {
		if err != nil {
			return nil, fmt.Errorf("restart server %s: %w", servers[i].Name, err)
		}
	}
	return times, nil
}
