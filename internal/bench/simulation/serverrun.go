package simulation

import "swiftcourse/admission"

// startRun starts the run of an attempt. If its class makes a downstream call, the first half of
// the work runs before the call.
func (s *server) startRun(attempt *attempt) {
	if attempt.activeRun != nil || attempt.isAnswered || attempt.isClientGone {
		return
	}
	attempt.runs++
	if attempt.runs > 1 {
		s.reportViolation(attempt, "run a second time")
	}
	s.tally.runs++
	attempt.startedAt = s.now
	if !attempt.request.class().CallsDownstream {
		s.finishRun(attempt, attempt.work)
		return
	}
	attempt.activeRun = s.machine.start(attempt.work/2, func() {
		attempt.activeRun = nil
		attempt.awaitsCall = !attempt.isAnswered && !attempt.isClientGone
		if !attempt.awaitsCall { // the client does not wait for the result
			s.tally.wasted += attempt.work / 2
			s.reportRunEnd(attempt, admission.Cancelled)
			s.discard(attempt)
			return
		}
		s.addEvent(admission.Event{Kind: admission.AwaitingDownstream, RequestID: attempt.id})
	})
}

// finishRun runs the remaining work of an attempt and answers it.
func (s *server) finishRun(attempt *attempt, seconds float64) {
	attempt.activeRun = s.machine.start(seconds, func() {
		attempt.activeRun = nil
		if attempt.isAnswered || attempt.isClientGone {
			s.tally.wasted += attempt.work
		}
		s.answer(attempt.id, attemptResult{outcome: finished})
		s.reportRunEnd(attempt, admission.Finished)
		s.discard(attempt)
	})
}

// resumeRun continues a run after its downstream call.
func (s *server) resumeRun(attempt *attempt) {
	attempt.awaitsCall = false
	s.finishRun(attempt, attempt.work/2)
}

// dispatchCall makes a downstream call with a timeout in seconds.
func (s *server) dispatchCall(attempt *attempt, timeout float64) {
	attempt.callCount++
	s.tally.calls++
	number := attempt.callCount
	incarnation := s.incarnation
	startedAt := s.now
	returned := func(outcome admission.Outcome) {
		hasServerEnded := s.incarnation != incarnation || !s.alive
		if hasServerEnded || attempt.callCount != number || !attempt.awaitsCall || attempt.pendingCall == nil {
			return
		}
		s.cancelCall(attempt)
		if outcome == admission.Finished {
			s.resumeRun(attempt)
		}
		s.addEvent(admission.Event{
			Kind:      admission.CallReturned,
			RequestID: attempt.id,
			Outcome:   outcome,
			Duration:  s.now - startedAt,
		})
	}
	work := s.exponential(s.scenario.Downstream.Work)
	attempt.pendingCall = s.downstream.start(work, func() {
		s.after(s.drawDelay(), func() { returned(admission.Finished) })
	})
	if s.downstreamDead {
		s.downstream.stop(attempt.pendingCall)
	}
	s.after(timeout, func() { returned(admission.TimedOut) })
}

// cancelCall cancels the downstream call of an attempt if one is in flight.
func (s *server) cancelCall(attempt *attempt) {
	if attempt.pendingCall != nil {
		s.downstream.stop(attempt.pendingCall)
		attempt.pendingCall = nil
	}
}
