package simulation

import (
	"fmt"

	"swiftcourse/admission"
)

// server is one server of the fleet: package admission decides, a machine runs.
type server struct {
	*requestSim
	number            int
	incarnation       int // number of its starts
	alive             bool
	isDraining        bool
	isHealthy         bool // by its controller
	listed            bool // as balancers know
	openAttempts      int  // attempts that balancers have open
	controller        *admission.Controller
	machine           *machine
	attempts          map[string]*attempt
	overloadedSince   float64 // since when there are more runs than it survives; -1 if there are not
	batch             []admission.Event
	decisionScheduled bool
	speedFactor       float64
}

// attempt is one attempt of a request, at one server.
type attempt struct {
	id           string
	request      *request
	server       *server
	incarnation  int
	arrivedAt    float64
	deadline     float64 // of its answer
	work         float64
	job          *machineRun
	awaitsCall   bool        // its run waits for a call
	callCount    int         // calls so far; the end of another than the latest is late
	pendingCall  *machineRun // the latest call, while it is in flight
	startedAt    float64
	isAnswered   bool
	isClientGone bool // nobody waits for it any more
	runs         int
}

// start starts an incarnation; one that is a restart is slow at first.
func (s *server) start(isRestart bool) {
	s.incarnation++
	s.alive = true
	s.isDraining = false
	s.isHealthy = true
	s.overloadedSince = -1
	s.attempts = map[string]*attempt{}
	seed := int64(s.scenario.Seed) + int64(s.number)*1000 + int64(s.incarnation)
	s.controller = admission.New(seed, s.scenario.settings(isRestart))
	incarnation := s.incarnation
	if isRestart && s.scenario.SlowStartSeconds > 0 {
		s.setSpeed(s.scenario.InitialSpeed)
		s.after(s.scenario.SlowStartSeconds, func() {
			if s.incarnation == incarnation {
				s.setSpeed(1)
			}
		})
	}
	s.addEvent(admission.Event{Kind: admission.Started})
	s.publishHealth()
}

// setSpeed sets the share of the normal speed that is left, apart from a slow fault.
func (s *server) setSpeed(share float64) { s.machine.setSpeed(share * s.speedFactor) }

// publishHealth tells balancers the present health, after the health delay.
func (s *server) publishHealth() {
	s.after(s.scenario.HealthDelay, func() { s.listed = s.alive && s.isHealthy })
}

// kill ends the server with all its attempts.
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

// sortedAttempts returns the attempts in the order in which they arrived.
func (s *server) sortedAttempts() []*attempt {
	list := make([]*attempt, 0, len(s.attempts))
	for _, t := range s.attempts {
		list = append(list, t)
	}
	sortAttempts(list)
	return list
}

