package server

import (
	"log/slog"
	"math"

	"swiftcourse/admission"
	"swiftcourse/internal/logging"
)

const (
	// signalDelayMargin is how much later, in seconds, than it was sent a signal to drain may be
	// heard, as a signal waits for the process's part of a core. Of 314 signals on the bench's
	// clock that could be compared with others of the same moment, one came 30 and one 80 ms later;
	// this is twice the latter. What is lost is the work that would end in the last moments of a
	// drain.
	signalDelayMargin = 0.16
	// signalDelayShare of the time to the kill, as its divisor, is the most that the margin takes.
	signalDelayShare = 10
	// exitCheckInterval is how often, in seconds, it is looked whether all is answered.
	exitCheckInterval = 0.02
	// exitMargin is how long, in seconds, before the kill the process ends whatever is open; the
	// controller has answered all 30 ms before it.
	exitMargin = 0.015
	// halfCloseMargin is how long, in seconds, before the kill the server's side of what is still
	// open is shut: after the controller's last answers, and 10 ms before the end, which is what a
	// close has to cross a machine.
	halfCloseMargin = 0.025
	// gracefulCloseMargin leaves time, in seconds, to ask all clients to close, and to close those
	// that do not: five times the 50 ms in which something may cross that.
	gracefulCloseMargin = 0.25
	// gracePeriodMargin is how long, in seconds, after the grace period all clients are asked to
	// close.
	gracePeriodMargin = 0.1
)

// Why a server exits, as the log says it.
const (
	exitNeverConnected  = "never_connected"
	exitAllClosed       = "all_closed"
	exitDeadlineReached = "deadline_reached"
)

// drainState is how far the server's end has come.
type drainState struct {
	startedAt float64 // +Inf before it
	killAt    float64 // when the process will be killed
	closing   bool    // all connections are asked to close, and the listener is closed
}

func newDrainState() drainState {
	return drainState{startedAt: math.Inf(1), killAt: math.Inf(1)}
}

// started reports whether the server was told to drain.
func (d *drainState) started() bool { return d.startedAt < d.killAt }

// Drain tells the server, from any goroutine, that it will be killed after its stop timeout. It
// returns at once; Run returns when the server has drained.
func (s *Server) Drain() {
	at := s.now()
	if !s.loop.isReady() { // not a single connection yet, so nothing to answer
		slog.Info("exit", "cause", exitNeverConnected)
		s.stop()
		return
	}
	_ = s.loop.execute(func() { s.startDrain(at) })
}

// startDrain begins the end of a server that was told so at a time.
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
	if s.decisions.controller != nil { // else it has nothing to do with it, see startController
		s.queueEvent(admission.Event{Kind: admission.DrainStarted, Duration: s.drain.killAt - s.now()})
	}
	s.tryExit()
}

// tryExit ends the process once all is answered and nothing more can come. From the moment on at
// which nothing new may run, requests open or not, clients are asked to bring nothing more and the
// listener is closed: what crosses that is sent once more elsewhere, and a connection refused
// proves that nothing ran. So nothing is on its way here when the last answers are given, just
// before the kill.
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
	for _, slot := range s.clients.limiter.LeaveAll() {
		s.askToClose(s.clients.conns.AtSlot(slot))
	}
	s.acceptor.close()
}

// gracefulCloseAt is when nothing new may run any more; at once where nothing ever could.
func (s *Server) gracefulCloseAt() float64 {
	if s.decisions.controller == nil {
		return s.drain.startedAt
	}
	graceEnd := s.drain.startedAt + s.startup.Settings.DrainGracePeriod + gracePeriodMargin
	return min(graceEnd, s.drain.killAt-gracefulCloseMargin)
}

// isDrained reports whether all is answered and nothing more can come.
func (s *Server) isDrained() bool {
	return s.drain.closing && s.acceptor.drained() && s.requests.Unanswered() == 0 && s.clients.conns.Len() == 0 &&
		len(s.clients.lingering) == 0 && !s.hasUnreportedClaims()
}

// nextExitCheck is when tryExit has something to do again.
func (s *Server) nextExitCheck(now float64) float64 {
	next := now + exitCheckInterval
	for _, at := range []float64{s.drain.killAt - halfCloseMargin, s.drain.killAt - exitMargin} {
		if now < at {
			next = min(next, at)
		}
	}
	return next
}

func (s *Server) exit(cause string) {
	s.flush()
	slog.Info("exit", "cause", cause, "open", s.requests.Unanswered(), "conns", s.clients.conns.Len())
	s.stop()
}
