package simulation

import (
	"cmp"
	"fmt"
	"slices"

	"swiftcourse/admission"
)

// server is one server of the fleet. A controller of package admission decides which attempts run,
// and a machine runs them.
type server struct {
	*requestSim
	number            int
	incarnation       int // number of starts
	alive             bool
	isDraining        bool
	isHealthy         bool // the controller's latest decision
	isListed          bool // balancers may pick the server
	openAttempts      int  // attempts without a response to the client
	controller        *admission.Controller
	machine           *machine
	attempts          map[string]*attempt
	overloadedSince   float64           // when the number of runs exceeded maxRunsPerCore; -1 if it does not
	batch             []admission.Event // events of the present instant
	decisionScheduled bool
	speedFactor       float64 // share of the speed that a slow fault leaves; 1 without a fault
}

// attempt is one attempt of a request at a server.
type attempt struct {
	id           string
	request      *request
	server       *server
	incarnation  int // of the server
	arrivedAt    float64
	deadline     float64 // of the answer
	work         float64
	activeRun    *machineRun
	awaitsCall   bool        // the run waits for a downstream call
	callCount    int         // calls so far; only the latest one is waited for
	pendingCall  *machineRun // the latest call, while it is in flight
	startedAt    float64
	isAnswered   bool
	isClientGone bool // the client no longer waits
	runs         int  // number of starts
}

// start starts an incarnation. A restarted server has a slow start.
func (s *server) start(isRestart bool) {
	s.incarnation++
	s.alive = true
	s.isDraining = false
	s.isHealthy = true
	s.overloadedSince = -1
	s.attempts = map[string]*attempt{}
	seed := int64(s.scenario.Seed) + int64(s.number)*1000 + int64(s.incarnation)
	s.controller = admission.New(seed, s.scenario.admissionSettings(isRestart))
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

// setSpeed sets the machine's speed as a share of the speed that a slow fault leaves.
func (s *server) setSpeed(share float64) { s.machine.setSpeed(share * s.speedFactor) }

// publishHealth updates whether balancers may pick the server, after the health delay.
func (s *server) publishHealth() {
	s.after(s.scenario.HealthDelay, func() { s.isListed = s.alive && s.isHealthy })
}

// kill ends the server and closes the connections of its unanswered attempts.
func (s *server) kill() {
	if !s.alive {
		return
	}
	s.alive = false
	s.machine.clear()
	for _, attempt := range s.sortedAttempts() {
		s.cancelCall(attempt)
		if !attempt.isAnswered && !attempt.isClientGone {
			attempt.isAnswered = true
			s.sendResult(attempt, attemptResult{outcome: connectionLost})
		}
	}
	s.attempts = map[string]*attempt{}
	s.publishHealth()
}

// sortedAttempts returns the attempts sorted by arrival, then by ID.
func (s *server) sortedAttempts() []*attempt {
	list := make([]*attempt, 0, len(s.attempts))
	for _, attempt := range s.attempts {
		list = append(list, attempt)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.id, b.id))
	})
	return list
}

// drain starts a drain, and kills the server after drainTimeoutSeconds. Attempts that are
// unanswered by then are violations.
func (s *server) drain() {
	if !s.alive || s.isDraining {
		return
	}
	s.isDraining = true
	incarnation := s.incarnation
	s.addEvent(admission.Event{Kind: admission.DrainStarted, Duration: drainTimeoutSeconds})
	s.after(drainTimeoutSeconds, func() {
		if s.incarnation != incarnation || !s.alive {
			return
		}
		for _, attempt := range s.sortedAttempts() {
			if !attempt.isAnswered && !attempt.isClientGone {
				s.reportViolation(attempt, "not answered when its server was killed after a drain")
			}
		}
		s.kill()
	})
}

// receive passes a new attempt to the controller. A late answer is a violation.
func (s *server) receive(attempt *attempt) {
	if !s.alive {
		s.sendResult(attempt, attemptResult{outcome: unreachable})
		return
	}
	attempt.incarnation = s.incarnation
	attempt.arrivedAt = s.now
	s.attempts[attempt.id] = attempt
	s.addEvent(admission.Event{
		Kind:      admission.Arrived,
		RequestID: attempt.id,
		Request: admission.Request{
			Class:           attempt.request.classIndex,
			Client:          0,
			Memory:          requestMemoryKB,
			RemainingBudget: attempt.deadline - s.now,
		},
	})
	s.after(attempt.deadline-s.now+answerToleranceSeconds+workEpsilon, func() {
		if s.alive && s.incarnation == attempt.incarnation && !attempt.isAnswered && !attempt.isClientGone {
			s.reportViolation(attempt, "no answer by its due moment")
		}
	})
}

