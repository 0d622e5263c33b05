package server

import (
	"log/slog"
	"strconv"

	"swiftcourse/admission"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/resultcache"
)

// gaugeLeadSeconds is how long before a timer event the gauges are requested. It covers a few
// turns, so that a fresh reading is available when the timer fires.
const gaugeLeadSeconds = 0.004

// executeActions carries out the controller's actions, in order.
func (s *Server) executeActions(actions []admission.Action, now float64) {
	for i := range actions {
		action := &actions[i]
		if !s.executeOnServer(action, now) {
			s.executeOnRequest(action, now)
		}
	}
}

// executeOnServer carries out an action that concerns the whole server. It returns false, and does
// nothing, for an action that concerns a request.
func (s *Server) executeOnServer(action *admission.Action, now float64) bool {
	switch action.Kind {
	case admission.SetHealth:
		s.setHealthy(action.Healthy)
	case admission.ReportLoad:
		s.setLoadReport(action.Load)
	case admission.SetIdleTimeout:
		timeout := action.Duration
		if timeout <= 0 {
			timeout = s.startup.Settings.IdleTimeout
		}
		s.clients.limiter.SetIdleTimeout(timeout)
	case admission.SetTimer:
		s.setTimer(action.Label, action.Duration, now)
	case admission.LogLine:
		slog.Info("controller_message", "text", action.Label)
	default:
		return false
	}
	return true
}

// setTimer schedules a timer event after the given seconds, and a request for fresh gauges just
// before it.
func (s *Server) setTimer(label string, seconds, now float64) {
	s.loop.timers.Schedule(now+max(0, seconds-gaugeLeadSeconds), s.executor.requestGaugesFunc)
	s.loop.timers.Schedule(now+seconds, func() {
		s.queueEvent(admission.Event{Kind: admission.TimerFired, Label: label})
	})
}

// executeOnRequest carries out an action that concerns a request.
func (s *Server) executeOnRequest(action *admission.Action, now float64) {
	request := s.requests.Get(action.RequestID)
	if request == nil {
		s.executeWithoutRequest(action)
		return
	}
	switch action.Kind {
	case admission.StartRun:
		s.startRunIfAwaited(request)
	case admission.Reject:
		s.rejectWith(request, action.Duration, action.NoFailover)
	case admission.Fail:
		s.fail(request)
	case admission.DispatchCall:
		s.startCall(request, action.Duration)
	case admission.Degrade:
		s.executor.skipCall(request)
	case admission.StoreKey:
		s.results.Track(request, now+action.Duration, s.runsAtMostOnce(request.Class))
	case admission.DeleteKey:
		s.results.Remove(request.ID)
	case admission.ReuseResult:
		s.answerFromCache(request, now)
	}
}

// executeWithoutRequest carries out an action that concerns a request which is no longer in the table: an
// earlier action of the batch has shown that its client is gone.
func (s *Server) executeWithoutRequest(action *admission.Action) {
	switch action.Kind {
	case admission.DeleteKey:
		s.results.Remove(action.RequestID)
	case admission.StartRun:
		s.queueNeverStarted(action.RequestID)
	}
}

// startRunIfAwaited starts the run of a request, unless its client has closed the connection. The close
// may be behind input that has not been read yet.
func (s *Server) startRunIfAwaited(request *requesttable.Request) {
	client := s.clients.conns.Get(request.Connection)
	if client == nil || !client.closedByPeer() {
		s.startRun(request)
		return
	}
	s.statistics.goneBeforeStart++
	client.closeNow() // cancels all its requests
	s.queueNeverStarted(request.ID)
}

// queueNeverStarted reports to the controller that a run which it decided to start never was.
func (s *Server) queueNeverStarted(id string) {
	s.queueEvent(admission.Event{Kind: admission.RunEnded, RequestID: id, Outcome: admission.NeverStarted})
}

// answerFromCache answers a repeat with the result of its original request, now or when the original
// ends.
func (s *Server) answerFromCache(request *requesttable.Request, now float64) {
	switch result, state := s.results.LookupOrWait(request, now); state {
	case resultcache.Available:
		s.answerShared(request, result, admission.Finished, 0)
	case resultcache.Missing, resultcache.Unrepeatable:
		s.answerShared(request, nil, admission.Failed, 0)
	}
}

// answerShared answers a repeat with the outcome of its original request, which ran for the given
// seconds. It does nothing if the repeat is nil or was already answered.
func (s *Server) answerShared(
	request *requesttable.Request, result []byte, outcome admission.Outcome, seconds float64,
) {
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
		Duration:  seconds,
	})
}

// setHealthy sets the health that the controller decided, and reports it to the registry.
func (s *Server) setHealthy(healthy bool) {
	if s.health.healthy != healthy {
		slog.Info("health_changed", "healthy", healthy)
	}
	s.health.healthy = healthy
	s.registry.report()
}

// setLoadReport sets the free capacity that is reported with every answer.
func (s *Server) setLoadReport(free float64) {
	s.health.loadReport.LoadReport = strconv.FormatFloat(free, 'f', -1, 64)
}
