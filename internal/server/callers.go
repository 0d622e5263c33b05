package server

import (
	"context"
	"log/slog"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/internal/policy/connlimit"
)

// This file is what a guarded door tells other servers of a fleet of the callers it knows, and hears of them after a restart.

// trustReportInterval is how often, in seconds, the door's known callers are told: what was earned takes three seconds and lasts for minutes.
const trustReportInterval = 2.0

// ReportTrustedClients has the callers that are known here told again and again, at most so many. It is called before Run.
func (s *Server) ReportTrustedClients(tell func([]connlimit.Earned), most int) {
	var again func()
	again = func() {
		tell(s.connLimiter.Earnings(s.now(), most))
		s.timers.Schedule(s.now()+trustReportInterval, again)
	}
	s.timers.Schedule(s.now()+trustReportInterval, again)
}

// AddTrustedClients has the door know callers that earned it at other servers, from any goroutine.
func (s *Server) AddTrustedClients(list []connlimit.Earned) {
	go func() { // the loop begins once the processor is up
		<-s.loopReady
		_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			if n := s.connLimiter.Heard(list, s.now()); n > 0 {
				slog.Info("fleet_heard", "callers", n)
				s.scheduleTurn()
			}
			return nil
		}))
	}()
}
