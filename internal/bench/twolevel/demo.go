package twolevel

import (
	"context"
	"fmt"
	"io"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/timing"
)

// Demo runs two forwarders, three planners and three workers under load, kills planners and a
// worker one after the other, and prints the counts of each second.
type Demo struct {
	Program  string // path of the server's binary
	Progress io.Writer
	Log      io.Writer // receives the logs of the processes; nil for none
}

const (
	demoForwarders = 2
	demoPlanners   = 3
	demoWorkers    = 3
	// demoRate is the load of each forwarder in requests per second. The workers' capacity is three
	// times the load of both forwarders.
	demoRate     = 60
	demoSeconds  = 30
	demoSettings = "door on\nfleet-lease 2s\n"
)

// step is an action at a given second of the demonstration.
type step struct {
	second      int
	description string
	run         func(context.Context, *faultinjection.Fleet) error
}

var steps = []step{
	{4, "kill the leading planner", killLeader},
	{9, "restart the killed planner", restartPlanners},
	{12, "kill all planners", killAllPlanners},
	{20, "kill a worker with requests in flight", killWorker},
	{24, "restart the killed worker and all planners", restartAll},
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

// leader returns the planner that became leader last, or the first planner if none has.
func leader(f *faultinjection.Fleet) string {
	if name, ok := lastLeader(f); ok {
		return name
	}
	return f.PlannerNames()[0]
}

// Run runs the demonstration, which takes demoSeconds and the start of the processes.
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
		"each forwarder receives %d requests per second\n", demoRate)
	if err := d.runSteps(ctx, fleet, load); err != nil {
		return err
	}
	load.SetRate(0, fleet.Names...)
	faultinjection.WaitUntil(answerTimeout, func() bool { return load.UnansweredCount() == 0 })
	sent, finished, rejected := load.Counts()
	fmt.Fprintf(d.Progress, "%d requests: %d finished, %d rejected with Retry-After, "+
		"%d answered after the timeout, %d unanswered\n",
		sent, finished, rejected, load.LateCount(), load.UnansweredCount())
	stopLoad()
	load.Wait()
	return ctx.Err()
}

func (d *Demo) startFleet(ctx context.Context) (*faultinjection.Fleet, error) {
	processConfig := faultinjection.SmallProcessConfig(d.Program)
	processConfig.Log = d.Log
	return faultinjection.Start(ctx, faultinjection.Config{
		ProcessConfig: processConfig,
		WorkerConfig:  processConfig,
		Planners:      demoPlanners,
		Forwarders:    demoForwarders,
		Workers:       demoWorkers,
		Seed:          1,
		ExtraSettings: demoSettings,
	})
}

// runSteps runs each step at its second and prints the counts of every second.
func (d *Demo) runSteps(ctx context.Context, fleet *faultinjection.Fleet, load *faultinjection.Load) error {
	sentBefore, finishedBefore, rejectedBefore := 0, 0, 0
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
		sent, finished, rejected := load.Counts()
		fmt.Fprintf(d.Progress, "%4d s  sent %3d  finished %3d  rejected %2d  planners %d of %d, latest leader %s\n",
			second, sent-sentBefore, finished-finishedBefore, rejected-rejectedBefore,
			alivePlanners(fleet), demoPlanners, leader(fleet))
		sentBefore, finishedBefore, rejectedBefore = sent, finished, rejected
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
