package faultinjection

import (
	"context"
	"strconv"
	"syscall"
	"testing"
	"time"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/wire/simulator"
)

// forwarderRate is the requests a second at each forwarder.
const forwarderRate = 60

// payClass is a class whose requests must never run twice.
const payClass = "pay"

// startTwoLevelFleet starts forwarders, planners and workers, one of which is slow, under a load
// that all of them together can do.
func startTwoLevelFleet(t *testing.T, p Config) (*Fleet, *Load) {
	t.Helper()
	t.Parallel()
	p.Shape, p.ExtraSettings = SmallShape(program), shortLeases
	p.Shape.Settings.Classes = append(p.Shape.Settings.Classes, simulator.Class{Name: payClass,
		Idempotency: "at_most_once", TimeoutMs: 2000, SoftDeadlineMs: 1000, Value: 3, LateValue: 0.5})
	p.Shape.Settings.Deployment.Cores, p.Shape.Descriptors = 4, 512
	p.WorkerShape, p.RunLog = p.Shape, NewRunLog()
	p.WorkerShape.Executor = executor.Config{
		Cores:      4,
		CPUSeconds: func(string, string) float64 { return PingSeconds },
		Gauges:     p.Shape.Executor.Gauges,
	}
	p.Planners, p.Forwarders, p.Workers = 3, 2, 4
	f, err := Start(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	d := f.StartLoad(ctx, "")
	d.Classes = []string{PingClass, payClass}
	t.Cleanup(func() {
		d.SetRate(0, f.Names...)
		if !WaitUntil(patience, func() bool { return d.UnansweredCount() == 0 }) {
			t.Errorf("%d tasks are never answered: %s", d.UnansweredCount(), d.DescribeUnanswered())
		}
		stop()
		d.Wait()
		asked, finished, rejected := d.Counts()
		t.Logf("asked %d, finished %d, rejected %d, late %d", asked, finished, rejected, d.LateCount())
		if d.LateCount() > 0 {
			t.Errorf("%d answers came late", d.LateCount())
		}
		if n := f.RunLog.CountRepeated(payClass); n > 0 {
			t.Errorf("%d tasks that must not ran twice", n)
		}
		if n := len(f.Events("", "forwarder_panic")) + len(f.Events("", "fleet_agent_panic")); n > 0 {
			t.Errorf("%d panics", n)
		}
		f.Close()
	})
	return f, d
}

// awaitServed waits until both forwarders finish most of what they are asked for.
func (f *Fleet) awaitServed(t *testing.T, d *Load, what string) {
	t.Helper()
	from := time.Now()
	f.await(t, what, func() bool {
		for _, name := range f.ForwarderNames() {
			if time.Since(from) < 2*time.Second || d.Rate(name, 2*time.Second) < 0.9*forwarderRate {
				return false
			}
		}
		return true
	})
}

// TestForwarders_ServeWhilePlannersDie: one planner after the other, then all for good.
func TestForwarders_ServeWhilePlannersDie(t *testing.T) {
	f, d := startTwoLevelFleet(t, Config{Seed: 51})
	d.SetRate(forwarderRate, f.ForwarderNames()...)
	f.awaitServed(t, d, "well")
	f.await(t, "a planner leads", func() bool { return len(f.Events("", "load_planner_started")) > 0 })
	for _, name := range f.PlannerNames() {
		if err := f.KillAndRestart(context.Background(), name); err != nil {
			t.Fatal(err)
		}
		f.awaitServed(t, d, name+" returned cold")
	}
	for _, name := range f.PlannerNames() {
		f.Server(name).Kill()
	}
	killed := time.Now()
	f.await(t, "the last plan has aged", func() bool { return time.Since(killed) > 7*time.Second })
	f.awaitServed(t, d, "no planner is there")
	asked, finished, _ := d.Counts()
	if float64(finished) < 0.95*float64(asked) {
		t.Errorf("of %d tasks %d were finished", asked, finished)
	}
}

// TestForwarders_WorkerDiesWithRequestsInFlight, and returns; another is stopped past all their due
// moments.
func TestForwarders_WorkerDiesWithRequestsInFlight(t *testing.T) {
	f, d := startTwoLevelFleet(t, Config{Seed: 52})
	d.SetRate(forwarderRate, f.ForwarderNames()...)
	f.awaitServed(t, d, "well")
	f.WorkerServers[0].Kill()
	f.awaitServed(t, d, "one worker is dead")
	if err := f.WorkerServers[0].Restart(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := f.WorkerServers[1].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	f.awaitServed(t, d, "one worker is stopped")
	if err := f.WorkerServers[1].Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	f.awaitServed(t, d, "it goes on")
	if s, err := fleet.FetchLoadPlan(f.controlAddrs[f.ForwarderNames()[0]]); err != nil ||
		s.Current.Sequence == 0 || s.FreshFor <= 0 || s.Leader == "" {
		t.Errorf("an operator hears %+v, %v", s, err)
	}
	begun := f.WorkerServers[0].Executor.Stats().Started
	f.await(t, "the one that returned has tasks again", func() bool {
		return f.WorkerServers[0].Executor.Stats().Started > begun+20
	})
	for what, s := range map[string]*process.Server{"a worker": f.WorkerServers[2], "a forwarder": f.Server("f2")} {
		if _, err := s.Drain(); err != nil {
			t.Errorf("%s leaves under load: %v", what, err)
		}
	}
	d.SetRate(0, "f2")
}

// TestForwarders_ResumedPlannerHasStalePlans while a forwarder is cut off from all planners.
func TestForwarders_ResumedPlannerHasStalePlans(t *testing.T) {
	f, d := startTwoLevelFleet(t, Config{Seed: 53})
	d.SetRate(forwarderRate, f.ForwarderNames()...)
	f.awaitServed(t, d, "well")
	planned := func(name string, so func(*fleet.LoadPlanStatus) bool) func() bool {
		return func() bool {
			s, err := fleet.FetchLoadPlan(f.controlAddrs[name])
			return err == nil && so(s)
		}
	}
	f.await(t, "f1 has a plan", planned("f1", func(s *fleet.LoadPlanStatus) bool { return s.FreshFor > 0 }))
	leader := f.leaderOf(t, "f1")
	if err := f.Pause(leader); err != nil {
		t.Fatal(err)
	}
	was, err := fleet.FetchLoadPlan(f.controlAddrs["f1"])
	if err != nil {
		t.Fatal(err)
	}
	f.await(t, "another one plans", planned("f1", func(s *fleet.LoadPlanStatus) bool {
		return s.FreshFor > 0 && s.Current.Term > was.Current.Term
	}))
	f.Net.Partition(f.PlannerNames(), []string{"f1"})
	if err := f.Resume(leader); err != nil {
		t.Fatal(err)
	}
	f.awaitServed(t, d, "f1 is cut off from all planners")
	f.await(t, "its plan has aged", planned("f1", func(s *fleet.LoadPlanStatus) bool { return s.FreshFor < -3 }))
	f.awaitServed(t, d, "f1 is without a plan")
	f.Net.Heal()
	f.await(t, "f1 has a plan again", planned("f1", func(s *fleet.LoadPlanStatus) bool { return s.FreshFor > 0 }))
	for _, name := range f.ForwarderNames() {
		term := 0
		for _, s := range f.Events(name, "load_planner_changed") {
			next, err := strconv.Atoi(s.Fields["term"])
			if err != nil || next < term {
				t.Errorf("%s goes from term %d to %s", name, term, s.Fields["term"])
			}
			term = next
		}
	}
}
