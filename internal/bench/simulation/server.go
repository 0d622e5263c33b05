package simulation

import (
	"fmt"

	"swiftcourse/admission"
)

// server is one server of the fleet: package choice decides, a machine runs.
type server struct {
	*play
	number  int
	life    int // how many it has had
	alive   bool
	leaving bool
	well    bool // as it says
	listed  bool // as balancers have heard
	open    int  // tries of balancers that have no end yet
	module  *admission.Controller
	machine *machine
	tries   map[string]*try
	over    float64 // since when there have been more runs than it survives, -1 where there are not
	batch   []admission.Event
	turning bool
	slow    float64
}

// try is an attempt at a task, at one server.
type try struct {
	id       string
	task     *task
	at       *server
	life     int
	came     float64
	due      float64 // when its final answer has to be there
	work     float64
	job      *job
	parked   bool // its run waits for a call
	asked    int  // calls of it so far; an end of another than the latest is late
	called   *job // the latest call, while it is below
	began    float64
	answered bool
	gone     bool // its caller does not wait for it any more
	runs     int
}

func (s *server) start(cold bool) {
	s.life++
	s.alive, s.leaving, s.well, s.over = true, false, true, -1
	s.tries = map[string]*try{}
	s.module = admission.New(int64(s.scenario.Seed)+int64(s.number)*1000+int64(s.life), s.scenario.site(cold))
	life := s.life
	if cold && s.scenario.ColdFor > 0 {
		s.warmth(s.scenario.ColdFrom)
		s.after(s.scenario.ColdFor, func() {
			if s.life == life {
				s.warmth(1)
			}
		})
	}
	s.happens(admission.Event{Kind: admission.Started})
	s.list()
}

// warmth sets the speed that is left of the usual one.
func (s *server) warmth(part float64) { s.machine.setSpeed(part * s.slow) }

// list has the balancers hear of its health, late.
func (s *server) list() {
	s.after(s.scenario.Lag, func() { s.listed = s.alive && s.well })
}

func (s *server) kill() {
	if !s.alive {
		return
	}
	s.alive = false
	s.machine.clear()
	for _, t := range s.inOrder() {
		s.hangUp(t)
		if !t.answered && !t.gone {
			t.answered = true
			s.after(s.delay(), func() { t.task.ended(t, cut, 0, false) })
		}
	}
	s.tries = map[string]*try{}
	s.list()
}

// inOrder lists the tries in the order in which they came.
func (s *server) inOrder() []*try {
	list := make([]*try, 0, len(s.tries))
	for _, t := range s.tries {
		list = append(list, t)
	}
	sortTries(list)
	return list
}

// leave tells it that it will be killed.
func (s *server) leave() {
	if !s.alive || s.leaving {
		return
	}
	s.leaving = true
	life := s.life
	s.happens(admission.Event{Kind: admission.DrainStarted, Duration: stopIn})
	s.after(stopIn, func() {
		if s.life != life || !s.alive {
			return
		}
		for _, t := range s.inOrder() {
			if !t.answered && !t.gone {
				s.broken(t, "not answered when its server was killed after a drain")
			}
		}
		s.kill()
	})
}

// take reads a try.
func (s *server) take(t *try) {
	if !s.alive {
		s.after(s.delay(), func() { t.task.ended(t, unreachable, 0, false) })
		return
	}
	t.life, t.came = s.life, s.now
	s.tries[t.id] = t
	s.happens(admission.Event{Kind: admission.Arrived, RequestID: t.id, Request: admission.Request{Class: t.task.stage, Client: 0, Memory: taskMemory,
		RemainingBudget: t.due - s.now}})
	s.after(t.due-s.now+answerSlack+enough, func() {
		if s.alive && s.life == t.life && !t.answered && !t.gone {
			s.broken(t, "no answer by its due moment")
		}
	})
}

// forget tells it that nobody waits for a try.
func (s *server) forget(t *try) {
	if s.alive && s.life == t.life && !t.answered {
		t.gone = true
		s.happens(admission.Event{Kind: admission.ClientGone, RequestID: t.id})
		s.drop(t)
	}
}

// drop forgets a try that nobody waits for. Its run, if that waits for a call, ends there.
func (s *server) drop(t *try) {
	if !t.answered && !t.gone || t.job != nil {
		return
	}
	if t.parked {
		t.parked = false
		s.hangUp(t)
		s.happens(admission.Event{Kind: admission.RunEnded, RequestID: t.id, Outcome: admission.Cancelled, Duration: s.now - t.began})
	}
	delete(s.tries, t.id)
}

// happens has the module decide at the end of this instant, with all that happens in it.
func (s *server) happens(e admission.Event) {
	s.batch = append(s.batch, e)
	if s.turning {
		return
	}
	s.turning = true
	life := s.life
	s.after(0, func() {
		s.turning = false
		batch := s.batch
		s.batch = nil
		if s.alive && s.life == life {
			s.carryOut(s.module.Decide(s.now, batch))
		}
	})
}

