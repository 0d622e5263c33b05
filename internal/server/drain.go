package server

import (
	"log/slog"
	"math"

	"swiftcourse/admission"
	"swiftcourse/internal/logging"
)

const (
	// signalDelayMargin is how much later, in seconds, a signal to drain may be handled than it was
	// sent, as it waits for the process to be scheduled. Of 314 signals on the bench's clock that
	// could be compared with others of the same moment, one came 30 and one 80 ms late; this is
	// twice the latter. The cost is the work that would end in the last moments of a drain.
	signalDelayMargin = 0.16
	// signalDelayShare is the divisor of the stop timeout that bounds the margin.
	signalDelayShare = 10
	// exitCheckInterval is how often, in seconds, a draining server checks whether it can exit.
	exitCheckInterval = 0.02
	// exitMargin is how long, in seconds, before the kill the process exits whatever is open; the
	// controller has answered every request 30 ms before it.
	exitMargin = 0.015
	// halfCloseMargin is how long, in seconds, before the kill the server shuts its side of the
	// open connections: after the controller's last answers, and 10 ms before the exit, which is
	// the time that a close takes to cross a machine.
	halfCloseMargin = 0.025
	// gracefulCloseMargin leaves time, in seconds, to ask all clients to close, and to close the
	// connections of those that do not: five times the 50 ms in which a message may cross that
	// request.
	gracefulCloseMargin = 0.25
	// gracePeriodMargin is how long, in seconds, after the grace period all clients are asked to
	// close.
	gracePeriodMargin = 0.1
)

// exitCause is why a server exits, as logged.
type exitCause string

const (
	exitNeverConnected  exitCause = "never_connected"
	exitAllClosed       exitCause = "all_closed"
	exitDeadlineReached exitCause = "deadline_reached"
)

// drainState is the progress of a drain.
type drainState struct {
	startedAt float64 // +Inf before it
	killAt    float64 // when the process will be killed
	closing   bool    // all connections are asked to close, and the listener is closed
}

func newDrainState() drainState {
	return drainState{startedAt: math.Inf(1), killAt: math.Inf(1)}
}

// started reports whether the server is draining.
func (d *drainState) started() bool { return d.startedAt < d.killAt }

// Drain starts a drain: the process will be killed after its stop timeout. Any goroutine may call
// it; it returns at once, and Run returns when the server has drained.
func (s *Server) Drain() {
	at := s.now()
	if !s.loop.isReady() { // no connection yet, so nothing to answer
		slog.Info("exit", "cause", string(exitNeverConnected))
		s.stop()
		return
	}
	_ = s.loop.execute(func() { s.startDrain(at) })
}

// startDrain starts a drain that was requested at a time.
func (s *Server) startDrain(at float64) {
	if s.drain.started() {
		slog.Info("drain_already_started")
		return
	}
	timeout := s.startup.StopTimeout
	s.drain.startedAt = at
	s.drain.killAt = at + timeout - min(signalDelayMargin, timeout/signalDelayShare)
	killIn := s.drain.killAt - s.now()
	slog.Info("drain_started", "kill_in_s", logging.FormatDecimal(killIn, 3), "open", s.requests.Unanswered())
	if s.decisions.controller != nil { // else see startController
		s.queueEvent(admission.Event{Kind: admission.DrainStarted, Duration: s.drain.killAt - s.now()})
	}
	s.tryExit()
}

// tryExit exits once every request is answered and nothing more can come. As soon as nothing new
// may run, even if requests are open, it asks clients to send nothing more and closes the listener:
// requests that cross this are sent again elsewhere, and a refused connection proves that nothing
// ran. So nothing is on its way here when the last answers are written, just before the kill.
func (s *Server) tryExit() {
	now := s.now()
	if now >= s.gracefulCloseAt() && !s.drain.closing {
		s.startGracefulClose(now)
	}
	if now >= s.drain.killAt-halfCloseMargin {
		s.closeAllGracefully()
	}
	switch {
	case s.isDrained():
		s.exit(exitAllClosed)
	case now >= s.drain.killAt-exitMargin:
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

// gracefulCloseAt is when nothing new may run: at once if the controller never started.
func (s *Server) gracefulCloseAt() float64 {
	if s.decisions.controller == nil {
		return s.drain.startedAt
	}
	graceEnd := s.drain.startedAt + s.startup.Settings.DrainGracePeriod + gracePeriodMargin
	return min(graceEnd, s.drain.killAt-gracefulCloseMargin)
}

// isDrained reports whether every request is answered and nothing more can come.
func (s *Server) isDrained() bool {
	return s.drain.closing && s.acceptor.drained() && s.requests.Unanswered() == 0 && s.clients.conns.Len() == 0 &&
		len(s.clients.lingering) == 0 && !s.hasUnreportedClaims()
}

// nextExitCheck is when tryExit runs again.
func (s *Server) nextExitCheck(now float64) float64 {
	next := now + exitCheckInterval
	for _, at := range []float64{s.drain.killAt - halfCloseMargin, s.drain.killAt - exitMargin} {
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
