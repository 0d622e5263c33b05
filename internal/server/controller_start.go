package server

import (
	"log/slog"

	"swiftcourse/admission"
	"swiftcourse/internal/logging"
)

// executorStart describes when and how the executor started.
type executorStart struct {
	cold       bool    // the executor has to warm up
	secondsAgo float64 // how long ago it started
}

// startController creates the admission controller. If the executor started cold, the controller's
// slow start counts from the executor's start.
func (s *Server) startController(start executorStart) {
	if s.drain.started() { // the server drains without having run a request, and starts none now
		slog.Info("controller_not_started", "slow_start", start.cold, "draining", true)
		return
	}
	slog.Info("controller_started", "slow_start", start.cold, "ago_s", logging.FormatDecimal(start.secondsAgo, 3))
	settings := s.startup.Settings
	settings.SlowStart.Duration = 0
	at := s.now()
	if start.cold { // a warm executor needs no slow start, whenever it started
		settings.SlowStart.Duration = s.startup.SlowStartDuration
		at -= min(start.secondsAgo, settings.SlowStart.Duration)
	}
	s.decisions.controller = admission.New(s.startup.Seed, settings)
	if s.fleet.quotas != nil {
		s.fleet.quotas.allowances = nil // so that the controller is notified of all of them
	}
	s.executeActions(s.decisions.controller.Decide(at, []admission.Event{{Kind: admission.Started}}), at)
	s.sweep()
	s.scheduleEvery(sweepIntervalSeconds, s.sweep)
	s.scheduleTurn()
}
