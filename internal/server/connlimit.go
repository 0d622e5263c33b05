package server

import (
	"log/slog"
	"net"
	"net/netip"

	"swiftcourse/internal/config"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/wire/rpc"
)

// newConnLimiter creates the connection limiter by the operator's settings.
func (s *Server) newConnLimiter(operator *config.OperatorSettings) *connlimit.Limiter {
	if operator == nil || !operator.ConnLimit.Enabled {
		return connlimit.New(s.startup.Settings.IdleTimeout)
	}
	s.clients.configuredHoldingSlots = operator.ConnLimit.HoldingSlots
	return connlimit.NewWithRules(s.startup.Settings.IdleTimeout, s.connRules(operator))
}

const (
	// holdingAreaShare is the divisor of the clients' descriptors that bounds the holding area.
	holdingAreaShare = 16
	// descriptorsPerHoldingSlot is how many descriptors are set aside for each place of the holding
	// area: two for the connection there, and two for one on its way to the loop.
	descriptorsPerHoldingSlot = 4
)

// holdingSlots is the size of the holding area: the operator's setting, but at most a sixteenth of
// the clients' descriptors. As many connections may be on their way to the loop, each with two
// descriptors for a moment.
func (s *Server) holdingSlots() int {
	return max(1, min(s.clients.configuredHoldingSlots, s.maxClients().conns/holdingAreaShare))
}

// connRules translates the operator's settings for the connection limiter.
func (s *Server) connRules(operator *config.OperatorSettings) connlimit.Rules {
	settings := &operator.ConnLimit
	holdingSlots := s.holdingSlots()
	limit := s.maxClients().conns - descriptorsPerHoldingSlot*holdingSlots
	return connlimit.Rules{
		MaxConnections:      limit,
		ReservedSlots:       int(float64(limit) * float64(settings.TrustedReserve)),
		MaxPerAddress:       settings.MaxPerAddress,
		MaxPerPrefix:        settings.MaxPerPrefix,
		RatePerAddress:      settings.ArrivalsPerAddress,
		RatePerPrefix:       settings.ArrivalsPerPrefix,
		IPv4PrefixBits:      settings.PrefixBitsIPv4,
		IPv6PrefixBits:      settings.PrefixBitsIPv6,
		TrustedPrefixes:     settings.TrustedPrefixes,
		HoldingSlots:        holdingSlots,
		RememberedAddresses: settings.RememberedAddresses,
		TrustThreshold:      settings.RequestsToTrust,
		CreditHalfLife:      settings.ReputationHalfLife.Seconds(),
		MinRetryAfter:       settings.MinRetryAfter.Seconds(),
		MaxRetryAfter:       settings.MaxRetryAfter.Seconds(),
		CPUShare:            float64(settings.CoreShare),
		Seed:                s.startup.Seed,
	}
}

// ReloadConfig applies the operator's file after it was read again. Any goroutine may call it; it
// returns at once. Keys that can't change while serving are logged and ignored.
func (s *Server) ReloadConfig(operator *config.OperatorSettings) {
	s.loop.executeWhenReady(func() {
		if operator.ConnLimit.Enabled != s.clients.limiter.HasRules() {
			slog.Info("reload_ignored", "key", "door")
			return
		}
		s.applyConnRules(operator)
	})
}

// applyConnRules applies the operator's settings to the connection limiter, as far as they can
// change while serving.
func (s *Server) applyConnRules(operator *config.OperatorSettings) {
	if !operator.ConnLimit.Enabled {
		return
	}
	if !s.clients.limiter.ApplyRules(s.connRules(operator)) {
		slog.Info("reload_ignored", "key", fixedConnLimitKeys)
	}
	if a := s.acceptor; a != nil {
		a.trusted.Store(&trustedClients{
			prefixes:  operator.ConnLimit.TrustedPrefixes,
			addresses: a.trusted.Load().addresses,
		})
	}
}

// requestAdmission asks the connection limiter about a new connection. One that is not admitted
// stays in the holding area for a moment, so that its first request gets an answer.
func (c *clientConn) requestAdmission() error {
	s := c.server
	limiter := s.clients.limiter
	now := s.now()
	cause, retryAfter := limiter.HandleArrival(c.slot(), remoteIP(c.conn.RemoteAddr()), now)
	s.scheduleTurn() // the holding area may have to make room
	switch cause {
	case connlimit.Admitted:
		return nil
	case connlimit.HoldingAreaFull:
		c.closeNow()
		return errHoldingAreaFull
	case connlimit.NoFreeSlot:
		if victim := s.firstEvictable(limiter.EvictionCandidatesFor(c.slot(), now), c); victim != nil {
			s.statistics.evicted++
			victim.closeNow()
			limiter.Admit(c.slot(), now)
			return nil
		}
		retryAfter = limiter.Reject(c.slot(), cause, now)
	}
	c.retryAfter = retryAfter
	return nil
}

// remoteIP is the address of a connection's peer; all connections without one share an address.
func remoteIP(addr net.Addr) netip.Addr {
	if tcp, ok := addr.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.IPv6Unspecified()
}

// rejectAtLimit rejects a request of a connection that is over a limit; the request never ran. The
// Retry-After is bounded by the deployment's settings.
func (c *clientConn) rejectAtLimit(number uint64, now float64) {
	s := c.server
	s.statistics.rejectedAtLimit++
	s.countOutcome(answerRejected)
	retryAfter := c.retryAfter
	if retryAfter == 0 { // it is admitted, and may not have a request open
		retryAfter = s.clients.limiter.RejectRequest(c.slot(), now)
	}
	report := s.health.loadReport
	report.RetryAfter = min(retryAfter, s.startup.Settings.MaxRetryAfter)
	c.rejectMessage(number, report, now)
}

// rejectMessage rejects a message that never became a request.
func (c *clientConn) rejectMessage(number uint64, report rpc.ResponseMetadata, now float64) {
	c.observe(connlimit.EventRequest, now)
	c.server.output.scratch = rpc.AppendRejected(c.server.output.scratch[:0], number, report)
	c.writeScratch()
}

// logConnStatistics logs the connection limiter's statistics.
func (s *Server) logConnStatistics() {
	limiter := s.clients.limiter
	stats := limiter.Stats()
	slog.Info("connection_admission",
		"admitted", stats.Admitted,
		"max", stats.MaxConnections,
		"holding_area", limiter.Count(connlimit.StateHeld),
		"untrusted_busy", stats.ActiveUntrusted,
		"rejected_rate", limiter.RejectedCount(connlimit.RateLimited),
		"rejected_cap", limiter.RejectedCount(connlimit.OverCap),
		"rejected_full", limiter.RejectedCount(connlimit.NoFreeSlot),
		"rejected_unanswered", limiter.RejectedCount(connlimit.HoldingAreaFull),
		"requests_rejected", s.statistics.rejectedAtLimit,
		"addresses", stats.KnownAddresses,
		"trusted", stats.RememberedTrusted,
		"rate_limit", logging.FormatDecimal(limiter.AcceptRate(s.now()), 0),
		"over_rate", s.acceptor.rateLimited.Load(),
		"accepts_failed", s.acceptor.failures.Load())
}
