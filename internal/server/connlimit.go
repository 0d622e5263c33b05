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

// newConnLimiter makes the connection limiter as the operator's file says.
func (s *Server) newConnLimiter(operator *config.OperatorSettings) *connlimit.Door {
	if operator == nil || !operator.Door {
		return connlimit.New(s.startup.Settings.IdleTimeout)
	}
	s.clients.holdingArea = operator.Lobby
	return connlimit.NewGuarded(s.startup.Settings.IdleTimeout, s.connRules(operator))
}

// holdingAreaShare of the descriptors for clients, as its divisor, is the most that the holding
// area takes.
const holdingAreaShare = 16

// holdingSlots are as many as the operator's file says, and at most a sixteenth of the descriptors
// for clients; so many connections may be on their way to the loop too, each with two descriptors
// for a moment.
func (s *Server) holdingSlots() int {
	limit, _ := s.maxClients()
	return max(1, min(s.clients.holdingArea, limit/holdingAreaShare))
}

// connRules are the operator's settings in the limiter's words.
func (s *Server) connRules(c *config.OperatorSettings) connlimit.Rules {
	places := s.holdingSlots()
	limit, _ := s.maxClients()
	limit -= 4 * places // twice in the holding area, and twice on their way
	return connlimit.Rules{
		Most:            limit,
		Reserve:         int(float64(limit) * float64(c.Reserve)),
		PerAddress:      c.PerAddress,
		PerPrefix:       c.PerPrefix,
		ArrivalsAddress: c.RateAddress,
		ArrivalsPrefix:  c.RatePrefix,
		V4:              c.V4,
		V6:              c.V6,
		Named:           c.Known,
		Lobby:           places,
		Remember:        c.Remember,
		Earn:            c.Earn,
		Forget:          c.Forget.Seconds(),
		ComeBack:        c.ComeBack.Seconds(),
		ComeBackMost:    c.ComeBackMost.Seconds(),
		Share:           float64(c.Share),
		Seed:            s.startup.Seed,
	}
}

// ReloadConfig tells the server, from any goroutine, that the operator's file was read again. It
// returns at once; what can't change while serving is logged.
func (s *Server) ReloadConfig(operator *config.OperatorSettings) {
	s.loop.executeWhenReady(func() {
		if operator.Door != s.clients.limiter.Guarded() {
			slog.Info("reload_ignored", "key", "door")
			return
		}
		s.applyConnRules(operator)
	})
}

// applyConnRules has the limiter go by the operator's settings, as far as it can change while
// serving.
func (s *Server) applyConnRules(operator *config.OperatorSettings) {
	if !operator.Door {
		return
	}
	if !s.clients.limiter.Heed(s.connRules(operator)) {
		slog.Info("reload_ignored", "key", fixedKeys)
	}
	if a := s.acceptor; a != nil {
		a.trusted.Store(&trustedClients{named: operator.Known, earned: a.trusted.Load().earned})
	}
}

// requestAdmission has the limiter judge a new connection. One that is not admitted stays in the
// holding area for a moment, so that what it asks has an answer.
func (c *clientConn) requestAdmission() error {
	s := c.server
	limiter := s.clients.limiter
	now := s.now()
	cause, retryAfter := limiter.Arrive(c.slot(), remoteIP(c.conn.RemoteAddr()), now)
	s.scheduleTurn() // the holding area may have to make room
	switch cause {
	case connlimit.LetIn:
		return nil
	case connlimit.NoLobby:
		c.closeNow()
		return errHoldingAreaFull
	case connlimit.NoPlace:
		if victim := s.firstEvictable(limiter.Yields(c.slot(), now), c); victim != nil {
			s.statistics.evicted++
			victim.closeNow()
			limiter.Admit(c.slot(), now)
			return nil
		}
		retryAfter = limiter.TurnAway(c.slot(), cause, now)
	}
	c.retryAfter = retryAfter
	return nil
}

// remoteIP is the address of a connection's other end; all that have none are one.
func remoteIP(addr net.Addr) netip.Addr {
	if tcp, ok := addr.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.IPv6Unspecified()
}

// rejectAtLimit rejects a request by the connection limiter's word: it never ran. It tells when to
// come back, as far as the deployment allows that.
func (c *clientConn) rejectAtLimit(number uint64, now float64) {
	s := c.server
	s.statistics.rejectedAtLimit++
	s.countOutcome(answerRejected)
	retryAfter := c.retryAfter
	if retryAfter == 0 { // it is admitted, and may not have a request open
		retryAfter = s.clients.limiter.Advice(c.slot(), now)
	}
	report := s.health.loadReport
	report.Advice = min(retryAfter, s.startup.Settings.MaxRetryAfter)
	c.rejectMessage(number, report, now)
}

// rejectMessage answers a message that never became a request.
func (c *clientConn) rejectMessage(number uint64, report rpc.Say, now float64) {
	c.observe(connlimit.Spoke, now)
	c.server.output.scratch = rpc.PutRejected(c.server.output.scratch[:0], number, report)
	c.writeScratch()
}

// logConnStatistics writes the connection limiter's own line of statistics.
func (s *Server) logConnStatistics() {
	limiter := s.clients.limiter
	tally := limiter.Known()
	slog.Info("connection_admission",
		"admitted", tally.In,
		"max", tally.Most,
		"holding_area", limiter.Count(connlimit.Lobby),
		"untrusted_busy", tally.BusyStrangers,
		"rejected_rate", limiter.Turned(connlimit.OverRate),
		"rejected_cap", limiter.Turned(connlimit.OverCap),
		"rejected_full", limiter.Turned(connlimit.NoPlace),
		"rejected_unanswered", limiter.Turned(connlimit.NoLobby),
		"requests_rejected", s.statistics.rejectedAtLimit,
		"addresses", tally.Addresses,
		"trusted", tally.Known,
		"rate_limit", logging.FormatDecimal(limiter.Pace(s.now()), 0),
		"over_rate", s.acceptor.rateLimited.Load(),
		"accepts_failed", s.acceptor.failures.Load())
}
