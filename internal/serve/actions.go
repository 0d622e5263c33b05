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
		case choice.Health:
			s.setWell(a.Flag)
			continue
		case choice.SetFree:
			s.setFree(a.Value)
			continue
		case choice.Idle:
			if a.For <= 0 {
				a.For = s.start.Site.Idle
			}
			s.door.Idle(a.For)
			continue
		case choice.SetTimer:
			label := a.Label
			s.timers.Add(now+max(0, a.For-gaugeLead), s.processor.asking)
			s.timers.Add(now+a.For, func() { s.happens(choice.Event{Kind: choice.Timer, Label: label}) })
			continue
		case choice.Note:
			slog.Info("note", "text", a.Label)
			continue
		}
		t := s.tasks.Get(a.ID)
		if t == nil { // it is over
			if a.Kind == choice.Forget {
				s.kept.Forget(a.ID)
			}
			continue
		}
		switch a.Kind {
		case choice.Start:
			s.startRun(t)
		case choice.Reject:
			s.reject(t, a.For, a.Flag)
		case choice.Abandon:
			s.abandon(t)
		case choice.Call:
			s.call(t, a.For)
		case choice.Skip:
			s.processor.reply(t, nil, true)
		case choice.Keep:
			s.kept.Keep(t, now+a.For, s.runsOnce(t.Stage))
		case choice.Forget:
			s.kept.Forget(t.ID)
		case choice.Reuse:
			s.reuse(t, now)
		}
	}
}

// reuse answers a task with what the kept one it repeats came to, now or at that one's end.
func (s *Server) reuse(t *memory.Task, now float64) {
	switch result, state := s.kept.Wait(t, now); state {
	case memory.Done:
		s.shared(t, result, choice.Finished, 0)
	case memory.Missing, memory.Spent:
		s.shared(t, nil, choice.Errored, 0)
	}
}

// shared ends a task that took another's answer.
func (s *Server) shared(t *memory.Task, result []byte, outcome choice.Outcome, took float64) {
	if t == nil || t.Answered {
		return
	}
	switch outcome {
	case choice.Finished:
		s.finish(t, result)
	default:
		outcome = choice.Errored
		s.abandon(t)
	}
	s.happens(choice.Event{Kind: choice.Ended, ID: t.ID, Outcome: outcome, Took: took})
}

func (s *Server) setWell(well bool) {
	if s.well != well {
		slog.Info("health", "well", well)
	}
	s.well = well
	s.roster.tell()
}
