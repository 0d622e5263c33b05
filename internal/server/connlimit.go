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
	s.clients.holdingArea = operator.ConnLimit.HoldingSlots
	return connlimit.NewWithRules(s.startup.Settings.IdleTimeout, s.connRules(operator))
}

// holdingAreaShare is the divisor of the clients' descriptors that bounds the holding area.
const holdingAreaShare = 16

// holdingSlots is the size of the holding area: the operator's setting, but at most a sixteenth of
// the clients' descriptors. As many connections may be on their way to the loop, each with two
// descriptors for a moment.
func (s *Server) holdingSlots() int {
	limit, _ := s.maxClients()
	return max(1, min(s.clients.holdingArea, limit/holdingAreaShare))
}

// connRules translates the operator's settings for the connection limiter.
func (s *Server) connRules(operator *config.OperatorSettings) connlimit.Rules {
	settings := &operator.ConnLimit
	places := s.holdingSlots()
	limit, _ := s.maxClients()
	limit -= 4 * places // twice in the holding area, and twice on their way
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
		HoldingSlots:        places,
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
		slog.Info("reload_ignored", "key", fixedKeys)
	}
	if a := s.acceptor; a != nil {
		a.trusted.Store(&trustedClients{named: operator.ConnLimit.TrustedPrefixes, earned: a.trusted.Load().earned})
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

// rejectAtLimit rejects a request of a connection that is over a limit: it never ran. The
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
	tally := limiter.Stats()
	slog.Info("connection_admission",
		"admitted", tally.Admitted,
		"max", tally.MaxConnections,
		"holding_area", limiter.Count(connlimit.StateHeld),
		"untrusted_busy", tally.ActiveUntrusted,
		"rejected_rate", limiter.RejectedCount(connlimit.RateLimited),
		"rejected_cap", limiter.RejectedCount(connlimit.OverCap),
		"rejected_full", limiter.RejectedCount(connlimit.NoFreeSlot),
		"rejected_unanswered", limiter.RejectedCount(connlimit.HoldingAreaFull),
		"requests_rejected", s.statistics.rejectedAtLimit,
		"addresses", tally.KnownAddresses,
		"trusted", tally.RememberedTrusted,
		"rate_limit", logging.FormatDecimal(limiter.AcceptRate(s.now()), 0),
		"over_rate", s.acceptor.rateLimited.Load(),
		"accepts_failed", s.acceptor.failures.Load())
}
