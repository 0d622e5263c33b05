package server

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"

	"swiftcourse/internal/config"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/wire/rpc"
)

// newConnLimiter creates the connection limiter. It enforces limits only if the operator's settings
// enable it.
func (s *Server) newConnLimiter(operator *config.OperatorSettings) *connlimit.Limiter {
	if operator == nil || !operator.ConnLimit.Enabled {
		return connlimit.New(s.startup.Settings.IdleTimeout)
	}
	s.clients.configuredHoldingSlots = operator.ConnLimit.HoldingSlots
	return connlimit.NewWithRules(s.startup.Settings.IdleTimeout, s.connRules(operator))
}

const (
	// holdingAreaDivisor is the divisor of the clients' descriptors that bounds the holding area.
	holdingAreaDivisor = 16
	// descriptorsPerHoldingSlot is how many descriptors are reserved for each slot of the holding
	// area: two for the connection in the slot, and two for one that the loop has yet to receive.
	descriptorsPerHoldingSlot = 4
)

// holdingSlots returns the size of the holding area: the operator's setting, but at most a
// sixteenth of the clients' descriptors. It also bounds the accepted connections that the loop has
// yet to receive, each of which briefly takes two descriptors.
func (s *Server) holdingSlots() int {
	return max(1, min(s.clients.configuredHoldingSlots, s.maxClients().conns/holdingAreaDivisor))
}

// connRules translates the operator's settings for the connection limiter.
func (s *Server) connRules(operator *config.OperatorSettings) connlimit.Rules {
	settings := &operator.ConnLimit
	holdingSlots := s.holdingSlots()
	limit := s.maxClients().conns - descriptorsPerHoldingSlot*holdingSlots
	return connlimit.Rules{
		MaxConnections:        limit,
		ReservedSlots:         int(float64(limit) * float64(settings.TrustedReserve)),
		MaxPerAddress:         settings.MaxPerAddress,
		MaxPerPrefix:          settings.MaxPerPrefix,
		RatePerAddress:        settings.ArrivalsPerAddress,
		RatePerPrefix:         settings.ArrivalsPerPrefix,
		IPv4PrefixBits:        settings.PrefixBitsIPv4,
		IPv6PrefixBits:        settings.PrefixBitsIPv6,
		TrustedPrefixes:       settings.TrustedPrefixes,
		HoldingSlots:          holdingSlots,
		RememberedAddresses:   settings.RememberedAddresses,
		TrustThreshold:        settings.RequestsToTrust,
		CreditHalfLifeSeconds: settings.ReputationHalfLife.Seconds(),
		MinRetryAfterSeconds:  settings.MinRetryAfter.Seconds(),
		MaxRetryAfterSeconds:  settings.MaxRetryAfter.Seconds(),
		CPUShare:              float64(settings.CoreShare),
		Seed:                  s.startup.Seed,
	}
}

// ReloadConfig applies the settings of an operator's file that was read again. Any goroutine may
// call it; it returns at once. Changes that can't be made while serving are logged and ignored.
func (s *Server) ReloadConfig(operator *config.OperatorSettings) {
	s.loop.executeWhenReady(func() {
		if operator.ConnLimit.Enabled != s.clients.limiter.HasRules() {
			slog.Info("reload_ignored", "key", "door")
			return
		}
		s.applyConnRules(operator)
	})
}

// applyConnRules applies the operator's settings for the connection limiter that can change while
// serving.
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

// requestAdmission asks the connection limiter to admit a new connection. A connection that is not
// admitted stays in the holding area for a short time, so that its first request is answered.
func (c *clientConn) requestAdmission() error {
	s := c.server
	limiter := s.clients.limiter
	now := s.now()
	cause, retryAfter := limiter.HandleArrival(c.slot(), remoteIP(c.conn.RemoteAddr()), now)
	s.scheduleTurn() // the limiter may have to free slots of the holding area
	switch cause {
	case connlimit.Admitted:
		return nil
	case connlimit.HoldingAreaFull:
		c.closeNow()
		return fmt.Errorf("%w: all %d slots are taken", errHoldingAreaFull, s.holdingSlots())
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

// remoteIP returns the address of a connection's peer. All connections without one share the
// unspecified address, and so its limits.
func remoteIP(addr net.Addr) netip.Addr {
	if tcp, ok := addr.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.IPv6Unspecified()
}

// rejectAtLimit rejects a request because the connection limiter does not let its connection open
// one; the request never ran. The deployment's settings bound the Retry-After.
func (c *clientConn) rejectAtLimit(number uint64, now float64) {
	s := c.server
	s.statistics.rejectedAtLimit++
	s.countOutcome(answerRejected)
	retryAfter := c.retryAfter
	if retryAfter == 0 { // the connection is admitted, but may not open a request now
		retryAfter = s.clients.limiter.RejectRequest(c.slot(), now)
	}
	report := s.health.loadReport
	report.RetryAfter = min(retryAfter, s.startup.Settings.MaxRetryAfter)
	c.rejectMessage(number, report, now)
}

// rejectMessage rejects a request message for which no request was created.
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
		"rejected_cap", limiter.RejectedCount(connlimit.OverConnectionLimit),
		"rejected_full", limiter.RejectedCount(connlimit.NoFreeSlot),
		"rejected_unanswered", limiter.RejectedCount(connlimit.HoldingAreaFull),
		"requests_rejected", s.statistics.rejectedAtLimit,
		"addresses", stats.KnownAddresses,
		"trusted", stats.RememberedTrusted,
		"rate_limit", logging.FormatDecimal(limiter.AcceptRate(s.now()), 0),
		"over_rate", s.acceptor.rateLimited.Load(),
		"accepts_failed", s.acceptor.failures.Load())
}
