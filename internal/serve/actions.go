package serve

import (
	"log/slog"

	"swiftcourse/choice"
	"swiftcourse/internal/memory"
)

// gaugeLead is how long before a timer the gauges are asked for: a few turns, so that the reading is there
// when the timer goes off, and still fresh.
const gaugeLead = 0.004

// execute does what the module decided, in order.
func (s *Server) execute(actions []choice.Action, now float64) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case choice.SetHealth:
			s.setHealthy(a.Flag)
			continue
		case choice.ReportLoad:
			s.setLoadReport(a.Value)
			continue
		case choice.SetIdleTimeout:
			if a.Duration <= 0 {
				a.Duration = s.startup.Settings.IdleTimeout
			}
			s.connLimiter.Idle(a.Duration)
			continue
		case choice.SetTimer:
			label := a.Label
			s.timers.Schedule(now+max(0, a.Duration-gaugeLead), s.executor.gaugeTimer)
			s.timers.Schedule(now+a.Duration, func() { s.queueEvent(choice.Event{Kind: choice.TimerFired, Label: label}) })
			continue
		case choice.LogLine:
			slog.Info("note", "text", a.Label)
			continue
		}
		t := s.requests.Get(a.RequestID)
		if t == nil { // it is over
			if a.Kind == choice.DeleteKey {
				s.results.Remove(a.RequestID)
			}
			continue
		}
		switch a.Kind {
		case choice.StartRun:
			s.startRun(t)
		case choice.Reject:
			s.reject(t, a.Duration, a.Flag)
		case choice.Fail:
			s.abandon(t)
		case choice.DispatchCall:
			s.startCall(t, a.Duration)
		case choice.Degrade:
			s.executor.reply(t, nil, true)
		case choice.StoreKey:
			s.results.Track(t, now+a.Duration, s.runsAtMostOnce(t.Class))
		case choice.DeleteKey:
			s.results.Remove(t.ID)
		case choice.ReuseResult:
			s.answerFromCache(t, now)
		}
	}
}

// answerFromCache answers a task with what the kept one it repeats came to, now or at that one's end.
func (s *Server) answerFromCache(t *memory.Request, now float64) {
	switch result, state := s.results.LookupOrWait(t, now); state {
	case memory.Available:
		s.answerShared(t, result, choice.Finished, 0)
	case memory.Missing, memory.Unrepeatable:
		s.answerShared(t, nil, choice.Failed, 0)
	}
}

// answerShared ends a task that took another's answer.
func (s *Server) answerShared(t *memory.Request, result []byte, outcome choice.Outcome, took float64) {
	if t == nil || t.Answered {
		return
	}
	switch outcome {
	case choice.Finished:
		s.finish(t, result)
	default:
		outcome = choice.Failed
		s.abandon(t)
	}
	s.queueEvent(choice.Event{Kind: choice.RunEnded, RequestID: t.ID, Outcome: outcome, Duration: took})
}

func (s *Server) setHealthy(well bool) {
	if s.healthy != well {
		slog.Info("health", "well", well)
	}
	s.healthy = well
	s.registry.report()
}
