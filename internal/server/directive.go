package server

import (
	"log/slog"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/policy/serving"
)

// This file applies the fleet's directive: whether the server may serve, and by which settings.

const (
	// outOfServiceRetryAfter is the Retry-After, in seconds, of a server that is out of service: it
	// renews its lease a few times a second.
	outOfServiceRetryAfter = 1.0
	// applyTimeout is how long ApplyConfig waits for the loop.
	applyTimeout = 2 * time.Second
)

// fixedConnLimitKeys are the operator's keys that can't change while a connection limiter is on.
const fixedConnLimitKeys = "door-prefix-ipv4, door-prefix-ipv6, door-lobby, door-remember"

// SetDirective sets the fleet's directive. Any goroutine may call it; it returns at once, and the
// loop applies the directive from its next batch on.
func (s *Server) SetDirective(directive *serving.Directive) {
	previous := s.fleet.directive.Swap(directive)
	if previous != nil && previous.Mode == directive.Mode && previous.NextMode == directive.NextMode {
		return // a renewed lease, or another version: the next batch is early enough
	}
	s.loop.requestTurn()
}

// outOfServiceAt reports whether the server may admit no request at this moment. It goes by the
// clock and not by the last turn: a server that was stopped for longer than its lease reads
// requests before its first turn.
func (s *Server) outOfServiceAt(now float64) bool {
	directive := s.fleet.directive.Load()
	return directive != nil && directive.ModeAt(now) == serving.ModeOutOfService
}

// isHealthy is the health that is reported: the controller's, unless the server is out of service.
func (s *Server) isHealthy() bool {
	return s.health.healthy && s.fleet.mode != serving.ModeOutOfService
}

// applyDirective applies a change of the serving mode, before the batch is decided.
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

// rejectAllQueued rejects every request that has not started. Running requests are finished.
func (s *Server) rejectAllQueued() {
	for _, request := range s.requests.InArrivalOrder() {
		if request.Answered || request.Running {
			continue
		}
		// The controller drops it, as nobody waits for it any more.
		s.queueEvent(admission.Event{Kind: admission.ClientGone, RequestID: request.ID})
		s.reject(request, s.retryAfterOutOfService())
	}
}

func (s *Server) retryAfterOutOfService() float64 {
	return min(outOfServiceRetryAfter, s.startup.Settings.MaxRetryAfter)
}

// rejectOutOfService rejects a request that came while the server is out of service: it never ran.
func (c *clientConn) rejectOutOfService(number uint64, now float64) {
	s := c.server
	s.statistics.rejectedOutOfService++
	report := s.health.loadReport
	report.RetryAfter = s.retryAfterOutOfService()
	c.rejectMessage(number, report, now)
}

// withSafeDefaults returns the default settings, but for what a connection limiter that is on can't
// change.
func withSafeDefaults(operator *config.OperatorSettings) *config.OperatorSettings {
	safe := config.DefaultOperatorSettings()
	safe.ConnLimit.Enabled = operator.ConnLimit.Enabled
	safe.ConnLimit.PrefixBitsIPv4 = operator.ConnLimit.PrefixBitsIPv4
	safe.ConnLimit.PrefixBitsIPv6 = operator.ConnLimit.PrefixBitsIPv6
	safe.ConnLimit.HoldingSlots = operator.ConnLimit.HoldingSlots
	safe.ConnLimit.RememberedAddresses = operator.ConnLimit.RememberedAddresses
	return safe
}

// ApplyConfig applies settings, either all of them or none. Any goroutine but the loop's may call
// it; it waits for the loop, and returns ErrLoopBusy if that does not respond in time.
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
	settings := &operator.ConnLimit
	if settings.Enabled != limiter.HasRules() {
		return errConnLimitToggled
	}
	holdingAreaKept := settings.HoldingSlots == s.clients.configuredHoldingSlots
	if settings.Enabled && (!holdingAreaKept || !limiter.CanApply(s.connRules(operator))) {
		return errFixedKey
	}
	s.fleet.operator = operator
	if s.fleet.mode != serving.ModeSafeDefaults {
		s.applyConnRules(operator)
	}
	return nil
}
