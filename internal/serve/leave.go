package serve

import (
	"context"
	"log/slog"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/choice"
	"swiftcourse/internal/watch"
)

// Leave tells the server, from any goroutine, that it will be killed after its stop time.
func (s *Server) Leave() {
	at := s.now()
	select {
	case <-s.looping:
	default: // not a single connection yet, so nothing to answer
		slog.Info("exit", "cause", "never_connected")
		s.over()
		return
	}
	_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		s.leave(at)
		return nil
	}))
}

func (s *Server) leave(at float64) {
	if s.draining() {
		slog.Info("notice", "again", true)
		return
	}
	s.drainAt, s.killAt = at, at+s.start.StopTimeout-min(heardLate, s.start.StopTimeout/10)
	slog.Info("notice", "kill_in_s", watch.FormatDecimal(s.killAt-s.now(), 3), "open", s.tasks.Unanswered())
	if s.module != nil { // else it has nothing to do with it, see born
		s.happens(choice.Event{Kind: choice.DrainStarted, Duration: s.killAt - s.now()})
	}
	s.tryExit()
}

func (s *Server) draining() bool { return s.drainAt < s.killAt }

const (
	// heardLate is how much later than it was sent a notice may be heard, as a signal waits for the process's part of a core. Of 314
	// notices on the bench's clock that could be compared with others of the same moment, one came 30 and one 80 ms later; this is twice
	// the latter. What is lost is the work that would end in the last moments of a drain.
	heardLate = 0.16
	exitEvery = 0.02 // how often it is looked whether all is answered
	// exitBefore is how long before the kill the process ends whatever is open; the module has answered all
	// 30 ms before it.
	exitBefore = 0.015
	// shutBefore is how long before the kill our side of what is still open is shut: after the module's last answers, and 10 ms before the
	// end, which is what a close has to cross a machine.
	shutBefore = 0.025
	// partBefore leaves time to ask all balancers to close, and to close those that do not: five times the 50 ms in which something
	// may cross that.
	partBefore = 0.25
)

// tryExit ends the process once all is answered and nothing more can come. From the moment on at which nothing new may run, tasks open
// or not, balancers are asked to bring nothing more and the listener is closed: what crosses that is sent once more elsewhere, and a
// connection refused proves that nothing ran. So nothing is on its way here when the last answers are given, just before the kill.
func (s *Server) tryExit() {
	now := s.now()
	if now >= s.partAt() && !s.parting {
		s.parting = true
		slog.Info("parting", "conns", s.peers.Len(), "open", s.tasks.Unanswered(), "kill_in_s", watch.FormatDecimal(s.killAt-now, 3))
		for _, slot := range s.door.LeaveAll() {
			s.askToPart(s.peers.AtSlot(slot))
		}
		s.acceptor.close()
	}
	if now >= s.killAt-shutBefore {
		s.shutDownAll()
	}
	switch {
	case s.parting && s.acceptor.quiet() && s.tasks.Unanswered() == 0 && s.peers.Len() == 0 && len(s.closing) == 0 && !s.owesHolders():
		s.exit("all_closed")
	case now >= s.killAt-exitBefore:
		s.exit("time_is_up")
	default:
		next := now + exitEvery
		for _, at := range []float64{s.killAt - shutBefore, s.killAt - exitBefore} {
			if now < at {
				next = min(next, at)
			}
		}
		s.timers.Schedule(next, s.tryExit)
		s.wake()
	}
}

// partAt is when nothing new may run any more; at once where nothing ever could.
func (s *Server) partAt() float64 {
	if s.module == nil {
		return s.drainAt
	}
	return min(s.drainAt+s.start.Settings.DrainGracePeriod+0.1, s.killAt-partBefore)
}

func (s *Server) exit(cause string) {
	s.flush()
	slog.Info("exit", "cause", cause, "open", s.tasks.Unanswered(), "conns", s.peers.Len())
	s.over()
}

// over ends Run, and the dials under way.
func (s *Server) over() {
	s.once.Do(func() {
		close(s.finished)
		s.endLife()
	})
}
