package server

import (
	"log/slog"

	"swiftcourse/admission"
	"swiftcourse/internal/memory"
)

// gaugeLead is how long, in seconds, before a timer the gauges are asked for: a few turns, so that
// the reading is there when the timer goes off, and still fresh.
const gaugeLead = 0.004

// execute carries out what the controller decided, in order.
func (s *Server) execute(actions []admission.Action, now float64) {
	for i := range actions {
		action := &actions[i]
		if !s.executeOnServer(action, now) {
			s.executeOnRequest(action, now)
		}
	}
}

// executeOnServer carries out an action that is about no request, and reports whether it was one.
func (s *Server) executeOnServer(action *admission.Action, now float64) bool {
	switch action.Kind {
	case admission.SetHealth:
		s.setHealthy(action.Flag)
	case admission.ReportLoad:
		s.setLoadReport(action.Value)
	case admission.SetIdleTimeout:
		if action.Duration <= 0 {
			action.Duration = s.startup.Settings.IdleTimeout
		}
		s.clients.limiter.Idle(action.Duration)
	case admission.SetTimer:
		s.setTimer(action.Label, action.Duration, now)
	case admission.LogLine:
		slog.Info("controller_message", "text", action.Label)
	default:
		return false
	}
	return true
}

// setTimer has the controller hear of a timer in so many seconds, with fresh gauges.
func (s *Server) setTimer(label string, seconds, now float64) {
	s.loop.timers.Schedule(now+max(0, seconds-gaugeLead), s.executor.askGaugesFunc)
	s.loop.timers.Schedule(now+seconds, func() {
		s.queueEvent(admission.Event{Kind: admission.TimerFired, Label: label})
	})
}

// executeOnRequest carries out an action that is about a request. One that is over needs nothing
// but to leave the cache.
func (s *Server) executeOnRequest(action *admission.Action, now float64) {
	request := s.requests.Get(action.RequestID)
	if request == nil {
		if action.Kind == admission.DeleteKey {
			s.results.Remove(action.RequestID)
		}
		return
	}
	switch action.Kind {
	case admission.StartRun:
		s.startRun(request)
	case admission.Reject:
		s.reject(request, action.Duration, action.Flag)
	case admission.Fail:
		s.fail(request)
	case admission.DispatchCall:
		s.startCall(request, action.Duration)
	case admission.Degrade:
		s.executor.reply(request, nil, true)
	case admission.StoreKey:
		s.results.Track(request, now+action.Duration, s.runsAtMostOnce(request.Class))
	case admission.DeleteKey:
		s.results.Remove(request.ID)
	case admission.ReuseResult:
		s.answerFromCache(request, now)
	}
}

// answerFromCache answers a request with what the one it repeats came to, now or at that one's end.
func (s *Server) answerFromCache(request *memory.Request, now float64) {
	switch result, state := s.results.LookupOrWait(request, now); state {
	case memory.Available:
		s.answerShared(request, result, admission.Finished, 0)
	case memory.Missing, memory.Unrepeatable:
		s.answerShared(request, nil, admission.Failed, 0)
	}
}

// answerShared ends a request, nil for one that is over, that took another's answer; that took so
// many seconds.
func (s *Server) answerShared(request *memory.Request, result []byte, outcome admission.Outcome, took float64) {
	if request == nil || request.Answered {
		return
	}
	if outcome == admission.Finished {
		s.finish(request, result)
	} else {
		outcome = admission.Failed
		s.fail(request)
	}
	s.queueEvent(admission.Event{
		Kind:      admission.RunEnded,
		RequestID: request.ID,
		Outcome:   outcome,
		Duration:  took,
	})
}

// setHealthy takes the controller's word on the server's health.
func (s *Server) setHealthy(healthy bool) {
	if s.health.healthy != healthy {
		slog.Info("health_changed", "healthy", healthy)
	}
	s.health.healthy = healthy
	s.registry.report()
}
