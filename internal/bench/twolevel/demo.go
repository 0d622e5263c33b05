package twolevel

import (
	"context"
	"fmt"
	"io"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/process"
)

// Demo shows a newcomer two forwarders, three planners and three workers at work, while one after the other of them dies.
type Demo struct {
	Program  string
	Progress io.Writer
	Log      io.Writer // the processes' logs, nil for none
}

// demoRate is what each forwarder is asked for, in tasks a second; the workers can do three times both.
const demoRate = 60

// act is something that happens at a second of the demonstration.
type act struct {
	at   int
	what string
	do   func(context.Context, *faultinjection.Fleet) error
}

var acts = []act{
	{4, "the planner that leads is killed", func(_ context.Context, f *faultinjection.Fleet) error {
		f.Server(leading(f)).Kill()
		return nil
	}},
	{9, "it returns cold", back},
	{12, "all planners are killed", func(_ context.Context, f *faultinjection.Fleet) error {
		for _, name := range f.PlannerNames() {
			f.Server(name).Kill()
		}
		return nil
	}},
	{20, "a worker is killed with its tasks in hand", func(_ context.Context, f *faultinjection.Fleet) error {
		f.WorkerServers[0].Kill()
		return nil
	}},
	{24, "all of them return cold", func(ctx context.Context, f *faultinjection.Fleet) error {
		if err := f.WorkerServers[0].Restart(ctx); err != nil {
			return err
		}
		return back(ctx, f)
	}},
	{30, "", nil},
}

// leading is the planner that said last that it leads.
func leading(f *faultinjection.Fleet) string {
	if said := f.Events("", "load_planner_started"); len(said) > 0 {
		return said[len(said)-1].Name
	}
	return f.PlannerNames()[0]
}

// back starts all planners again that are dead.
func back(ctx context.Context, f *faultinjection.Fleet) error {
	for _, name := range f.PlannerNames() {
		if !f.Server(name).Alive() {
			if err := f.Restart(ctx, name); err != nil {
				return err
			}
		}
	}
	return nil
}

// Run plays it, some thirty seconds.
func (d *Demo) Run(ctx context.Context) error {
	shape := faultinjection.SmallShape(d.Program)
	shape.Log = d.Log
	f, err := faultinjection.Start(ctx, faultinjection.Config{Shape: shape, WorkerShape: shape, Planners: 3, Forwarders: 2, Workers: 3, Seed: 1, ExtraSettings: "door on\nfleet-lease 2s\n"})
	if err != nil {
		return err
	}
	defer f.Close()
	asking, end := context.WithCancel(ctx)
	defer end()
	load := f.StartLoad(asking, "")
	load.SetRate(demoRate, f.ForwarderNames()...)
	fmt.Fprintf(d.Progress, "two forwarders, three planners and three workers on loopback; each forwarder is asked for %d tasks a second\n", demoRate)
	asked, finished, rejected := 0, 0, 0
	next := 0
	for second := 1; next < len(acts) && ctx.Err() == nil; second++ {
		if a := acts[next]; a.at == second {
			next++
			if a.do != nil {
				fmt.Fprintf(d.Progress, "%4d s  -- %s --\n", second, a.what)
				if err := a.do(ctx, f); err != nil {
					return err
				}
			}
		}
		pause(ctx, time.Second)
		a, n, r := load.Counts()
		fmt.Fprintf(d.Progress, "%4d s  asked %3d  finished %3d  rejected %2d  planners %d of 3, last to lead %s\n", second, a-asked, n-finished, r-rejected, alive(f), leading(f))
		asked, finished, rejected = a, n, r
	}
	load.SetRate(0, f.Names...)
	faultinjection.WaitUntil(lastWait, func() bool { return load.UnansweredCount() == 0 })
	asked, finished, rejected = load.Counts()
	fmt.Fprintf(d.Progress, "of %d tasks %d were finished, %d rejected with a time to come back, %d answers came late, %d tasks have none\n", asked, finished, rejected, load.LateCount(),
		load.UnansweredCount())
	end()
	load.Wait()
	return ctx.Err()
}

func alive(f *faultinjection.Fleet) (n int) {
	for _, s := range []*process.Server{f.Server("p1"), f.Server("p2"), f.Server("p3")} {
		if s.Alive() {
			n++
		}
	}
	return n
}
