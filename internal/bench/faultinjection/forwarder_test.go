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
// that is within their joint capacity.
func startTwoLevelFleet(t *testing.T, config Config) (*Fleet, *Load) {
	t.Helper()
	t.Parallel()
	config.Shape, config.ExtraSettings = SmallShape(program), ShortLeases
	config.Shape.Settings.Classes = append(config.Shape.Settings.Classes, simulator.Class{Name: payClass,
		Idempotency: "at_most_once", TimeoutMs: 2000, SoftDeadlineMs: 1000, Value: 3, LateValue: 0.5})
	config.Shape.Settings.Deployment.Cores, config.Shape.Descriptors = 4, 512
	config.WorkerShape, config.RunLog = config.Shape, NewRunLog()
	config.WorkerShape.Executor = executor.Config{
		Cores:      4,
		CPUSeconds: func(string, string) float64 { return PingSeconds },
		Gauges:     config.Shape.Executor.Gauges,
	}
	config.Planners, config.Forwarders, config.Workers = 3, 2, 4
	f, err := Start(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	load := f.StartLoad(ctx, "")
	load.Classes = []string{PingClass, payClass}
	t.Cleanup(func() {
		load.SetRate(0, f.Names...)
		if !WaitUntil(patience, func() bool { return load.UnansweredCount() == 0 }) {
			t.Errorf("%d requests are never answered: %s", load.UnansweredCount(), load.DescribeUnanswered())
		}
		stop()
		load.Wait()
		sent, finished, rejected := load.Counts()
		t.Logf("sent %d, finished %d, rejected %d, late %d", sent, finished, rejected, load.LateCount())
		if load.LateCount() > 0 {
			t.Errorf("%d answers came after their timeout", load.LateCount())
		}
		if n := f.RunLog.CountRepeated(payClass); n > 0 {
			t.Errorf("%d at-most-once requests ran more than once", n)
		}
		if n := len(f.Events("", EventForwarderPanic)) + len(f.Events("", EventFleetAgentPanic)); n > 0 {
			t.Errorf("%d panics", n)
		}
		f.Close()
	})
	return f, load
}

// awaitServed waits until both forwarders finish most of the requests sent to them.
func (f *Fleet) awaitServed(t *testing.T, load *Load, what string) {
	t.Helper()
	from := time.Now()
	f.await(t, what, func() bool {
		for _, name := range f.ForwarderNames() {
			if time.Since(from) < 2*time.Second || load.Rate(name, 2*time.Second) < 0.9*forwarderRate {
				return false
			}
		}
		return true
	})
}

// TestForwarders_ServeWhilePlannersDie: the planners are restarted one by one, then all are killed.
func TestForwarders_ServeWhilePlannersDie(t *testing.T) {
	f, load := startTwoLevelFleet(t, Config{Seed: 51})
	load.SetRate(forwarderRate, f.ForwarderNames()...)
	f.awaitServed(t, load, "forwarders serve without faults")
	f.await(t, "a planner leads", func() bool { return len(f.Events("", EventLoadPlannerStarted)) > 0 })
	for _, name := range f.PlannerNames() {
		if err := f.KillAndRestart(context.Background(), name); err != nil {
			t.Fatal(err)
		}
		f.awaitServed(t, load, "forwarders serve after "+name+" was restarted without state")
	}
	for _, name := range f.PlannerNames() {
		f.Server(name).Kill()
	}
	killed := time.Now()
	f.await(t, "the last plan is stale", func() bool { return time.Since(killed) > 7*time.Second })
	f.awaitServed(t, load, "forwarders serve without planners")
	sent, finished, _ := load.Counts()
	if float64(finished) < 0.95*float64(sent) {
		t.Errorf("of %d requests %d were finished", sent, finished)
	}
}

// TestForwarders_WorkerDiesWithRequestsInFlight: one worker is killed and restarted; another is paused
// for longer than the timeout of its requests.
func TestForwarders_WorkerDiesWithRequestsInFlight(t *testing.T) {
	f, load := startTwoLevelFleet(t, Config{Seed: 52})
	load.SetRate(forwarderRate, f.ForwarderNames()...)
	f.awaitServed(t, load, "forwarders serve without faults")
	f.WorkerServers[0].Kill()
	f.awaitServed(t, load, "forwarders serve without the killed worker")
	if err := f.WorkerServers[0].Restart(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := f.WorkerServers[1].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	f.awaitServed(t, load, "forwarders serve without the paused worker")
	if err := f.WorkerServers[1].Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	f.awaitServed(t, load, "forwarders serve with the resumed worker")
	if s, err := fleet.FetchLoadPlan(f.controlAddrs[f.ForwarderNames()[0]]); err != nil ||
		s.Current.Sequence == 0 || s.FreshFor <= 0 || s.Leader == "" {
		t.Errorf("the load plan is %+v, %v", s, err)
	}
	startedBefore := f.WorkerServers[0].Executor.Stats().Started
	f.await(t, "the restarted worker runs requests again", func() bool {
		return f.WorkerServers[0].Executor.Stats().Started > startedBefore+20
	})
	for what, s := range map[string]*process.Server{"a worker": f.WorkerServers[2], "a forwarder": f.Server("f2")} {
		if _, err := s.Drain(); err != nil {
			t.Errorf("%s does not drain under load: %v", what, err)
		}
	}
	load.SetRate(0, "f2")
}

// TestForwarders_ResumedPlannerHasStalePlans: a leader is paused, replaced and resumed, while a
// forwarder is partitioned from all planners.
func TestForwarders_ResumedPlannerHasStalePlans(t *testing.T) {
	f, load := startTwoLevelFleet(t, Config{Seed: 53})
	load.SetRate(forwarderRate, f.ForwarderNames()...)
	f.awaitServed(t, load, "forwarders serve without faults")
	hasPlan := func(name string, condition func(*fleet.LoadPlanStatus) bool) func() bool {
		return func() bool {
			s, err := fleet.FetchLoadPlan(f.controlAddrs[name])
			return err == nil && condition(s)
		}
	}
	f.await(t, "f1 has a plan", hasPlan("f1", func(s *fleet.LoadPlanStatus) bool { return s.FreshFor > 0 }))
	leader := f.leaderOf(t, "f1")
	if err := f.Pause(leader); err != nil {
		t.Fatal(err)
	}
	before, err := fleet.FetchLoadPlan(f.controlAddrs["f1"])
	if err != nil {
		t.Fatal(err)
	}
	f.await(t, "another planner leads", hasPlan("f1", func(s *fleet.LoadPlanStatus) bool {
		return s.FreshFor > 0 && s.Current.Term > before.Current.Term
	}))
	f.Net.Partition(f.PlannerNames(), []string{"f1"})
	if err := f.Resume(leader); err != nil {
		t.Fatal(err)
	}
	f.awaitServed(t, load, "forwarders serve while f1 is partitioned from the planners")
	f.await(t, "the plan of f1 is stale", hasPlan("f1", func(s *fleet.LoadPlanStatus) bool { return s.FreshFor < -3 }))
	f.awaitServed(t, load, "forwarders serve while the plan of f1 is stale")
	f.Net.Heal()
	f.await(t, "f1 has a plan again", hasPlan("f1", func(s *fleet.LoadPlanStatus) bool { return s.FreshFor > 0 }))
	for _, name := range f.ForwarderNames() {
		term := 0
		for _, s := range f.Events(name, EventLoadPlannerChanged) {
			next, err := strconv.Atoi(s.Fields["term"])
			if err != nil || next < term {
				t.Errorf("%s goes from term %d to %s", name, term, s.Fields["term"])
			}
			term = next
		}
	}
}
