package server

import (
	"log/slog"
	"math"

	"swiftcourse/admission"
	"swiftcourse/internal/logging"
)

const (
	// signalDelayMarginSeconds is how late the signal to drain may be handled while the process
	// waits to be scheduled: twice the longest known delay of 80 ms. Work that would complete within
	// this margin at the end of a drain is lost.
	signalDelayMarginSeconds = 0.16
	// signalDelayDivisor is the divisor of the stop timeout that bounds signalDelayMarginSeconds.
	signalDelayDivisor = 10
	// exitCheckIntervalSeconds is how often a draining server checks whether it can exit.
	exitCheckIntervalSeconds = 0.02
	// exitMarginSeconds is how long before the kill the process exits even if requests or
	// connections are open. The controller has answered every request 30 ms before the kill.
	exitMarginSeconds = 0.015
	// halfCloseMarginSeconds is how long before the kill the server shuts down its side of
	// the open connections: after the controller's last answers, and 10 ms before the exit, the
	// time that a close takes to reach a client on the same machine.
	halfCloseMarginSeconds = 0.025
	// gracefulCloseMarginSeconds is how long before the kill clients are asked to close at the
	// latest, so that the connections of those that do not close can be closed in time. It is five
	// times the 50 ms for which a client's messages may still arrive after it was asked.
	gracefulCloseMarginSeconds = 0.25
	// gracePeriodMarginSeconds is how long after the end of the grace period all clients are
	// asked to close.
	gracePeriodMarginSeconds = 0.1
)

// exitCause is the reason for a server's exit, as it is logged.
type exitCause string

const (
	exitNeverConnected  exitCause = "never_connected"
	exitAllClosed       exitCause = "all_closed"
	exitDeadlineReached exitCause = "deadline_reached"
)

// drainState is the progress of a drain.
type drainState struct {
	startedAt float64 // +Inf before the drain
	killAt    float64 // when the process will be killed
	closing   bool    // all clients were asked to close, and the acceptor was told to close
}

func newDrainState() drainState {
	return drainState{startedAt: math.Inf(1), killAt: math.Inf(1)}
}

// started reports whether the drain has started.
func (d *drainState) started() bool { return d.startedAt < d.killAt }

// Drain starts a drain, after which the process will be killed when its stop timeout has passed. Any
// goroutine may call it; it returns at once, and Run returns when the server has drained.
func (s *Server) Drain() {
	at := s.now()
	if !s.loop.isReady() { // no connection was ever open, so there is nothing to answer
		slog.Info("exit", "cause", string(exitNeverConnected))
		s.stop()
		return
	}
	_ = s.loop.execute(func() { s.startDrain(at) })
}

// startDrain starts a drain that was requested at the given time.
func (s *Server) startDrain(at float64) {
	if s.drain.started() {
		slog.Info("drain_already_started")
		return
	}
	timeout := s.startup.StopTimeout
	s.drain.startedAt = at
	s.drain.killAt = at + timeout - min(signalDelayMarginSeconds, timeout/signalDelayDivisor)
	killIn := s.drain.killAt - s.now()
	slog.Info("drain_started", "kill_in_s", logging.FormatDecimal(killIn, 3), "open", s.requests.Unanswered())
	if s.decisions.controller != nil { // without a controller, startController checks drain.started
		s.queueEvent(admission.Event{Kind: admission.DrainStarted, Duration: s.drain.killAt - s.now()})
	}
	s.tryExit()
}

// tryExit exits once every request is answered and none can arrive any more; until then it schedules
// itself again. As soon as no new request may run, even if others are still open, it asks clients to
// send nothing more and closes the listener. Requests that clients sent before they saw this are
// rejected, and the clients send them to another server; a refused connection also proves to a client
// that its request did not run. Therefore no request is in transit when the last answers are
// written, just before the kill.
func (s *Server) tryExit() {
	now := s.now()
	if now >= s.gracefulCloseAt() && !s.drain.closing {
		s.startGracefulClose(now)
	}
	if now >= s.drain.killAt-halfCloseMarginSeconds {
		s.closeAllGracefully()
	}
	switch {
	case s.isDrained():
		s.exit(exitAllClosed)
	case now >= s.drain.killAt-exitMarginSeconds:
		s.exit(exitDeadlineReached)
	default:
		s.loop.timers.Schedule(s.nextExitCheck(now), s.tryExit)
		s.scheduleTurn()
	}
}

// startGracefulClose asks all clients to close, and closes the listener.
func (s *Server) startGracefulClose(now float64) {
	s.drain.closing = true
	slog.Info("graceful_close_started", "conns", s.clients.conns.Len(), "open", s.requests.Unanswered(),
		"kill_in_s", logging.FormatDecimal(s.drain.killAt-now, 3))
	for _, slot := range s.clients.limiter.StartDrain() {
		s.askToClose(s.clients.conns.AtSlot(slot))
	}
	s.acceptor.close()
}

// gracefulCloseAt returns when clients are asked to close. From then on no new request may run. If
// the controller never started, no request ever ran, and this is the start of the drain.
func (s *Server) gracefulCloseAt() float64 {
	if s.decisions.controller == nil {
		return s.drain.startedAt
	}
	graceEnd := s.drain.startedAt + s.startup.Settings.DrainGracePeriod + gracePeriodMarginSeconds
	return min(graceEnd, s.drain.killAt-gracefulCloseMarginSeconds)
}

// isDrained reports whether every request is answered and none can arrive any more.
func (s *Server) isDrained() bool {
	return s.drain.closing && s.acceptor.drained() && s.requests.Unanswered() == 0 && s.clients.conns.Len() == 0 &&
		len(s.clients.lingering) == 0 && !s.hasUnreportedClaims()
}

// nextExitCheck returns when tryExit runs again.
func (s *Server) nextExitCheck(now float64) float64 {
	next := now + exitCheckIntervalSeconds
	for _, at := range []float64{s.drain.killAt - halfCloseMarginSeconds, s.drain.killAt - exitMarginSeconds} {
		if now < at {
			next = min(next, at)
		}
	}
	return next
}

func (s *Server) exit(cause exitCause) {
	s.flush()
	slog.Info("exit", "cause", string(cause), "open", s.requests.Unanswered(), "conns", s.clients.conns.Len())
	s.stop()
}
