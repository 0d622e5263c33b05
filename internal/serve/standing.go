package serve

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/choice"
	"swiftcourse/internal/judge/door"
	"swiftcourse/internal/judge/stance"
	"swiftcourse/internal/life"
	"swiftcourse/internal/wire/rpc"
)

// This file is what the server does as it stands in a fleet. Without one none of it is reached.

// Now is the server's clock, from any goroutine.
func (s *Server) Now() float64 { return s.now() }

// Stand tells the server, from any goroutine, how it stands from now on. The loop goes by it from its next batch on.
func (s *Server) Stand(to *stance.Directive) {
	was := s.standing.Swap(to)
	if was != nil && was.Mode == to.Mode && was.NextMode == to.NextMode {
		return // a lease that goes on, or another version: the next batch is early enough
	}
	select {
	case <-s.looping:
		_ = s.loop.Execute(context.Background(), s.run) // not by wake, which is the loop's own
	default: // its first turn sees it
	}
}

// awayAt tells whether the server may take in no task at this moment. It goes by the clock and not by the last turn: a server that was stopped
// for longer than its lease reads tasks before its first turn.
func (s *Server) awayAt(now float64) bool {
	to := s.standing.Load()
	return to != nil && to.ModeAt(now) == stance.ModeOutOfService
}

// stampEnd counts the end of a task under the present version: harmed where it was rejected or abandoned.
func (s *Server) stampEnd(harmed bool) {
	if to := s.standing.Load(); to != nil {
		to.Stats.Completed.Add(1)
		if harmed {
			to.Stats.Failed.Add(1)
		}
	}
}

// isWell is the health that is told: the module's, and that the fleet lets this server act.
func (s *Server) isWell() bool { return s.well && s.stance != stance.ModeOutOfService }

// stand carries out a change of stance, before the batch is decided.
func (s *Server) stand(to *stance.Directive, now float64) {
	is := to.ModeAt(now)
	if is == s.stance {
		return
	}
	was := s.stance
	s.stance = is
	slog.Info("stance", "is", is, "was", was, "why", to.Reason, "open", s.tasks.Unanswered())
	if is == stance.ModeOutOfService {
		s.sendAllAway(now)
	}
	if conf := s.conf; conf != nil && (is == stance.ModeSafeDefaults || was == stance.ModeSafeDefaults) {
		if is == stance.ModeSafeDefaults {
			conf = shielded(conf)
		}
		s.heed(conf)
	}
	s.roster.tell()
}

// sendAllAway rejects every task that has not begun: none of them ran. What runs is finished.
func (s *Server) sendAllAway(now float64) {
	for _, t := range s.tasks.InArrivalOrder() {
		if t.Answered || t.Running {
			continue
		}
		s.happens(choice.Event{Kind: choice.ClientGone, RequestID: t.ID}) // the module drops it, as nobody waits for it any more
		s.reject(t, s.awayFor(), false)
	}
}

// awayLeast is when to come back to a server that may not act: it asks for its standing a few times a second.
const awayLeast = 1.0

func (s *Server) awayFor() float64 { return min(awayLeast, s.start.Settings.MaxRetryAfter) }

// sendAway rejects a task that came while the server may not act: it never ran.
func (p *peer) sendAway(number uint64, now float64) {
	s := p.server
	s.counts.away++
	say := s.say
	say.Advice = s.awayFor()
	s.door.Tell(p.name.Slot(), door.Spoke, now)
	s.scratch = rpc.PutRejected(s.scratch[:0], number, say)
	s.write(&p.line, s.scratch)
}

// shielded is the operator's file with the defaults in place of what was released: a door that is on stays on, with its own figures.
func shielded(conf *life.OperatorSettings) *life.OperatorSettings {
	safe := life.DefaultOperatorSettings()
	safe.Door, safe.V4, safe.V6, safe.Lobby, safe.Remember = conf.Door, conf.V4, conf.V6, conf.Lobby, conf.Remember
	return safe
}

// errBusy is a loop that does not come round.
var errBusy = errors.New("the server is too busy to change its settings now")

// actFor is how long the loop has for a change of settings.
const actFor = 2 * time.Second

// Act has the server act on settings, whole or not at all, from any goroutine but the loop's.
func (s *Server) Act(conf *life.OperatorSettings) error {
	select {
	case <-s.looping:
	case <-time.After(actFor):
		return errBusy
	}
	done := make(chan error, 1)
	_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		done <- s.act(conf)
		return nil
	}))
	select {
	case err := <-done:
		return err
	case <-time.After(actFor):
		return errBusy
	}
}

func (s *Server) act(conf *life.OperatorSettings) error {
	switch {
	case conf.Door != s.door.Guarded():
		return errors.New("door: can't be switched while serving")
	case conf.Door && (conf.Lobby != s.lobby || !s.door.Fits(s.rules(conf))):
		return errors.New("door-prefix-ipv4, door-prefix-ipv6, door-lobby or door-remember: can't be changed while serving")
	}
	s.conf = conf
	if s.stance != stance.ModeSafeDefaults {
		s.heed(conf)
	}
	return nil
}
