package loadplan

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// testForwarder is a subscriber together with the version of the assignment that it last accepted and
// the time until which that assignment is fresh.
type testForwarder struct {
	*Subscriber
	incarnation uint64
	current     Version
	freshUntil  float64
}

// restart gives the forwarder a new incarnation without an assignment.
func (f *testForwarder) restart() {
	f.incarnation++
	f.Subscriber = NewSubscriber(f.incarnation)
	f.current = Version{}
	f.freshUntil = 0
}

// accept offers an assignment. It reports whether the assignment was accepted and whether that is
// allowed. A rejection is always allowed.
func (f *testForwarder) accept(now float64, assignment *Assignment) (accepted, allowed bool) {
	freshUntil, accepted := f.Accept(now, assignment)
	if !accepted {
		return false, true
	}
	allowed = assignment.Incarnation == f.incarnation &&
		assignment.Version.Compare(f.current) >= 0 &&
		freshUntil > now && freshUntil <= now+LeaseSeconds
	f.current = assignment.Version
	f.freshUntil = freshUntil
	return true, allowed
}

// Answers of planners from several terms arrive late, twice and out of order, and the forwarder
// restarts. It must never accept an assignment that is older than its current one, expired, or meant
// for an earlier incarnation.
func TestSubscriber_NeverAcceptsAnOlderPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := 0.0
		forwarder := &testForwarder{}
		forwarder.restart()
		planners := []*Planner{New(1, 1, now)}
		var sent []*Assignment
		for range 300 {
			now += 0.4 * rng.Float64()
			switch rng.IntN(10) {
			case 0:
				planners = append(planners, New(1, uint64(len(planners)+1), now))
			case 1:
				forwarder.restart()
			}
			workers := []WorkerStats{{Name: "w", Connected: true, Finished: 3}}
			report := &Report{Name: "f", IntervalSeconds: 0.5, Workers: workers}
			forwarder.StampReport(now, report)
			planner := planners[rng.IntN(len(planners))]
			if assignment := planner.HandleReport(now, report); assignment != nil {
				sent = append(sent, assignment)
			}
			for range rng.IntN(3) {
				if len(sent) == 0 {
					break
				}
				before := *forwarder
				assignment := sent[rng.IntN(len(sent))]
				if _, allowed := forwarder.accept(now, assignment); !allowed {
					t.Fatalf("at %g s, %+v accepted %+v as fresh until %g s, want it rejected",
						now, before, assignment, forwarder.freshUntil)
				}
			}
		}
	})
}

// step is one step of TestSubscriber_NeverAcceptsWrongAssignmentInAnySixSteps.
type step int

const (
	reportToFirst step = iota
	reportToSecond
	waitPartOfLease
	restartForwarder
	oldestOfFirst // deliver the oldest answer of the first planner, possibly again
	oldestOfSecond
	latestOfFirst
	latestOfSecond
	stepCount
)

// stepRun executes a sequence of steps with one forwarder and two planners, both of which consider
// themselves the leader.
type stepRun struct {
	now       float64
	planners  [2]*Planner
	sent      [2][]*Assignment
	forwarder *testForwarder
	accepted  int
}

func newStepRun() *stepRun {
	run := &stepRun{now: 10, planners: [2]*Planner{New(1, 1, 0), New(1, 2, 0)}, forwarder: &testForwarder{}}
	run.forwarder.restart()
	return run
}

// execute executes a step. It returns an assignment that was accepted but must not be, or nil.
func (r *stepRun) execute(s step) *Assignment {
	switch s {
	case reportToFirst, reportToSecond:
		r.report(int(s - reportToFirst))
	case waitPartOfLease:
		r.now += 0.6 * LeaseSeconds
	case restartForwarder:
		r.forwarder.restart()
	case oldestOfFirst, oldestOfSecond:
		if sent := r.sent[s-oldestOfFirst]; len(sent) > 0 {
			return r.deliver(sent[0])
		}
	case latestOfFirst, latestOfSecond:
		if sent := r.sent[s-latestOfFirst]; len(sent) > 0 {
			return r.deliver(sent[len(sent)-1])
		}
	}
	return nil
}

func (r *stepRun) report(planner int) {
	workers := []WorkerStats{{Name: "w", Connected: true}}
	report := &Report{Name: "f", IntervalSeconds: 0.5, Workers: workers}
	r.forwarder.StampReport(r.now, report)
	if assignment := r.planners[planner].HandleReport(r.now, report); assignment != nil {
		r.sent[planner] = append(r.sent[planner], assignment)
	}
}

// deliver offers an assignment to the forwarder. It returns the assignment if it was accepted but must
// not be, nil otherwise.
func (r *stepRun) deliver(assignment *Assignment) (wrong *Assignment) {
	before := *r.forwarder
	accepted, allowed := r.forwarder.accept(r.now, assignment)
	if !accepted {
		return nil
	}
	r.accepted++
	sameVersion := assignment.Version == before.current
	if !allowed || sameVersion && r.forwarder.freshUntil != before.freshUntil {
		return assignment
	}
	return nil
}

// Executes every sequence of six steps. The forwarder must never accept an older or expired assignment,
// and accepting an assignment again must not extend its lease.
func TestSubscriber_NeverAcceptsWrongAssignmentInAnySixSteps(t *testing.T) {
	const steps = 6
	sequences := 1
	for range steps {
		sequences *= int(stepCount)
	}
	accepted := 0
	for sequence := range sequences {
		run := newStepRun()
		rest := sequence
		for range steps {
			next := step(rest % int(stepCount))
			rest /= int(stepCount)
			if wrong := run.execute(next); wrong != nil {
				t.Fatalf("sequence %o (a digit per step, the first step last): "+
					"at %g s, %+v accepted %+v, want it rejected", sequence, run.now, run.forwarder, wrong)
			}
		}
		accepted += run.accepted
	}
	if accepted < sequences/4 {
		t.Errorf("%d assignments accepted in %d sequences, want at least %d", accepted, sequences, sequences/4)
	}
}
