package serve

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/internal/judge/door"
	"swiftcourse/internal/life"
	"swiftcourse/internal/watch"
	"swiftcourse/internal/wire/rpc"
)

// This file is the way of a connection and its tasks through a guarded door.

// newDoor makes the door as the operator's file says.
func (s *Server) newDoor(conf *life.OperatorSettings) *door.Door {
	if conf == nil || !conf.Door {
		return door.New(s.start.Settings.IdleTimeout)
	}
	s.lobby = conf.Lobby
	return door.NewGuarded(s.start.Settings.IdleTimeout, s.rules(conf))
}

// lobbyPlaces are as many as the file says, and at most a sixteenth of the descriptors for balancers; so many connections may be on their
// way to the loop too, each with two descriptors for a moment.
func (s *Server) lobbyPlaces() int {
	most, _ := s.maxPeers()
	return max(1, min(s.lobby, most/16))
}

// rules are the door's, in its words.
func (s *Server) rules(c *life.OperatorSettings) door.Rules {
	places := s.lobbyPlaces()
	most, _ := s.maxPeers()
	most -= 4 * places // twice in the lobby, and twice on their way
	return door.Rules{Most: most, Reserve: int(float64(most) * float64(c.Reserve)), PerAddress: c.PerAddress, PerPrefix: c.PerPrefix,
		ArrivalsAddress: c.RateAddress, ArrivalsPrefix: c.RatePrefix, V4: c.V4, V6: c.V6, Named: c.Known, Lobby: places,
		Remember: c.Remember, Earn: c.Earn, Forget: c.Forget.Seconds(), ComeBack: c.ComeBack.Seconds(),
		ComeBackMost: c.ComeBackMost.Seconds(), Share: float64(c.Share), Seed: s.start.Seed}
}

// Heed tells the server, from any goroutine, that the operator's file was read again.
func (s *Server) Heed(conf *life.OperatorSettings) {
	go func() {
		<-s.looping
		_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			if conf.Door != s.door.Guarded() {
				slog.Info("reload_ignores", "key", "door")
				return nil
			}
			s.heed(conf)
			return nil
		}))
	}()
}

// heed has the door go by the operator's file, as far as it can change while serving.
func (s *Server) heed(conf *life.OperatorSettings) {
	if conf.Door && !s.door.Heed(s.rules(conf)) {
		slog.Info("reload_ignores", "key", "door-prefix-ipv4, door-prefix-ipv6, door-lobby, door-remember")
	}
	if a := s.acceptor; a != nil && conf.Door {
		a.knownClients.Store(&knownClients{conf.Known, a.knownClients.Load().known})
	}
}

// arrived has the door judge a new connection. One that is not let in stays in the lobby for a moment, so that what it asks has
// an answer.
func (p *peer) arrived() error {
	s, slot := p.server, p.name.Slot()
	now := s.now()
	cause, advice := s.door.Arrive(slot, addrOf(p.conn.RemoteAddr()), now)
	s.wake() // the lobby may have to make room
	switch cause {
	case door.LetIn:
		return nil
	case door.NoLobby:
		p.end()
		return errors.New("no place, not even in the lobby")
	case door.NoPlace:
		if worst := s.firstFree(s.door.Yields(slot, now), p); worst != nil {
			s.counts.evicted++
			worst.end()
			s.door.Admit(slot, now)
			return nil
		}
		advice = s.door.TurnAway(slot, cause, now)
	}
	p.advice = advice
	return nil
}

func addrOf(a net.Addr) netip.Addr {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr()
	}
	return netip.IPv6Unspecified() // all that have no address are one
}

// turnAway rejects a task at the door: it never ran. It tells when to come back, as far as the site allows that.
func (p *peer) turnAway(number uint64, now float64) {
	s, slot := p.server, p.name.Slot()
	s.counts.turned++
	s.stampEnd(true)
	advice := p.advice
	if advice == 0 { // it is in, and may not have a task open
		advice = s.door.Advice(slot, now)
	}
	say := s.say
	say.Advice = min(advice, s.start.Settings.MaxRetryAfter)
	s.door.Tell(slot, door.Spoke, now)
	s.scratch = rpc.PutRejected(s.scratch[:0], number, say)
	s.write(&p.line, s.scratch)
}

// tellDoor writes the door's own line of counts.
func (s *Server) tellDoor() {
	k := s.door.Known()
	slog.Info("door", "in", k.In, "most", k.Most, "lobby", s.door.Count(door.Lobby), "strangers_busy", k.BusyStrangers,
		"turned_rate", s.door.Turned(door.OverRate), "turned_cap", s.door.Turned(door.OverCap), "turned_place", s.door.Turned(door.NoPlace),
		"unheard", s.door.Turned(door.NoLobby), "tasks_turned", s.counts.turned, "addresses", k.Addresses,
		"known", k.Known, "pace", watch.FormatDecimal(s.door.Pace(s.now()), 0), "over_rate", s.acceptor.overRate.Load(), "accepts_failed", s.acceptor.failed.Load())
}
