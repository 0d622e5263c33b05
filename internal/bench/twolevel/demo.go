package twolevel

import (
	"context"
	"fmt"
	"io"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/timing"
)

// Demo shows a newcomer two forwarders, three planners and three workers at work, while one after the other of them
// is killed.
type Demo struct {
	Program  string // path of the server's binary
	Progress io.Writer
	Log      io.Writer // of the processes; nil for none
}

const (
	demoForwarders = 2
	demoPlanners   = 3
	demoWorkers    = 3
	// demoRate is the load of each forwarder in requests a second; the workers can do three times the sum.
	demoRate     = 60
	demoSeconds  = 30
	demoSettings = "door on\nfleet-lease 2s\n"
)

// step is something that happens in a second of the demonstration.
type step struct {
	second      int
	description string
	run         func(context.Context, *faultinjection.Fleet) error
}

var steps = []step{
	{4, "the planner that leads is killed", killLeader},
	{9, "it restarts", restartPlanners},
	{12, "all planners are killed", killAllPlanners},
	{20, "a worker is killed with requests in flight", killWorker},
	{24, "all of them restart", restartAll},
}

func killLeader(_ context.Context, f *faultinjection.Fleet) error {
	f.Server(leader(f)).Kill()
	return nil
}

func killAllPlanners(_ context.Context, f *faultinjection.Fleet) error {
	killPlanners(f)
	return nil
}

func killWorker(_ context.Context, f *faultinjection.Fleet) error {
	f.WorkerServers[0].Kill()
	return nil
}

func restartAll(ctx context.Context, f *faultinjection.Fleet) error {
	if err := f.WorkerServers[0].Restart(ctx); err != nil {
		return err
	}
	return restartPlanners(ctx, f)
}

// leader returns the planner that led last, or the first where none has led.
func leader(f *faultinjection.Fleet) string {
	if name, ok := lastLeader(f); ok {
		return name
	}
	return f.PlannerNames()[0]
}

// Run runs the demonstration, which takes some thirty seconds.
func (d *Demo) Run(ctx context.Context) error {
	fleet, err := d.startFleet(ctx)
	if err != nil {
		return err
	}
	defer fleet.Close()
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	load := fleet.StartLoad(loadContext, "")
	load.SetRate(demoRate, fleet.ForwarderNames()...)
	fmt.Fprintf(d.Progress, "two forwarders, three planners and three workers on loopback; "+
		"each forwarder receives %d requests a second\n", demoRate)
	if err := d.runSteps(ctx, fleet, load); err != nil {
		return err
	}
	load.SetRate(0, fleet.Names...)
	faultinjection.WaitUntil(answerTimeout, func() bool { return load.UnansweredCount() == 0 })
	asked, finished, rejected := load.Counts()
	fmt.Fprintf(d.Progress, "of %d requests %d were finished, %d rejected with Retry-After, "+
		"%d answers came late, %d requests have none\n",
		asked, finished, rejected, load.LateCount(), load.UnansweredCount())
	stopLoad()
	load.Wait()
	return ctx.Err()
}

func (d *Demo) startFleet(ctx context.Context) (*faultinjection.Fleet, error) {
	shape := faultinjection.SmallShape(d.Program)
	shape.Log = d.Log
	return faultinjection.Start(ctx, faultinjection.Config{
		Shape:         shape,
		WorkerShape:   shape,
		Planners:      demoPlanners,
		Forwarders:    demoForwarders,
		Workers:       demoWorkers,
		Seed:          1,
		ExtraSettings: demoSettings,
	})
}

// runSteps runs the steps at their seconds and prints a line a second.
func (d *Demo) runSteps(ctx context.Context, fleet *faultinjection.Fleet, load *faultinjection.Load) error {
	askedBefore, finishedBefore, rejectedBefore := 0, 0, 0
	remaining := steps
	for second := 1; second <= demoSeconds && ctx.Err() == nil; second++ {
		if len(remaining) > 0 && remaining[0].second == second {
			fmt.Fprintf(d.Progress, "%4d s  -- %s --\n", second, remaining[0].description)
			if err := remaining[0].run(ctx, fleet); err != nil {
				return err
			}
			remaining = remaining[1:]
		}
		timing.Sleep(ctx, time.Second)
		asked, finished, rejected := load.Counts()
		fmt.Fprintf(d.Progress, "%4d s  sent %3d  finished %3d  rejected %2d  planners %d of %d, last to lead %s\n",
			second, asked-askedBefore, finished-finishedBefore, rejected-rejectedBefore,
			alivePlanners(fleet), demoPlanners, leader(fleet))
		askedBefore, finishedBefore, rejectedBefore = asked, finished, rejected
	}
	return nil
}

func alivePlanners(f *faultinjection.Fleet) int {
	n := 0
	for _, name := range f.PlannerNames() {
		if f.Server(name).Alive() {
			n++
		}
	}
	return n
}
