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

// forwarderRate is the load of each forwarder in requests per second.
const forwarderRate = 60

// atMostOnceClass is a class of at-most-once requests.
const atMostOnceClass = "pay"

// startTwoLevelFleet starts forwarders, planners and workers, and a load whose rates are 0. After
// the test every request must have been answered in time, no at-most-once request may have run
// twice, and no process may have panicked.
func startTwoLevelFleet(t *testing.T, config Config) (*Fleet, *Load) {
	t.Helper()
	t.Parallel()
	config.ProcessConfig, config.ExtraSettings = SmallProcessConfig(program), ShortLeases
	config.ProcessConfig.Settings.Classes = append(config.ProcessConfig.Settings.Classes, simulator.Class{
		Name: atMostOnceClass, Idempotency: "at_most_once", TimeoutMs: 2000, SoftDeadlineMs: 1000,
		Value: 3, LateValue: 0.5})
	config.ProcessConfig.Settings.Deployment.Cores, config.ProcessConfig.Descriptors = 4, 512
	config.WorkerConfig, config.RunLog = config.ProcessConfig, NewRunLog()
	config.WorkerConfig.Executor = executor.Config{
		Cores:      4,
		CPUSeconds: func(string, string) float64 { return PingSeconds },
		Gauges:     config.ProcessConfig.Executor.Gauges,
	}
	config.Planners, config.Forwarders, config.Workers = 3, 2, 4
	f, err := Start(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	load := f.StartLoad(ctx, "")
	load.Classes = []string{PingClass, atMostOnceClass}
	t.Cleanup(func() {
		load.SetRate(0, f.Names...)
		if !WaitUntil(awaitTimeout, func() bool { return load.UnansweredCount() == 0 }) {
			t.Errorf("%d unanswered requests, want none: %s", load.UnansweredCount(), load.DescribeUnanswered())
		}
		stop()
		load.Wait()
		sent, finished, rejected := load.Counts()
		t.Logf("sent %d, finished %d, rejected %d, late %d", sent, finished, rejected, load.LateCount())
		if load.LateCount() > 0 {
			t.Errorf("%d answers after their timeout, want none", load.LateCount())
		}
		if n := f.RunLog.CountRepeated(atMostOnceClass); n > 0 {
			t.Errorf("%d at-most-once requests ran more than once, want none", n)
		}
		if n := len(f.Events("", EventForwarderPanic)) + len(f.Events("", EventFleetAgentPanic)); n > 0 {
			t.Errorf("%d panics, want none", n)
		}
		f.Close()
	})
	return f, load
}

// awaitServed waits until each forwarder has finished nine tenths of its load for two seconds.
func (f *Fleet) awaitServed(t *testing.T, load *Load, description string) {
	t.Helper()
	from := time.Now()
	f.await(t, description, func() bool {
		for _, name := range f.ForwarderNames() {
			if time.Since(from) < 2*time.Second || load.Rate(name, 2*time.Second) < 0.9*forwarderRate {
				return false
			}
		}
		return true
	})
}

// Forwarders must keep serving while the planners are restarted one by one and after all are
// killed.
func TestForwarders_ServeWithoutPlanners(t *testing.T) {
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
		t.Errorf("%d of %d requests finished, want at least 95%%", finished, sent)
	}
}

// Forwarders must keep serving while one worker is killed and restarted under load, and another is
// paused for longer than the timeout of its requests.
func TestForwarders_WorkerCrashAndPauseUnderLoad(t *testing.T) {
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
		s.Current.Sequence == 0 || s.FreshSeconds <= 0 || s.Leader == "" {
		t.Errorf("load plan %+v, error %v, want a fresh plan with a sequence number and a leader", s, err)
	}
	startedBefore := f.WorkerServers[0].Executor.Stats().Started
	f.await(t, "the restarted worker runs requests again", func() bool {
		return f.WorkerServers[0].Executor.Stats().Started > startedBefore+20
	})
	for role, s := range map[string]*process.Server{"worker": f.WorkerServers[2], "forwarder": f.Server("f2")} {
		if _, err := s.Drain(); err != nil {
			t.Errorf("drain of a %s under load: %v", role, err)
		}
	}
	load.SetRate(0, "f2")
}

// The leading planner is paused, succeeded by another and resumed while a forwarder is partitioned
// from all planners. No forwarder may apply a plan of an earlier term from the resumed planner.
func TestForwarders_StalePlansOfResumedPlanner(t *testing.T) {
	f, load := startTwoLevelFleet(t, Config{Seed: 53})
	load.SetRate(forwarderRate, f.ForwarderNames()...)
	f.awaitServed(t, load, "forwarders serve without faults")
	hasPlan := func(name string, condition func(*fleet.LoadPlanStatus) bool) func() bool {
		return func() bool {
			s, err := fleet.FetchLoadPlan(f.controlAddrs[name])
			return err == nil && condition(s)
		}
	}
	f.await(t, "f1 has a plan", hasPlan("f1", func(s *fleet.LoadPlanStatus) bool { return s.FreshSeconds > 0 }))
	leader := f.leaderOf(t, "f1")
	if err := f.Pause(leader); err != nil {
		t.Fatal(err)
	}
	before, err := fleet.FetchLoadPlan(f.controlAddrs["f1"])
	if err != nil {
		t.Fatal(err)
	}
	f.await(t, "another planner leads", hasPlan("f1", func(s *fleet.LoadPlanStatus) bool {
		return s.FreshSeconds > 0 && s.Current.Term > before.Current.Term
	}))
	f.Net.Partition(f.PlannerNames(), []string{"f1"})
	if err := f.Resume(leader); err != nil {
		t.Fatal(err)
	}
	f.awaitServed(t, load, "forwarders serve while f1 is partitioned from the planners")
	f.await(t, "the plan of f1 is stale", hasPlan("f1", func(s *fleet.LoadPlanStatus) bool {
		return s.FreshSeconds < -3
	}))
	f.awaitServed(t, load, "forwarders serve while the plan of f1 is stale")
	f.Net.Heal()
	f.await(t, "f1 has a plan again", hasPlan("f1", func(s *fleet.LoadPlanStatus) bool { return s.FreshSeconds > 0 }))
	for _, name := range f.ForwarderNames() {
		term := 0
		for _, s := range f.Events(name, EventLoadPlannerChanged) {
			next, err := strconv.Atoi(s.Fields["term"])
			if err != nil || next < term {
				t.Errorf("%s changed from a plan of term %d to term %s, want increasing terms",
					name, term, s.Fields["term"])
			}
			term = next
		}
	}
}
