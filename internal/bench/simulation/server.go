package simulation

import (
	"fmt"

	"swiftcourse/admission"
)

// server is one server of the fleet: package choice decides, a machine runs.
type server struct {
	*requestSim
	number            int
	incarnation       int // how many it has had
	alive             bool
	isDraining        bool
	isHealthy         bool // as it says
	listed            bool // as balancers have heard
	openAttempts      int  // tries of balancers that have no end yet
	controller        *admission.Controller
	machine           *machine
	attempts          map[string]*attempt
	overloadedSince   float64 // since when there have been more runs than it survives, -1 where there are not
	batch             []admission.Event
	decisionScheduled bool
	speedFactor       float64
}

// attempt is an attempt at a task, at one server.
type attempt struct {
	id           string
	request      *request
	server       *server
	incarnation  int
	arrivedAt    float64
	deadline     float64 // when its final answer has to be there
	work         float64
	job          *machineRun
	awaitsCall   bool        // its run waits for a call
	callCount    int         // calls of it so far; an end of another than the latest is late
	pendingCall  *machineRun // the latest call, while it is below
	startedAt    float64
	isAnswered   bool
	isClientGone bool // its caller does not wait for it any more
	runs         int
}

func (s *server) start(cold bool) {
	s.incarnation++
	s.alive, s.isDraining, s.isHealthy, s.overloadedSince = true, false, true, -1
	s.attempts = map[string]*attempt{}
	s.controller = admission.New(int64(s.scenario.Seed)+int64(s.number)*1000+int64(s.incarnation), s.scenario.settings(cold))
	life := s.incarnation
	if cold && s.scenario.SlowStartSeconds > 0 {
		s.setSpeed(s.scenario.InitialSpeed)
		s.after(s.scenario.SlowStartSeconds, func() {
			if s.incarnation == life {
				s.setSpeed(1)
			}
		})
	}
	s.addEvent(admission.Event{Kind: admission.Started})
	s.publishHealth()
}

// setSpeed sets the speed that is left of the usual one.
func (s *server) setSpeed(part float64) { s.machine.setSpeed(part * s.speedFactor) }

// publishHealth has the balancers hear of its health, late.
func (s *server) publishHealth() {
	s.after(s.scenario.HealthDelay, func() { s.listed = s.alive && s.isHealthy })
}

func (s *server) kill() {
	if !s.alive {
		return
	}
	s.alive = false
	s.machine.clear()
	for _, t := range s.sortedAttempts() {
		s.cancelCall(t)
		if !t.isAnswered && !t.isClientGone {
			t.isAnswered = true
			s.after(s.drawDelay(), func() { t.request.attemptEnded(t, connectionLost, 0, false) })
		}
	}
	s.attempts = map[string]*attempt{}
	s.publishHealth()
}

// sortedAttempts lists the tries in the order in which they came.
func (s *server) sortedAttempts() []*attempt {
	list := make([]*attempt, 0, len(s.attempts))
	for _, t := range s.attempts {
		list = append(list, t)
	}
	sortAttempts(list)
	return list
}

// drain tells it that it will be killed.
func (s *server) drain() {
	if !s.alive || s.isDraining {
		return
	}
	s.isDraining = true
	life := s.incarnation
	s.addEvent(admission.Event{Kind: admission.DrainStarted, Duration: drainTimeout})
	s.after(drainTimeout, func() {
		if s.incarnation != life || !s.alive {
			return
		}
		for _, t := range s.sortedAttempts() {
			if !t.isAnswered && !t.isClientGone {
				s.reportViolation(t, "not answered when its server was killed after a drain")
			}
		}
		s.kill()
	})
}

// receive reads a try.
func (s *server) receive(t *attempt) {
	if !s.alive {
		s.after(s.drawDelay(), func() { t.request.attemptEnded(t, unreachable, 0, false) })
		return
	}
	t.incarnation, t.arrivedAt = s.incarnation, s.now
	s.attempts[t.id] = t
	s.addEvent(admission.Event{Kind: admission.Arrived, RequestID: t.id, Request: admission.Request{Class: t.request.class, Client: 0, Memory: requestMemory,
		RemainingBudget: t.deadline - s.now}})
	s.after(t.deadline-s.now+answerTolerance+workEpsilon, func() {
		if s.alive && s.incarnation == t.incarnation && !t.isAnswered && !t.isClientGone {
			s.reportViolation(t, "no answer by its due moment")
		}
	})
}

// clientGone tells it that nobody waits for a try.
func (s *server) clientGone(t *attempt) {
	if s.alive && s.incarnation == t.incarnation && !t.isAnswered {
		t.isClientGone = true
		s.addEvent(admission.Event{Kind: admission.ClientGone, RequestID: t.id})
		s.discard(t)
	}
}

// discard forgets a try that nobody waits for. Its run, if that waits for a call, ends there.
func (s *server) discard(t *attempt) {
	if !t.isAnswered && !t.isClientGone || t.job != nil {
		return
	}
	if t.awaitsCall {
		t.awaitsCall = false
		s.cancelCall(t)
		s.addEvent(admission.Event{Kind: admission.RunEnded, RequestID: t.id, Outcome: admission.Cancelled, Duration: s.now - t.startedAt})
	}
	delete(s.attempts, t.id)
}

// addEvent has the module decide at the end of this instant, with all that happens in it.
func (s *server) addEvent(e admission.Event) {
	s.batch = append(s.batch, e)
	if s.decisionScheduled {
		return
	}
	s.decisionScheduled = true
	life := s.incarnation
	s.after(0, func() {
		s.decisionScheduled = false
		batch := s.batch
		s.batch = nil
		if s.alive && s.incarnation == life {
			s.execute(s.controller.Decide(s.now, batch))
		}
	})
}

