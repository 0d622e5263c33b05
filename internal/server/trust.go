package server

import (
	"log/slog"

	"swiftcourse/internal/policy/connlimit"
)

// This file exchanges trusted clients with the connection limiters of other servers in the fleet,
// so that a server knows them after a restart.

// trustReportInterval is how often, in seconds, trusted clients are reported: trust takes three
// seconds to earn and lasts for minutes.
const trustReportInterval = 2.0

// ReportTrustedClients reports the clients that are trusted here, up to a number, at each interval.
// It is called before Run.
func (s *Server) ReportTrustedClients(report func([]connlimit.TrustedClient), limit int) {
	s.every(trustReportInterval, func() {
		report(s.clients.limiter.TrustedClients(s.now(), limit))
	})
}

// AddTrustedClients has the connection limiter trust clients that earned it at other servers. Any
// goroutine may call it; it returns at once, and takes effect when the loop has started.
func (s *Server) AddTrustedClients(clients []connlimit.TrustedClient) {
	s.loop.executeWhenReady(func() {
		if added := s.clients.limiter.AddTrustedClients(clients, s.now()); added > 0 {
			slog.Info("fleet_trusted_clients", "clients", added)
			s.scheduleTurn()
		}
	})
}
