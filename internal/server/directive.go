package server

import (
	"errors"
	"log/slog"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/policy/serving"
)

// This file is what the server does by its fleet's directive: whether it may serve, and by which
// settings.

const (
	// outOfServiceRetryAfter is when, in seconds, to come back to a server that may not serve: it
	// asks for its directive a few times a second.
	outOfServiceRetryAfter = 1.0
	// applyTimeout is how long the loop has for a change of settings.
	applyTimeout = 2 * time.Second
)

// fixedKeys are the operator's keys that a connection limiter that is on can't change.
const fixedKeys = "door-prefix-ipv4, door-prefix-ipv6, door-lobby, door-remember"

// What of the settings can't change while serving.
var (
	errSwitched = errors.New("door: can't be switched while serving")
	errFixed    = errors.New(fixedKeys + ": can't be changed while serving")
)

// SetDirective tells the server, from any goroutine, by which directive it goes. It returns at
// once; the loop goes by it from its next batch on.
func (s *Server) SetDirective(directive *serving.Directive) {
	previous := s.fleet.directive.Swap(directive)
	if previous != nil && previous.Mode == directive.Mode && previous.NextMode == directive.NextMode {
		return // a lease that goes on, or another version: the next batch is early enough
	}
	s.loop.requestTurn()
}

// outOfServiceAt reports whether the server may take in no request at this moment. It goes by the
// clock and not by the last turn: a server that was stopped for longer than its lease reads
// requests before its first turn.
func (s *Server) outOfServiceAt(now float64) bool {
	directive := s.fleet.directive.Load()
	return directive != nil && directive.ModeAt(now) == serving.ModeOutOfService
}

// isHealthy is the health that is reported: the controller's, and that the fleet lets this server
// serve.
func (s *Server) isHealthy() bool {
	return s.health.healthy && s.fleet.mode != serving.ModeOutOfService
}

// applyDirective carries out a change of the serving mode, before the batch is decided.
func (s *Server) applyDirective(directive *serving.Directive, now float64) {
	mode := directive.ModeAt(now)
	previous := s.fleet.mode
	if mode == previous {
		return
	}
	s.fleet.mode = mode
	slog.Info("serving_mode_changed", "mode", mode, "previous", previous, "reason", directive.Reason,
		"open", s.requests.Unanswered())
	if mode == serving.ModeOutOfService {
		s.rejectAllQueued()
	}
	switch {
	case s.fleet.operator == nil:
	case mode == serving.ModeSafeDefaults:
		s.applyConnRules(withSafeDefaults(s.fleet.operator))
	case previous == serving.ModeSafeDefaults:
		s.applyConnRules(s.fleet.operator)
	}
	s.registry.report()
}

// rejectAllQueued rejects every request that has not begun: none of them ran. What runs is
// finished.
func (s *Server) rejectAllQueued() {
	for _, request := range s.requests.InArrivalOrder() {
		if request.Answered || request.Running {
			continue
		}
		// The controller drops it, as nobody waits for it any more.
		s.queueEvent(admission.Event{Kind: admission.ClientGone, RequestID: request.ID})
		s.reject(request, s.retryAfterOutOfService(), false)
	}
}

func (s *Server) retryAfterOutOfService() float64 {
	return min(outOfServiceRetryAfter, s.startup.Settings.MaxRetryAfter)
}

// rejectOutOfService rejects a request that came while the server may not serve: it never ran.
func (c *clientConn) rejectOutOfService(number uint64, now float64) {
	s := c.server
	s.statistics.rejectedOutOfService++
	report := s.health.loadReport
	report.Advice = s.retryAfterOutOfService()
	c.rejectMessage(number, report, now)
}

// withSafeDefaults is the operator's file with the defaults in place of what was released: a
// connection limiter that is on stays on, with its own figures.
func withSafeDefaults(operator *config.OperatorSettings) *config.OperatorSettings {
	safe := config.DefaultOperatorSettings()
	safe.Door = operator.Door
	safe.V4 = operator.V4
	safe.V6 = operator.V6
	safe.Lobby = operator.Lobby
	safe.Remember = operator.Remember
	return safe
}

// ApplyConfig has the server act on settings, whole or not at all, from any goroutine but the
// loop's. It waits for the loop, and returns ErrLoopBusy where that does not come round in time.
func (s *Server) ApplyConfig(operator *config.OperatorSettings) error {
	select {
	case <-s.loop.ready:
	case <-time.After(applyTimeout):
		return ErrLoopBusy
	}
	applied := make(chan error, 1)
	_ = s.loop.execute(func() { applied <- s.applyConfig(operator) })
	select {
	case err := <-applied:
		return err
	case <-time.After(applyTimeout):
		return ErrLoopBusy
	}
}

func (s *Server) applyConfig(operator *config.OperatorSettings) error {
	limiter := s.clients.limiter
	switch {
	case operator.Door != limiter.Guarded():
		return errSwitched
	case operator.Door && (operator.Lobby != s.clients.holdingArea || !limiter.Fits(s.connRules(operator))):
		return errFixed
	}
	s.fleet.operator = operator
	if s.fleet.mode != serving.ModeSafeDefaults {
		s.applyConnRules(operator)
	}
	return nil
}
