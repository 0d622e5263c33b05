package server

import (
	"log/slog"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/policy/serving"
)

// This file applies the fleet's serving directive: whether the server may serve, and with which
// settings.

const (
	// outOfServiceRetryAfterSeconds is the Retry-After of a server that is out of service. The
	// server tries to renew its lease several times per second, so this is long enough.
	outOfServiceRetryAfterSeconds = 1.0
	// applyTimeout is how long ApplyConfig waits for the loop to start, and again for it to apply
	// the settings.
	applyTimeout = 2 * time.Second
)

// fixedConnLimitKeys are the operator's keys that can't change while the connection limiter is on.
const fixedConnLimitKeys = "door-prefix-ipv4, door-prefix-ipv6, door-lobby, door-remember"

// SetDirective sets the fleet's directive. Any goroutine may call it; it returns at once, and the
// loop applies the directive from its next batch on.
func (s *Server) SetDirective(directive *serving.Directive) {
	previous := s.fleet.directive.Swap(directive)
	if previous != nil && previous.Mode == directive.Mode && previous.NextMode == directive.NextMode {
		return // only the lease or the version changed: no turn is needed before the next batch
	}
	s.loop.requestTurn()
}

// outOfServiceAt reports whether the directive forbids admitting requests at the given time. It does
// not rely on the mode set in the last turn: a server whose process was suspended for longer than its
// lease reads requests before its next turn.
func (s *Server) outOfServiceAt(now float64) bool {
	directive := s.fleet.directive.Load()
	return directive != nil && directive.ModeAt(now) == serving.ModeOutOfService
}

// isHealthy returns the health to report: what the controller decided, but false while the server is
// out of service.
func (s *Server) isHealthy() bool {
	return s.health.healthy && s.fleet.mode != serving.ModeOutOfService
}

// applyDirective applies a change of the serving mode. It is called before the batch is decided.
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

// rejectAllQueued rejects every request that has not started to run. Running requests continue.
func (s *Server) rejectAllQueued() {
	for _, request := range s.requests.InArrivalOrder() {
		if request.Answered || request.Running {
			continue
		}
		// ClientGone makes the controller drop the request.
		s.queueEvent(admission.Event{Kind: admission.ClientGone, RequestID: request.ID})
		s.reject(request, s.retryAfterOutOfService())
	}
}

func (s *Server) retryAfterOutOfService() float64 {
	return min(outOfServiceRetryAfterSeconds, s.startup.Settings.MaxRetryAfter)
}

// rejectOutOfService rejects a request that arrived while the server is out of service; it never
// ran.
func (c *clientConn) rejectOutOfService(number uint64, now float64) {
	s := c.server
	s.statistics.rejectedOutOfService++
	report := s.health.loadReport
	report.RetryAfter = s.retryAfterOutOfService()
	c.rejectMessage(number, report, now)
}

// withSafeDefaults returns the default settings, except that the settings which can't change while
// the connection limiter is on keep their present values.
func withSafeDefaults(operator *config.OperatorSettings) *config.OperatorSettings {
	safe := config.DefaultOperatorSettings()
	safe.ConnLimit.Enabled = operator.ConnLimit.Enabled
	safe.ConnLimit.PrefixBitsIPv4 = operator.ConnLimit.PrefixBitsIPv4
	safe.ConnLimit.PrefixBitsIPv6 = operator.ConnLimit.PrefixBitsIPv6
	safe.ConnLimit.HoldingSlots = operator.ConnLimit.HoldingSlots
	safe.ConnLimit.RememberedAddresses = operator.ConnLimit.RememberedAddresses
	return safe
}

// ApplyConfig applies either all of the settings or none. Any goroutine but the loop's may call it;
// it waits for the loop, and returns ErrLoopBusy if the loop does not respond within applyTimeout.
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
		return errConnLimitKeyFixed
	}
	s.fleet.operator = operator
	if s.fleet.mode != serving.ModeSafeDefaults {
		s.applyConnRules(operator)
	}
	return nil
}
