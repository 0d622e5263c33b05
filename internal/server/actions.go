package server

import (
	"log/slog"

	"swiftcourse/admission"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/resultcache"
)

// gaugeLead is how long before a timer the gauges are asked for: a few turns, so that the reading is there
// when the timer goes off, and still fresh.
const gaugeLead = 0.004

// execute does what the module decided, in order.
func (s *Server) execute(actions []admission.Action, now float64) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case admission.SetHealth:
			s.setHealthy(a.Healthy)
			continue
		case admission.ReportLoad:
			s.setLoadReport(a.Load)
			continue
		case admission.SetIdleTimeout:
			if a.Duration <= 0 {
				a.Duration = s.startup.Settings.IdleTimeout
			}
			s.connLimiter.Idle(a.Duration)
			continue
		case admission.SetTimer:
			label := a.Label
			s.timers.Schedule(now+max(0, a.Duration-gaugeLead), s.executor.gaugeTimer)
			s.timers.Schedule(now+a.Duration, func() { s.queueEvent(admission.Event{Kind: admission.TimerFired, Label: label}) })
			continue
		case admission.LogLine:
			slog.Info("note", "text", a.Label)
			continue
		}
		t := s.requests.Get(a.RequestID)
		if t == nil { // it is over
			if a.Kind == admission.DeleteKey {
				s.results.Remove(a.RequestID)
			}
			continue
		}
		switch a.Kind {
		case admission.StartRun:
			s.startRun(t)
		case admission.Reject:
			s.reject(t, a.Duration, a.NoFailover)
		case admission.Fail:
			s.abandon(t)
		case admission.DispatchCall:
			s.startCall(t, a.Duration)
		case admission.Degrade:
			s.executor.reply(t, nil, true)
		case admission.StoreKey:
			s.results.Track(t, now+a.Duration, s.runsAtMostOnce(t.Class))
		case admission.DeleteKey:
			s.results.Remove(t.ID)
		case admission.ReuseResult:
			s.answerFromCache(t, now)
		}
	}
}

// answerFromCache answers a task with what the kept one it repeats came to, now or at that one's end.
func (s *Server) answerFromCache(t *requesttable.Request, now float64) {
	switch result, state := s.results.LookupOrWait(t, now); state {
	case resultcache.Available:
		s.answerShared(t, result, admission.Finished, 0)
	case resultcache.Missing, resultcache.Unrepeatable:
		s.answerShared(t, nil, admission.Failed, 0)
	}
}

// answerShared ends a task that took another's answer.
func (s *Server) answerShared(t *requesttable.Request, result []byte, outcome admission.Outcome, took float64) {
	if t == nil || t.Answered {
		return
	}
	switch outcome {
	case admission.Finished:
		s.finish(t, result)
	default:
		outcome = admission.Failed
		s.abandon(t)
	}
	s.queueEvent(admission.Event{Kind: admission.RunEnded, RequestID: t.ID, Outcome: outcome, Duration: took})
}

func (s *Server) setHealthy(well bool) {
	if s.healthy != well {
		slog.Info("health", "well", well)
	}
	s.healthy = well
	s.registry.report()
}