// drain announces that the server will be killed after drainTimeout, and checks then that
// everything is answered.
func (s *server) drain() {
	if !s.alive || s.isDraining {
		return
	}
	s.isDraining = true
	incarnation := s.incarnation
	s.addEvent(admission.Event{Kind: admission.DrainStarted, Duration: drainTimeout})
	s.after(drainTimeout, func() {
		if s.incarnation != incarnation || !s.alive {
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

// receive takes in an attempt.
func (s *server) receive(t *attempt) {
	if !s.alive {
		s.after(s.drawDelay(), func() { t.request.attemptEnded(t, unreachable, 0, false) })
		return
	}
	t.incarnation = s.incarnation
	t.arrivedAt = s.now
	s.attempts[t.id] = t
	s.addEvent(admission.Event{
		Kind:      admission.Arrived,
		RequestID: t.id,
		Request: admission.Request{
			Class:           t.request.class,
			Client:          0,
			Memory:          requestMemory,
			RemainingBudget: t.deadline - s.now,
		},
	})
	s.after(t.deadline-s.now+answerTolerance+workEpsilon, func() {
		if s.alive && s.incarnation == t.incarnation && !t.isAnswered && !t.isClientGone {
			s.reportViolation(t, "no answer by its due moment")
		}
	})
}

// clientGone tells the server that nobody waits for an attempt.
func (s *server) clientGone(t *attempt) {
	if s.alive && s.incarnation == t.incarnation && !t.isAnswered {
		t.isClientGone = true
		s.addEvent(admission.Event{Kind: admission.ClientGone, RequestID: t.id})
		s.discard(t)
	}
}

// discard forgets an attempt that nobody waits for, unless it is running. A run that waits for a
// call ends there.
func (s *server) discard(t *attempt) {
	if !t.isAnswered && !t.isClientGone || t.job != nil {
		return
	}
	if t.awaitsCall {
		t.awaitsCall = false
		s.cancelCall(t)
		s.runEnded(t, admission.Cancelled)
	}
	delete(s.attempts, t.id)
}

// runEnded tells the controller that a run ended.
func (s *server) runEnded(t *attempt, outcome admission.Outcome) {
	s.addEvent(admission.Event{
		Kind:      admission.RunEnded,
		RequestID: t.id,
		Outcome:   outcome,
		Duration:  s.now - t.startedAt,
	})
}

// addEvent has the controller decide at the end of this instant, with all events of the instant.
func (s *server) addEvent(e admission.Event) {
	s.batch = append(s.batch, e)
	if s.decisionScheduled {
		return
	}
	s.decisionScheduled = true
	incarnation := s.incarnation
	s.after(0, func() {
		s.decisionScheduled = false
		batch := s.batch
		s.batch = nil
		if s.alive && s.incarnation == incarnation {
			s.execute(s.controller.Decide(s.now, batch))
		}
	})
}

// execute carries out the actions of the controller.
func (s *server) execute(actions []admission.Action) {
	for _, action := range actions {
		switch action.Kind {
		case admission.SetHealth:
			s.setHealth(action.Healthy)
		case admission.SetTimer:
			s.setTimer(action.Label, action.Duration)
		case admission.Reject:
			s.answer(action.RequestID, rejected, action.Duration, action.NoFailover)
		case admission.Fail:
			s.answer(action.RequestID, abandoned, 0, false)
		default:
			if t := s.attempts[action.RequestID]; t != nil {
				s.executeRun(t, action)
			}
		}
	}
}

// executeRun carries out an action about the run of an attempt.
func (s *server) executeRun(t *attempt, action admission.Action) {
	switch action.Kind {
	case admission.StartRun:
		s.startRun(t)
	case admission.DispatchCall:
		if t.awaitsCall && t.pendingCall == nil {
			s.dispatchCall(t, action.Duration)
		}
	case admission.Degrade:
		if t.awaitsCall {
			s.cancelCall(t)
			s.resumeRun(t)
		}
	}
}

func (s *server) setHealth(isHealthy bool) {
	if s.isHealthy != isHealthy {
		s.isHealthy = isHealthy
		s.publishHealth()
	}
}

func (s *server) setTimer(label string, seconds float64) {
	incarnation := s.incarnation
	s.after(seconds, func() {
		if s.alive && s.incarnation == incarnation {
			s.addEvent(admission.Event{Kind: admission.TimerFired, Label: label, Gauges: s.gauges()})
		}
	})
}

// gauges returns the load as a server measures it; memory and connections are not measured.
func (s *server) gauges() admission.Gauges {
	runs := float64(s.machine.heap.Len())
	return admission.Gauges{Utilization: min(1, runs/s.machine.cores), Runnable: runs, Memory: -1, Connections: -1}
}

// startRun starts the run of an attempt, up to its call if it makes one.
func (s *server) startRun(t *attempt) {
	if t.job != nil || t.isAnswered || t.isClientGone {
		return
	}
	t.runs++
	if t.runs > 1 {
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
		t.awaitsCall = !t.isAnswered && !t.isClientGone
		if !t.awaitsCall { // it is over at its call
			s.tally.wasted += t.work / 2
			s.runEnded(t, admission.Cancelled)
			s.discard(t)
			return
		}
		s.addEvent(admission.Event{Kind: admission.AwaitingDownstream, RequestID: t.id})
	})
}

// finishRun runs the last part of a run and answers.
func (s *server) finishRun(t *attempt, seconds float64) {
	t.job = s.machine.run(seconds, func() {
		t.job = nil
		if t.isAnswered || t.isClientGone {
			s.tally.wasted += t.work
		}
		s.answer(t.id, finished, 0, false)
		s.runEnded(t, admission.Finished)
		s.discard(t)
	})
}

// resumeRun continues a run after its call.
func (s *server) resumeRun(t *attempt) {
	t.awaitsCall = false
	s.finishRun(t, t.work/2)
}

// dispatchCall makes a call downstream, with a timeout in seconds.
func (s *server) dispatchCall(t *attempt, timeout float64) {
	t.callCount++
	s.tally.calls++
	number := t.callCount
	incarnation := s.incarnation
	startedAt := s.now
	returned := func(outcome admission.Outcome) {
		isOver := s.incarnation != incarnation || !s.alive
		if isOver || t.callCount != number || !t.awaitsCall || t.pendingCall == nil {
			return
		}
		s.cancelCall(t)
		if outcome == admission.Finished {
			s.resumeRun(t)
		}
		s.addEvent(admission.Event{
			Kind:      admission.CallReturned,
			RequestID: t.id,
			Outcome:   outcome,
			Duration:  s.now - startedAt,
		})
	}
	work := s.exponential(s.scenario.Downstream.Work)
	t.pendingCall = s.downstream.run(work, func() {
		s.after(s.drawDelay(), func() { returned(admission.Finished) })
	})
	if s.downstreamDead {
		s.downstream.stop(t.pendingCall)
	}
	s.after(timeout, func() { returned(admission.TimedOut) })
}

// cancelCall cancels the call of an attempt if it is in flight.
func (s *server) cancelCall(t *attempt) {
	if t.pendingCall != nil {
		s.downstream.stop(t.pendingCall)
		t.pendingCall = nil
	}
}

// answer gives an attempt its answer.
func (s *server) answer(id string, how outcome, retryAfter float64, noFailover bool) {
	t := s.attempts[id]
	if t == nil || t.isClientGone || t.isAnswered && how == finished { // nobody waits for the end of its run
		return
	}
	if t.isAnswered {
		s.reportViolation(t, "answered a second time")
		return
	}
	t.isAnswered = true
	s.after(s.drawDelay(), func() { t.request.attemptEnded(t, how, retryAfter, noFailover) })
	s.discard(t)
}

// checkOverload records a violation if there are more runs than the server survives for longer than
// overloadWindow.
func (s *server) checkOverload(n int) {
	switch {
	case float64(n) <= maxRunsPerCore*s.machine.cores:
		s.overloadedSince = -1
	case s.overloadedSince < 0:
		s.overloadedSince = s.now
	case s.now-s.overloadedSince > overloadWindow:
		s.tally.addViolation(fmt.Sprintf("t=%.6f server=%d fell over: %d runs on %g cores for %g s",
			s.now, s.number, n, s.machine.cores, overloadWindow))
		s.overloadedSince = s.now
	}
}

// reportViolation records a violation by an attempt.
func (s *server) reportViolation(t *attempt, what string) {
	s.tally.addViolation(fmt.Sprintf("t=%.6f server=%d try=%s came=%.6f due=%.6f %s",
		s.now, s.number, t.id, t.arrivedAt, t.deadline, what))
}
