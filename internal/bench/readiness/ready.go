// Package readiness measures how long servers take from their start until they serve and are listed, when all of a fleet start at once and what
// they need is there, or comes late.
package readiness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/fake/registry"
)

// Plan is what to measure.
type Plan struct {
	Program  string
	Servers  int
	Rounds   int           // restarts of all at once
	Delay    time.Duration // how long after the start what is late is there
	Progress io.Writer
}

// Row is what was measured with some parties late, over all servers and rounds. Times are in seconds.
type Row struct {
	Late         string  `json:"late"` // who is; "" for nobody
	DelaySeconds float64 `json:"late_s"`
	Starts       int     `json:"starts"`
	// From the start until a health check is answered well, and until the roster was told so.
	Ready  Spread `json:"ready_s"`
	Listed Spread `json:"listed_s"`
}

// Spread is the median, the 90th percentile and the largest.
type Spread struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	Max float64 `json:"max"`
}

// Columns and Cells are those of the table.
var Columns = []string{"late", "by s", "starts", "ready p50", "p90", "max", "listed p50", "p90", "max"}

// Cells are a row's in the table.
func (r Row) Cells() []string {
	who := r.Late
	if who == "" {
		who = "nobody"
	}
	cells := []string{who, fmt.Sprintf("%.1f", r.DelaySeconds), fmt.Sprint(r.Starts)}
	for _, s := range []Spread{r.Ready, r.Listed} {
		cells = append(cells, fmt.Sprintf("%.3f", s.P50), fmt.Sprintf("%.3f", s.P90), fmt.Sprintf("%.3f", s.Max))
	}
	return cells
}

const (
	patience = 30 * time.Second // past which a server counts as never ready
	askEvery = 5 * time.Millisecond
)

// Run measures with nobody late, then the processors, the rosters, and both.
func (p *Plan) Run(ctx context.Context) (rows []Row, err error) {
	shape := faultinjection.SmallShape(p.Program)
	servers, err := process.Start(ctx, p.Servers, shape)
	if err != nil {
		return nil, err
	}
	defer process.CloseAll(servers)
	for _, late := range []string{"", "processor", "roster", "processor and roster"} {
		row := Row{Late: late, Starts: p.Servers * p.Rounds}
		if late != "" {
			row.DelaySeconds = p.Delay.Seconds()
		}
		var ready, listed []float64
		for range p.Rounds {
			r, l, err := p.round(ctx, servers, shape, late)
			if err != nil {
				return rows, fmt.Errorf("with %s late: %w", row.Cells()[0], err)
			}
			ready, listed = append(ready, r...), append(listed, l...)
		}
		row.Ready, row.Listed = spread(ready), spread(listed)
		rows = append(rows, row)
		fmt.Fprintln(p.Progress, strings.Join(row.Cells(), "  "))
	}
	return rows, nil
}

// round restarts all servers at once, and waits until each is ready and listed.
func (p *Plan) round(ctx context.Context, servers []*process.Server, shape process.Config, late string) (ready, listed []float64, err error) {
	var wait sync.WaitGroup
	for _, s := range servers {
		wait.Go(s.Kill)
	}
	wait.Wait()
	ready, listed = make([]float64, len(servers)), make([]float64, len(servers))
	failed := make([]error, len(servers))
	for i, s := range servers {
		wait.Go(func() { ready[i], listed[i], failed[i] = p.restart(ctx, s, shape, late) })
	}
	wait.Wait()
	for i, err := range failed {
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", servers[i].Name, err)
		}
	}
	return ready, listed, nil
}

// restart restarts one, with new parties at the old addresses.
func (p *Plan) restart(ctx context.Context, s *process.Server, shape process.Config, late string) (ready, listed float64, err error) {
	work, list := s.Executor.Addr(), s.Registry.Addr()
	s.Executor.Close()
	s.Registry.Close()
	back := func(party string, start func() error) error {
		if strings.Contains(late, party) {
			return nil // it comes later
		}
		return start()
	}
	startWork := func() error {
		return again(func() (err error) { s.Executor, err = executor.Start(work, shape.Executor); return err })
	}
	startList := func() error {
		return again(func() (err error) { s.Registry, err = registry.Start(list, nil); return err })
	}
	if err := back("processor", startWork); err != nil {
		return 0, 0, err
	}
	if err := back("roster", startList); err != nil {
		return 0, 0, err
	}
	begin := time.Now()
	if err := s.Restart(ctx); err != nil {
		return 0, 0, err
	}
	came := make(chan error, 1)
	go func() {
		if late == "" {
			came <- nil
			return
		}
		time.Sleep(p.Delay)
		var err error
		if strings.Contains(late, "processor") {
			err = startWork()
		}
		if err == nil && strings.Contains(late, "roster") {
			err = startList()
		}
		came <- err
	}()
	for !balancer.IsHealthy(s.Addr, time.Second) {
		if time.Since(begin) > patience {
			return 0, 0, fmt.Errorf("not ready within %s\n%s", patience, s.RecentLog())
		}
		time.Sleep(askEvery)
	}
	ready = time.Since(begin).Seconds()
	if err := <-came; err != nil {
		return 0, 0, err
	}
	for !s.Registry.Accepting(s.Name) {
		if time.Since(begin) > patience {
			return 0, 0, fmt.Errorf("not listed within %s\n%s", patience, s.RecentLog())
		}
		time.Sleep(askEvery)
	}
	return ready, time.Since(begin).Seconds(), nil
}

// again starts a party at an address that the system may hold for a moment after the last one there was closed.
func again(start func() error) (err error) {
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if err = start(); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return err
}

func spread(times []float64) Spread {
	slices.Sort(times)
	at := func(part float64) float64 { return times[min(len(times)-1, int(part*float64(len(times))))] }
	return Spread{P50: at(0.5), P90: at(0.9), Max: times[len(times)-1]}
}
