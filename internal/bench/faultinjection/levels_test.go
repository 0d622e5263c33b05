package faultinjection

import (
	"context"
	"strconv"
	"syscall"
	"testing"
	"time"

	labfleet "swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/wire/shale"
)

// pay is a stage whose tasks must never run twice.
const pay = "pay"

// twoLevels starts forwarders, planners and workers, one of which is slow, under a load that all of them together can do.
func twoLevels(t *testing.T, p Plan) (*Fleet, *Demand) {
	t.Helper()
	t.Parallel()
	p.Shape, p.Conf = Small(program), short
	p.Shape.Told.Stages = append(p.Shape.Told.Stages, shale.Stage{Name: pay, Effect: "at_most_once", TimeLimitMs: 2000, DueTimeMs: 1000, Utility: 3, LateUtility: 0.5})
	p.Shape.Told.Own.Cores, p.Shape.Sockets = 4, 512
	p.Worker, p.Ledger = p.Shape, NewLedger()
	p.Worker.Work = executor.Plan{Cores: 4, Work: func(string, string) float64 { return PingFor }, Gauges: p.Shape.Work.Gauges}
	p.Planners, p.Forwarders, p.Workers = 3, 2, 4
	f, err := Start(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	d := f.Demand(ctx, "")
	d.Stages = []string{Ping, pay}
	t.Cleanup(func() {
		d.Set(0, f.Names...)
		if !Until(patience, func() bool { return d.Unanswered() == 0 }) {
			t.Errorf("%d tasks are never answered: %s", d.Unanswered(), d.Open())
		}
		stop()
		d.Wait()
		asked, finished, rejected := d.Counts()
		t.Logf("asked %d, finished %d, rejected %d, late %d", asked, finished, rejected, d.Late())
		if d.Late() > 0 {
			t.Errorf("%d answers came late", d.Late())
		}
		if n := f.Ledger.Twice(pay); n > 0 {
			t.Errorf("%d tasks that must not ran twice", n)
		}
		if n := len(f.Said("", "forwarder_panic")) + len(f.Said("", "fleet_agent_panic")); n > 0 {
			t.Errorf("%d panics", n)
		}
		f.Close()
	})
	return f, d
}

// served waits until both forwarders finish most of what they are asked for.
func (f *Fleet) served(t *testing.T, d *Demand, what string, rate float64) {
	t.Helper()
	from := time.Now()
	f.await(t, what, func() bool {
		for _, name := range f.Front() {
			if time.Since(from) < 2*time.Second || d.Rate(name, 2*time.Second) < 0.9*rate {
				return false
			}
		}
		return true
	})
}

// TestForwardersAnswerWhilePlannersDie: one planner after the other, then all for good.
func TestForwardersAnswerWhilePlannersDie(t *testing.T) {
	f, d := twoLevels(t, Plan{Seed: 51})
	const rate = 60
	d.Set(rate, f.Front()...)
	f.served(t, d, "well", rate)
	f.await(t, "a planner leads", func() bool { return len(f.Said("", "load_planner_started")) > 0 })
	for _, name := range f.Planning() {
		if err := f.Cold(context.Background(), name); err != nil {
			t.Fatal(err)
		}
		f.served(t, d, name+" returned cold", rate)
	}
	for _, name := range f.Planning() {
		f.Server(name).Kill()
	}
	killed := time.Now()
	f.await(t, "the last plan has aged", func() bool { return time.Since(killed) > 7*time.Second })
	f.served(t, d, "no planner is there", rate)
	asked, finished, _ := d.Counts()
	if float64(finished) < 0.95*float64(asked) {
		t.Errorf("of %d tasks %d were finished", asked, finished)
	}
}

// TestAWorkerDiesWithTasksInHand, and returns; another is stopped past all their due moments.
func TestAWorkerDiesWithTasksInHand(t *testing.T) {
	f, d := twoLevels(t, Plan{Seed: 52})
	const rate = 60
	d.Set(rate, f.Front()...)
	f.served(t, d, "well", rate)
	f.Behind[0].Kill()
	f.served(t, d, "one worker is dead", rate)
	if err := f.Behind[0].Restart(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := f.Behind[1].Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	f.served(t, d, "one worker is stopped", rate)
	if err := f.Behind[1].Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	f.served(t, d, "it goes on", rate)
	if s, err := fleet.FetchLoadPlan(f.control[f.Front()[0]]); err != nil || s.Current.Sequence == 0 || s.FreshFor <= 0 || s.Leader == "" {
		t.Errorf("an operator hears %+v, %v", s, err)
	}
	begun := f.Behind[0].Processor.Counts().Begun
	f.await(t, "the one that returned has tasks again", func() bool { return f.Behind[0].Processor.Counts().Begun > begun+20 })
	for what, s := range map[string]*labfleet.Server{"a worker": f.Behind[2], "a forwarder": f.Server("f2")} {
		if _, err := s.Leave(); err != nil {
			t.Errorf("%s leaves under load: %v", what, err)
		}
	}
	d.Set(0, "f2")
}

// TestAStoppedPlannerWakesWithOldPlans while a forwarder is cut off from all planners.
func TestAStoppedPlannerWakesWithOldPlans(t *testing.T) {
	f, d := twoLevels(t, Plan{Seed: 53})
	const rate = 60
	d.Set(rate, f.Front()...)
	f.served(t, d, "well", rate)
	planned := func(name string, so func(*fleet.LoadPlanStatus) bool) func() bool {
		return func() bool {
			s, err := fleet.FetchLoadPlan(f.control[name])
			return err == nil && so(s)
		}
	}
	f.await(t, "f1 has a plan", planned("f1", func(s *fleet.LoadPlanStatus) bool { return s.FreshFor > 0 }))
	leader := f.leaderOf(t, "f1")
	if err := f.Stop(leader); err != nil {
		t.Fatal(err)
	}
	was, err := fleet.FetchLoadPlan(f.control["f1"])
	if err != nil {
		t.Fatal(err)
	}
	f.await(t, "another one plans", planned("f1", func(s *fleet.LoadPlanStatus) bool { return s.FreshFor > 0 && s.Current.Term > was.Current.Term }))
	f.Net.Part(f.Planning(), []string{"f1"})
	if err := f.Go(leader); err != nil {
		t.Fatal(err)
	}
	f.served(t, d, "f1 is cut off from all planners", rate)
	f.await(t, "its plan has aged", planned("f1", func(s *fleet.LoadPlanStatus) bool { return s.FreshFor < -3 }))
	f.served(t, d, "f1 is without a plan", rate)
	f.Net.Heal()
	f.await(t, "f1 has a plan again", planned("f1", func(s *fleet.LoadPlanStatus) bool { return s.FreshFor > 0 }))
	for _, name := range f.Front() {
		term := 0
		for _, s := range f.Said(name, "load_planner_changed") {
			next, err := strconv.Atoi(s.Fields["term"])
			if err != nil || next < term {
				t.Errorf("%s goes from term %d to %s", name, term, s.Fields["term"])
			}
			term = next
		}
	}
}
