package server

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/wire/rpc"
)

// This file is what the server does as it stands in a fleet. Without one none of it is reached.

// Now is the server's clock, from any goroutine.
func (s *Server) Now() float64 { return s.now() }

// SetDirective tells the server, from any goroutine, how it stands from now on. The loop goes by it from its next batch on.
func (s *Server) SetDirective(to *serving.Directive) {
	was := s.directive.Swap(to)
	if was != nil && was.Mode == to.Mode && was.NextMode == to.NextMode {
		return // a lease that goes on, or another version: the next batch is early enough
	}
	select {
	case <-s.loopReady:
		_ = s.loop.Execute(context.Background(), s.turnRunnable) // not by wake, which is the loop's own
	default: // its first turn sees it
	}
}

// outOfServiceAt tells whether the server may take in no task at this moment. It goes by the clock and not by the last turn: a server that was stopped
// for longer than its lease reads tasks before its first turn.
func (s *Server) outOfServiceAt(now float64) bool {
	to := s.directive.Load()
	return to != nil && to.ModeAt(now) == serving.ModeOutOfService
}

// countOutcome counts the end of a task under the present version: harmed where it was rejected or abandoned.
func (s *Server) countOutcome(harmed bool) {
	if to := s.directive.Load(); to != nil {
		to.Stats.Completed.Add(1)
		if harmed {
			to.Stats.Failed.Add(1)
		}
	}
}

// isHealthy is the health that is told: the module's, and that the fleet lets this server act.
func (s *Server) isHealthy() bool { return s.healthy && s.servingMode != serving.ModeOutOfService }

// applyDirective carries out a change of stance, before the batch is decided.
func (s *Server) applyDirective(to *serving.Directive, now float64) {
	is := to.ModeAt(now)
	if is == s.servingMode {
		return
	}
	was := s.servingMode
	s.servingMode = is
	slog.Info("stance", "is", is, "was", was, "why", to.Reason, "open", s.requests.Unanswered())
	if is == serving.ModeOutOfService {
		s.rejectAllQueued(now)
	}
	if conf := s.operatorSettings; conf != nil && (is == serving.ModeSafeDefaults || was == serving.ModeSafeDefaults) {
		if is == serving.ModeSafeDefaults {
			conf = withSafeDefaults(conf)
		}
		s.applyConnRules(conf)
	}
	s.registry.report()
}

// rejectAllQueued rejects every task that has not begun: none of them ran. What runs is finished.
func (s *Server) rejectAllQueued(now float64) {
	for _, t := range s.requests.InArrivalOrder() {
		if t.Answered || t.Running {
			continue
		}
		s.queueEvent(admission.Event{Kind: admission.ClientGone, RequestID: t.ID}) // the module drops it, as nobody waits for it any more
		s.reject(t, s.retryAfterOutOfService(), false)
	}
}

// outOfServiceRetryAfter is when to come back to a server that may not act: it asks for its standing a few times a second.
const outOfServiceRetryAfter = 1.0

func (s *Server) retryAfterOutOfService() float64 {
	return min(outOfServiceRetryAfter, s.startup.Settings.MaxRetryAfter)
}

// rejectOutOfService rejects a task that came while the server may not act: it never ran.
func (p *clientConn) rejectOutOfService(number uint64, now float64) {
	s := p.server
	s.statistics.rejectedOutOfService++
	say := s.loadReport
	say.Advice = s.retryAfterOutOfService()
	s.connLimiter.Tell(p.id.Slot(), connlimit.Spoke, now)
	s.scratch = rpc.PutRejected(s.scratch[:0], number, say)
	s.write(&p.bufferedConn, s.scratch)
}

// withSafeDefaults is the operator's file with the defaults in place of what was released: a door that is on stays on, with its own figures.
func withSafeDefaults(conf *config.OperatorSettings) *config.OperatorSettings {
	safe := config.DefaultOperatorSettings()
	safe.ConnLimit.Enabled = conf.ConnLimit.Enabled
	safe.ConnLimit.PrefixBitsIPv4 = conf.ConnLimit.PrefixBitsIPv4
	safe.ConnLimit.PrefixBitsIPv6 = conf.ConnLimit.PrefixBitsIPv6
	safe.ConnLimit.HoldingSlots = conf.ConnLimit.HoldingSlots
	safe.ConnLimit.RememberedAddresses = conf.ConnLimit.RememberedAddresses
	return safe
}

// errLoopBusy is a loop that does not come round.
var errLoopBusy = errors.New("the server is too busy to change its settings now")

// applyTimeout is how long the loop has for a change of settings.
const applyTimeout = 2 * time.Second

// ApplyConfig has the server act on settings, whole or not at all, from any goroutine but the loop's.
func (s *Server) ApplyConfig(conf *config.OperatorSettings) error {
	select {
	case <-s.loopReady:
	case <-time.After(applyTimeout):
		return errLoopBusy
	}
	done := make(chan error, 1)
	_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		done <- s.applyConfig(conf)
		return nil
	}))
	select {
	case err := <-done:
		return err
	case <-time.After(applyTimeout):
		return errLoopBusy
	}
}

func (s *Server) applyConfig(conf *config.OperatorSettings) error {
	switch {
	case conf.ConnLimit.Enabled != s.connLimiter.Guarded():
		return errors.New("door: can't be switched while serving")
	case conf.ConnLimit.Enabled && (conf.ConnLimit.HoldingSlots != s.holdingArea || !s.connLimiter.Fits(s.connRules(conf))):
		return errors.New("door-prefix-ipv4, door-prefix-ipv6, door-lobby or door-remember: can't be changed while serving")
	}
	s.operatorSettings = conf
	if s.servingMode != serving.ModeSafeDefaults {
		s.applyConnRules(conf)
	}
	return nil
}