// handleClientGone informs the controller that the client no longer waits for an attempt.
func (s *server) handleClientGone(attempt *attempt) {
	if s.alive && s.incarnation == attempt.incarnation && !attempt.isAnswered {
		attempt.isClientGone = true
		s.addEvent(admission.Event{Kind: admission.ClientGone, RequestID: attempt.id})
		s.discard(attempt)
	}
}

// discard removes an attempt that is answered or whose client is gone, unless it is running. If its
// run waits for a downstream call, the run is cancelled.
func (s *server) discard(attempt *attempt) {
	if !attempt.isAnswered && !attempt.isClientGone || attempt.activeRun != nil {
		return
	}
	if attempt.awaitsCall {
		attempt.awaitsCall = false
		s.cancelCall(attempt)
		s.reportRunEnd(attempt, admission.Cancelled)
	}
	delete(s.attempts, attempt.id)
}

// reportRunEnd informs the controller of the end of a run.
func (s *server) reportRunEnd(attempt *attempt, outcome admission.Outcome) {
	s.addEvent(admission.Event{
		Kind:      admission.RunEnded,
		RequestID: attempt.id,
		Outcome:   outcome,
		Duration:  s.now - attempt.startedAt,
	})
}

// addEvent queues an event for the controller, which decides about all events of an instant
// together, at its end.
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
			s.answer(action.RequestID, attemptResult{
				outcome:    rejected,
				retryAfter: action.Duration,
				noFailover: action.NoFailover,
			})
		case admission.Fail:
			s.answer(action.RequestID, attemptResult{outcome: abandoned})
		default:
			if attempt := s.attempts[action.RequestID]; attempt != nil {
				s.executeRun(attempt, action)
			}
		}
	}
}

// executeRun carries out an action that concerns the run of an attempt.
func (s *server) executeRun(attempt *attempt, action admission.Action) {
	switch action.Kind {
	case admission.StartRun:
		s.startRun(attempt)
	case admission.DispatchCall:
		if attempt.awaitsCall && attempt.pendingCall == nil {
			s.dispatchCall(attempt, action.Duration)
		}
	case admission.Degrade:
		if attempt.awaitsCall {
			s.cancelCall(attempt)
			s.resumeRun(attempt)
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

// gauges returns the load gauges of the server. Memory and connections are not simulated.
func (s *server) gauges() admission.Gauges {
	runs := float64(s.machine.active.Len())
	return admission.Gauges{Utilization: min(1, runs/s.machine.cores), Runnable: runs, Memory: -1, Connections: -1}
}

// sendResult sends the result of an attempt to the client.
func (s *server) sendResult(attempt *attempt, result attemptResult) {
	s.after(s.drawDelay(), func() { attempt.request.handleAttemptEnd(attempt, result) })
}

// answer answers an attempt. A second answer is a violation.
func (s *server) answer(id string, result attemptResult) {
	attempt := s.attempts[id]
	if attempt == nil || attempt.isClientGone || attempt.isAnswered && result.outcome == finished {
		// The client is gone, or the run continued after the answer.
		return
	}
	if attempt.isAnswered {
		s.reportViolation(attempt, "answered a second time")
		return
	}
	attempt.isAnswered = true
	s.sendResult(attempt, result)
	s.discard(attempt)
}

// checkOverload records a violation if the server has more than maxRunsPerCore runs per core for
// longer than overloadWindowSeconds.
func (s *server) checkOverload(runs int) {
	switch {
	case float64(runs) <= maxRunsPerCore*s.machine.cores:
		s.overloadedSince = -1
	case s.overloadedSince < 0:
		s.overloadedSince = s.now
	case s.now-s.overloadedSince > overloadWindowSeconds:
		s.tally.addViolation(fmt.Sprintf("t=%.6f server=%d fell over: %d runs on %g cores for %g s",
			s.now, s.number, runs, s.machine.cores, overloadWindowSeconds))
		s.overloadedSince = s.now
	}
}

// reportViolation records a violation by an attempt.
func (s *server) reportViolation(attempt *attempt, description string) {
	s.tally.addViolation(fmt.Sprintf("t=%.6f server=%d try=%s came=%.6f due=%.6f %s",
		s.now, s.number, attempt.id, attempt.arrivedAt, attempt.deadline, description))
}
