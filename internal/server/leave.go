package server

import (
	"context"
	"log/slog"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/logging"
)

// Drain tells the server, from any goroutine, that it will be killed after its stop time.
func (s *Server) Drain() {
	at := s.now()
	select {
	case <-s.loopReady:
	default: // not a single connection yet, so nothing to answer
		slog.Info("exit", "cause", "never_connected")
		s.stop()
		return
	}
	_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		s.startDrain(at)
		return nil
	}))
}

func (s *Server) startDrain(at float64) {
	if s.draining() {
		slog.Info("notice", "again", true)
		return
	}
	s.drainAt, s.killAt = at, at+s.startup.StopTimeout-min(signalDelayMargin, s.startup.StopTimeout/10)
	slog.Info("notice", "kill_in_s", logging.FormatDecimal(s.killAt-s.now(), 3), "open", s.requests.Unanswered())
	if s.controller != nil { // else it has nothing to do with it, see born
		s.queueEvent(admission.Event{Kind: admission.DrainStarted, Duration: s.killAt - s.now()})
	}
	s.tryExit()
}

func (s *Server) draining() bool { return s.drainAt < s.killAt }

const (
	// signalDelayMargin is how much later than it was sent a notice may be heard, as a signal waits for the process's part of a core. Of 314
	// notices on the bench's clock that could be compared with others of the same moment, one came 30 and one 80 ms later; this is twice
	// the latter. What is lost is the work that would end in the last moments of a drain.
	signalDelayMargin = 0.16
	exitCheckInterval = 0.02 // how often it is looked whether all is answered
	// exitMargin is how long before the kill the process ends whatever is open; the module has answered all
	// 30 ms before it.
	exitMargin = 0.015
	// halfCloseMargin is how long before the kill our side of what is still open is shut: after the module's last answers, and 10 ms before the
	// end, which is what a close has to cross a machine.
	halfCloseMargin = 0.025
	// gracefulCloseMargin leaves time to ask all balancers to close, and to close those that do not: five times the 50 ms in which something
	// may cross that.
	gracefulCloseMargin = 0.25
)

// tryExit ends the process once all is answered and nothing more can come. From the moment on at which nothing new may run, tasks open
// or not, balancers are asked to bring nothing more and the listener is closed: what crosses that is sent once more elsewhere, and a
// connection refused proves that nothing ran. So nothing is on its way here when the last answers are given, just before the kill.
func (s *Server) tryExit() {
	now := s.now()
	if now >= s.gracefulCloseAt() && !s.closingGracefully {
		s.closingGracefully = true
		slog.Info("parting", "conns", s.clients.Len(), "open", s.requests.Unanswered(), "kill_in_s", logging.FormatDecimal(s.killAt-now, 3))
		for _, slot := range s.connLimiter.LeaveAll() {
			s.askToClose(s.clients.AtSlot(slot))
		}
		s.acceptor.close()
	}
	if now >= s.killAt-halfCloseMargin {
		s.closeAllGracefully()
	}
	switch {
	case s.closingGracefully && s.acceptor.drained() && s.requests.Unanswered() == 0 && s.clients.Len() == 0 && len(s.lingering) == 0 && !s.hasPendingClaimReports():
		s.exit("all_closed")
	case now >= s.killAt-exitMargin:
		s.exit("time_is_up")
	default:
		next := now + exitCheckInterval
		for _, at := range []float64{s.killAt - halfCloseMargin, s.killAt - exitMargin} {
			if now < at {
				next = min(next, at)
			}
		}
		s.timers.Schedule(next, s.tryExit)
		s.scheduleTurn()
	}
}

// gracefulCloseAt is when nothing new may run any more; at once where nothing ever could.
func (s *Server) gracefulCloseAt() float64 {
	if s.controller == nil {
		return s.drainAt
	}
	return min(s.drainAt+s.startup.Settings.DrainGracePeriod+0.1, s.killAt-gracefulCloseMargin)
}

func (s *Server) exit(cause string) {
	s.flush()
	slog.Info("exit", "cause", cause, "open", s.requests.Unanswered(), "conns", s.clients.Len())
	s.stop()
}

// stop ends Run, and the dials under way.
func (s *Server) stop() {
	s.stopOnce.Do(func() {
		close(s.stopped)
		s.cancelRun()
	})
}