func (s *server) carryOut(actions []admission.Action) {
	for _, a := range actions {
		switch a.Kind {
		case admission.SetHealth:
			if s.well != a.Healthy {
				s.well = a.Healthy
				s.list()
			}
		case admission.SetTimer:
			life, label := s.life, a.Label
			s.after(a.Duration, func() {
				if s.alive && s.life == life {
					s.happens(admission.Event{Kind: admission.TimerFired, Label: label, Gauges: s.gauges()})
				}
			})
		case admission.StartRun:
			if t := s.tries[a.RequestID]; t != nil {
				s.begin(t)
			}
		case admission.DispatchCall:
			if t := s.tries[a.RequestID]; t != nil && t.parked && t.called == nil {
				s.call(t, a.Duration)
			}
		case admission.Degrade:
			if t := s.tries[a.RequestID]; t != nil && t.parked {
				s.hangUp(t)
				s.goOn(t)
			}
		case admission.Reject:
			s.answer(a.RequestID, rejected, a.Duration, a.NoFailover)
		case admission.Fail:
			s.answer(a.RequestID, abandoned, 0, false)
		}
	}
}

func (s *server) gauges() admission.Gauges {
	n := float64(s.machine.runs.Len())
	return admission.Gauges{Utilization: min(1, n/s.machine.cores), Runnable: n, Memory: -1, Connections: -1}
}

func (s *server) begin(t *try) {
	if t.job != nil || t.answered || t.gone {
		return
	}
	if t.runs++; t.runs > 1 {
		s.broken(t, "run a second time")
	}
	s.report.runs++
	t.began = s.now
	if !t.task.of().Calls {
		s.work(t, t.work)
		return
	}
	t.job = s.machine.run(t.work/2, func() {
		t.job = nil
		if t.parked = !t.answered && !t.gone; !t.parked { // it is over at its call
			s.report.wasted += t.work / 2
			s.happens(admission.Event{Kind: admission.RunEnded, RequestID: t.id, Outcome: admission.Cancelled, Duration: s.now - t.began})
			s.drop(t)
			return
		}
		s.happens(admission.Event{Kind: admission.AwaitingDownstream, RequestID: t.id})
	})
}

// work does the last part of a run.
func (s *server) work(t *try, seconds float64) {
	t.job = s.machine.run(seconds, func() {
		t.job = nil
		if t.answered || t.gone {
			s.report.wasted += t.work
		}
		s.answer(t.id, finished, 0, false)
		s.happens(admission.Event{Kind: admission.RunEnded, RequestID: t.id, Outcome: admission.Finished, Duration: s.now - t.began})
		s.drop(t)
	})
}

// goOn has a run go on after its call.
func (s *server) goOn(t *try) {
	t.parked = false
	s.work(t, t.work/2)
}

// call lets a call out, for so long.
func (s *server) call(t *try, wait float64) {
	t.asked++
	s.report.calls++
	nth, life, began := t.asked, s.life, s.now
	over := func(outcome admission.Outcome) {
		if s.life != life || !s.alive || t.asked != nth || !t.parked || t.called == nil {
			return
		}
		s.hangUp(t)
		if outcome == admission.Finished {
			s.goOn(t)
		}
		s.happens(admission.Event{Kind: admission.CallReturned, RequestID: t.id, Outcome: outcome, Duration: s.now - began})
	}
	t.called = s.below.run(s.exponential(s.scenario.Below.Work), func() { s.after(s.delay(), func() { over(admission.Finished) }) })
	if s.belowDead {
		s.below.stop(t.called)
	}
	s.after(wait, func() { over(admission.TimedOut) })
}

// hangUp gives a call up that may be below.
func (s *server) hangUp(t *try) {
	if t.called != nil {
		s.below.stop(t.called)
		t.called = nil
	}
}

// answer gives a try its final answer.
func (s *server) answer(id string, how ending, advice float64, last bool) {
	t := s.tries[id]
	if t == nil || t.gone || t.answered && how == finished { // its run ends for nobody
		return
	}
	if t.answered {
		s.broken(t, "answered a second time")
		return
	}
	t.answered = true
	s.after(s.delay(), func() { t.task.ended(t, how, advice, last) })
	s.drop(t)
}

// crowded watches that it does not fall over.
func (s *server) crowded(n int) {
	switch {
	case float64(n) <= crowd*s.machine.cores:
		s.over = -1
	case s.over < 0:
		s.over = s.now
	case s.now-s.over > crowdFor:
		s.report.note(fmt.Sprintf("t=%.6f server=%d fell over: %d runs on %g cores for %g s", s.now, s.number, n, s.machine.cores, crowdFor))
		s.over = s.now
	}
}

// broken books that a rule was broken.
func (s *server) broken(t *try, what string) {
	s.report.note(fmt.Sprintf("t=%.6f server=%d try=%s came=%.6f due=%.6f %s", s.now, s.number, t.id, t.came, t.due, what))
}
