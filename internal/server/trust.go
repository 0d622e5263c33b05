package server

import (
	"log/slog"

	"swiftcourse/internal/policy/connlimit"
)

// This file exchanges the addresses of trusted clients with the other servers of the fleet, so that a
// restarted server trusts them without delay.

// trustReportIntervalSeconds is how often trusted clients are reported. It can be long: a
// client takes three seconds to earn trust and keeps it for minutes.
const trustReportIntervalSeconds = 2.0

// ReportTrustedClients makes the server call report periodically with the clients that it trusts, at
// most limit of them. It must be called before Run.
func (s *Server) ReportTrustedClients(report func([]connlimit.TrustedClient), limit int) {
	s.scheduleEvery(trustReportIntervalSeconds, func() {
		report(s.clients.limiter.TrustedClients(s.now(), limit))
	})
}

// AddTrustedClients makes the connection limiter trust clients that earned trust at other servers.
// Any goroutine may call it; it returns at once, and takes effect when the loop has started.
func (s *Server) AddTrustedClients(clients []connlimit.TrustedClient) {
	s.loop.executeWhenReady(func() {
		if added := s.clients.limiter.AddTrustedClients(clients, s.now()); added > 0 {
			slog.Info("fleet_trusted_clients", "clients", added)
			s.scheduleTurn()
		}
	})
}
