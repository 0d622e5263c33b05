package serve

import (
	"log/slog"

	"swiftcourse/choice"
	"swiftcourse/internal/memory"
)

// gaugeLead is how long before a timer the gauges are asked for: a few turns, so that the reading is there
// when the timer goes off, and still fresh.
const gaugeLead = 0.004

// carryOut does what the module decided, in order.
func (s *Server) carryOut(actions []choice.Action, now float64) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case choice.SetHealth:
			s.setWell(a.Flag)
			continue
		case choice.ReportLoad:
			s.setFree(a.Value)
			continue
		case choice.SetIdleTimeout:
			if a.Duration <= 0 {
				a.Duration = s.start.Settings.IdleTimeout
			}
			s.door.Idle(a.Duration)
			continue
		case choice.SetTimer:
			label := a.Label
			s.timers.Schedule(now+max(0, a.Duration-gaugeLead), s.processor.asking)
			s.timers.Schedule(now+a.Duration, func() { s.happens(choice.Event{Kind: choice.TimerFired, Label: label}) })
			continue
		case choice.LogLine:
			slog.Info("note", "text", a.Label)
			continue
		}
		t := s.tasks.Get(a.RequestID)
		if t == nil { // it is over
			if a.Kind == choice.DeleteKey {
				s.kept.Remove(a.RequestID)
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
			s.call(t, a.Duration)
		case choice.Degrade:
			s.processor.reply(t, nil, true)
		case choice.StoreKey:
			s.kept.Track(t, now+a.Duration, s.runsOnce(t.Class))
		case choice.DeleteKey:
			s.kept.Remove(t.ID)
		case choice.ReuseResult:
			s.reuse(t, now)
		}
	}
}

// reuse answers a task with what the kept one it repeats came to, now or at that one's end.
func (s *Server) reuse(t *memory.Request, now float64) {
	switch result, state := s.kept.LookupOrWait(t, now); state {
	case memory.Available:
		s.shared(t, result, choice.Finished, 0)
	case memory.Missing, memory.Unrepeatable:
		s.shared(t, nil, choice.Failed, 0)
	}
}

// shared ends a task that took another's answer.
func (s *Server) shared(t *memory.Request, result []byte, outcome choice.Outcome, took float64) {
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
	s.happens(choice.Event{Kind: choice.RunEnded, RequestID: t.ID, Outcome: outcome, Duration: took})
}

func (s *Server) setWell(well bool) {
	if s.well != well {
		slog.Info("health", "well", well)
	}
	s.well = well
	s.roster.tell()
}
