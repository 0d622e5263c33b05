package server

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/internal/config"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/wire/rpc"
)

// This file is the way of a connection and its tasks through a guarded door.

// newConnLimiter makes the door as the operator's file says.
func (s *Server) newConnLimiter(conf *config.OperatorSettings) *connlimit.Door {
	if conf == nil || !conf.ConnLimit.Enabled {
		return connlimit.New(s.startup.Settings.IdleTimeout)
	}
	s.holdingArea = conf.ConnLimit.HoldingSlots
	return connlimit.NewGuarded(s.startup.Settings.IdleTimeout, s.connRules(conf))
}

// holdingSlots are as many as the file says, and at most a sixteenth of the descriptors for balancers; so many connections may be on their
// way to the loop too, each with two descriptors for a moment.
func (s *Server) holdingSlots() int {
	most, _ := s.maxClients()
	return max(1, min(s.holdingArea, most/16))
}

// connRules are the door's, in its words.
func (s *Server) connRules(c *config.OperatorSettings) connlimit.Rules {
	places := s.holdingSlots()
	most, _ := s.maxClients()
	most -= 4 * places // twice in the lobby, and twice on their way
	return connlimit.Rules{Most: most, Reserve: int(float64(most) * float64(c.ConnLimit.TrustedReserve)), PerAddress: c.ConnLimit.MaxPerAddress, PerPrefix: c.ConnLimit.MaxPerPrefix,
		ArrivalsAddress: c.ConnLimit.ArrivalsPerAddress, ArrivalsPrefix: c.ConnLimit.ArrivalsPerPrefix, V4: c.ConnLimit.PrefixBitsIPv4, V6: c.ConnLimit.PrefixBitsIPv6, Named: c.ConnLimit.TrustedPrefixes, Lobby: places,
		Remember: c.ConnLimit.RememberedAddresses, Earn: c.ConnLimit.RequestsToTrust, Forget: c.ConnLimit.ReputationHalfLife.Seconds(), ComeBack: c.ConnLimit.MinRetryAfter.Seconds(),
		ComeBackMost: c.ConnLimit.MaxRetryAfter.Seconds(), Share: float64(c.ConnLimit.CoreShare), Seed: s.startup.Seed}
}

// ReloadConfig tells the server, from any goroutine, that the operator's file was read again.
func (s *Server) ReloadConfig(conf *config.OperatorSettings) {
	go func() {
		<-s.loopReady
		_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			if conf.ConnLimit.Enabled != s.connLimiter.Guarded() {
				slog.Info("reload_ignores", "key", "door")
				return nil
			}
			s.applyConnRules(conf)
			return nil
		}))
	}()
}

// applyConnRules has the door go by the operator's file, as far as it can change while serving.
func (s *Server) applyConnRules(conf *config.OperatorSettings) {
	if conf.ConnLimit.Enabled && !s.connLimiter.Heed(s.connRules(conf)) {
		slog.Info("reload_ignores", "key", "door-prefix-ipv4, door-prefix-ipv6, door-lobby, door-remember")
	}
	if a := s.acceptor; a != nil && conf.ConnLimit.Enabled {
		a.trusted.Store(&trustedClients{conf.ConnLimit.TrustedPrefixes, a.trusted.Load().earned})
	}
}

// admitConnection has the door judge a new connection. One that is not let in stays in the lobby for a moment, so that what it asks has
// an answer.
func (p *clientConn) admitConnection() error {
	s, slot := p.server, p.id.Slot()
	now := s.now()
	cause, advice := s.connLimiter.Arrive(slot, remoteIP(p.conn.RemoteAddr()), now)
	s.scheduleTurn() // the lobby may have to make room
	switch cause {
	case connlimit.LetIn:
		return nil
	case connlimit.NoLobby:
		p.closeNow()
		return errors.New("no place, not even in the lobby")
	case connlimit.NoPlace:
		if worst := s.firstEvictable(s.connLimiter.Yields(slot, now), p); worst != nil {
			s.statistics.evicted++
			worst.closeNow()
			s.connLimiter.Admit(slot, now)
			return nil
		}
		advice = s.connLimiter.TurnAway(slot, cause, now)
	}
	p.retryAfter = advice
	return nil
}

func remoteIP(a net.Addr) netip.Addr {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.IPv6Unspecified() // all that have no address are one
}

// rejectAtLimit rejects a task at the door: it never ran. It tells when to come back, as far as the site allows that.
func (p *clientConn) rejectAtLimit(number uint64, now float64) {
	s, slot := p.server, p.id.Slot()
	s.statistics.rejectedAtLimit++
	s.countOutcome(true)
	advice := p.retryAfter
	if advice == 0 { // it is in, and may not have a task open
		advice = s.connLimiter.Advice(slot, now)
	}
	say := s.loadReport
	say.Advice = min(advice, s.startup.Settings.MaxRetryAfter)
	s.connLimiter.Tell(slot, connlimit.Spoke, now)
	s.scratch = rpc.PutRejected(s.scratch[:0], number, say)
	s.write(&p.bufferedConn, s.scratch)
}

// logConnStatistics writes the door's own line of counts.
func (s *Server) logConnStatistics() {
	k := s.connLimiter.Known()
	slog.Info("door", "in", k.In, "most", k.Most, "lobby", s.connLimiter.Count(connlimit.Lobby), "strangers_busy", k.BusyStrangers,
		"turned_rate", s.connLimiter.Turned(connlimit.OverRate), "turned_cap", s.connLimiter.Turned(connlimit.OverCap), "turned_place", s.connLimiter.Turned(connlimit.NoPlace),
		"unheard", s.connLimiter.Turned(connlimit.NoLobby), "tasks_turned", s.statistics.rejectedAtLimit, "addresses", k.Addresses,
		"known", k.Known, "pace", logging.FormatDecimal(s.connLimiter.Pace(s.now()), 0), "over_rate", s.acceptor.rateLimited.Load(), "accepts_failed", s.acceptor.failures.Load())
}