func (s *server) execute(actions []admission.Action) {
	for _, a := range actions {
		switch a.Kind {
		case admission.SetHealth:
			if s.isHealthy != a.Healthy {
				s.isHealthy = a.Healthy
				s.publishHealth()
			}
		case admission.SetTimer:
			life, label := s.incarnation, a.Label
			s.after(a.Duration, func() {
				if s.alive && s.incarnation == life {
					s.addEvent(admission.Event{Kind: admission.TimerFired, Label: label, Gauges: s.gauges()})
				}
			})
		case admission.StartRun:
			if t := s.attempts[a.RequestID]; t != nil {
				s.startRun(t)
			}
		case admission.DispatchCall:
			if t := s.attempts[a.RequestID]; t != nil && t.awaitsCall && t.pendingCall == nil {
				s.dispatchCall(t, a.Duration)
			}
		case admission.Degrade:
			if t := s.attempts[a.RequestID]; t != nil && t.awaitsCall {
				s.cancelCall(t)
				s.resumeRun(t)
			}
		case admission.Reject:
			s.answer(a.RequestID, rejected, a.Duration, a.NoFailover)
		case admission.Fail:
			s.answer(a.RequestID, abandoned, 0, false)
		}
	}
}

func (s *server) gauges() admission.Gauges {
	n := float64(s.machine.heap.Len())
	return admission.Gauges{Utilization: min(1, n/s.machine.cores), Runnable: n, Memory: -1, Connections: -1}
}

func (s *server) startRun(t *attempt) {
	if t.job != nil || t.isAnswered || t.isClientGone {
		return
	}
	if t.runs++; t.runs > 1 {
		s.reportViolation(t, "run a second time")
	}
	s.tally.runs++
	t.startedAt = s.now
	if !t.request.settings().CallsDownstream {
		s.finishRun(t, t.work)
		return
	}
	t.job = s.machine.run(t.work/2, func() {
		t.job = nil
		if t.awaitsCall = !t.isAnswered && !t.isClientGone; !t.awaitsCall { // it is over at its call
			s.tally.wasted += t.work / 2
			s.addEvent(admission.Event{Kind: admission.RunEnded, RequestID: t.id, Outcome: admission.Cancelled, Duration: s.now - t.startedAt})
			s.discard(t)
			return
		}
		s.addEvent(admission.Event{Kind: admission.AwaitingDownstream, RequestID: t.id})
	})
}

// finishRun does the last part of a run.
func (s *server) finishRun(t *attempt, seconds float64) {
	t.job = s.machine.run(seconds, func() {
		t.job = nil
		if t.isAnswered || t.isClientGone {
			s.tally.wasted += t.work
		}
		s.answer(t.id, finished, 0, false)
		s.addEvent(admission.Event{Kind: admission.RunEnded, RequestID: t.id, Outcome: admission.Finished, Duration: s.now - t.startedAt})
		s.discard(t)
	})
}

// resumeRun has a run go on after its call.
func (s *server) resumeRun(t *attempt) {
	t.awaitsCall = false
	s.finishRun(t, t.work/2)
}

// dispatchCall lets a call out, for so long.
func (s *server) dispatchCall(t *attempt, wait float64) {
	t.callCount++
	s.tally.calls++
	nth, life, began := t.callCount, s.incarnation, s.now
	over := func(outcome admission.Outcome) {
		if s.incarnation != life || !s.alive || t.callCount != nth || !t.awaitsCall || t.pendingCall == nil {
			return
		}
		s.cancelCall(t)
		if outcome == admission.Finished {
			s.resumeRun(t)
		}
		s.addEvent(admission.Event{Kind: admission.CallReturned, RequestID: t.id, Outcome: outcome, Duration: s.now - began})
	}
	t.pendingCall = s.downstream.run(s.exponential(s.scenario.Downstream.Work), func() { s.after(s.drawDelay(), func() { over(admission.Finished) }) })
	if s.downstreamDead {
		s.downstream.stop(t.pendingCall)
	}
	s.after(wait, func() { over(admission.TimedOut) })
}

// cancelCall gives a call up that may be below.
func (s *server) cancelCall(t *attempt) {
	if t.pendingCall != nil {
		s.downstream.stop(t.pendingCall)
		t.pendingCall = nil
	}
}

// answer gives a try its final answer.
func (s *server) answer(id string, how outcome, advice float64, last bool) {
	t := s.attempts[id]
	if t == nil || t.isClientGone || t.isAnswered && how == finished { // its run ends for nobody
		return
	}
	if t.isAnswered {
		s.reportViolation(t, "answered a second time")
		return
	}
	t.isAnswered = true
	s.after(s.drawDelay(), func() { t.request.attemptEnded(t, how, advice, last) })
	s.discard(t)
}

// checkOverload watches that it does not fall over.
func (s *server) checkOverload(n int) {
	switch {
	case float64(n) <= maxRunsPerCore*s.machine.cores:
		s.overloadedSince = -1
	case s.overloadedSince < 0:
		s.overloadedSince = s.now
	case s.now-s.overloadedSince > overloadWindow:
		s.tally.addViolation(fmt.Sprintf("t=%.6f server=%d fell over: %d runs on %g cores for %g s", s.now, s.number, n, s.machine.cores, overloadWindow))
		s.overloadedSince = s.now
	}
}

// reportViolation books that a rule was broken.
func (s *server) reportViolation(t *attempt, what string) {
	s.tally.addViolation(fmt.Sprintf("t=%.6f server=%d try=%s came=%.6f due=%.6f %s", s.now, s.number, t.id, t.arrivedAt, t.deadline, what))
}
