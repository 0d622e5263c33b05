package connlimit

import (
	"net/netip"
	"testing"
)

func TestEvictionCandidatesFor_LargestHolderLosesFirst(t *testing.T) {
	s := defaultSimulation(t)
	s.rules.MaxPerAddress = 0
	s.limiter.clientPolicy.rules.MaxPerAddress = 0
	s.limiter.clientPolicy.rules.MaxPerPrefix = 0
	greedy := netip.MustParseAddr("10.1.1.1")
	for range 60 {
		slot, admitted := s.arrive(greedy)
		if admitted {
			s.limiter.HandleEvent(slot, EventRequest, s.now)
		}
		s.now += 0.01
		s.maintain()
	}
	for i := range 60 {
		s.now += 0.01
		slot, admitted := s.arrive(numberedAddr(i % 6))
		if admitted {
			s.limiter.HandleEvent(slot, EventRequest, s.now)
		}
		s.maintain()
	}
	least, most := s.count(greedy), s.count(greedy)
	for i := range 6 {
		n := s.count(numberedAddr(i))
		least = min(least, n)
		most = max(most, n)
	}
	if most-least > 1 {
		t.Errorf("shares from %d to %d", least, most)
	}
}

func TestEvictionCandidatesFor_FloodBehindTrustedGatewayHarmsItAlone(t *testing.T) {
	s := defaultSimulation(t)
	s.rules.MaxPerAddress = 0
	s.limiter.clientPolicy.rules.MaxPerAddress = 0
	s.limiter.clientPolicy.rules.RatePerAddress = 0
	gateway, honest := netip.MustParseAddr("10.1.1.1"), netip.MustParseAddr("10.1.2.1")
	s.earnTrust(gateway)
	s.earnTrust(honest)
	for range 500 { // many machines behind one gateway, all of which stay
		s.now += 0.01
		if slot, admitted := s.arrive(gateway); admitted {
			s.limiter.HandleEvent(slot, EventRequest, s.now)
		}
		s.maintain()
		if s.count(gateway) == s.rules.MaxConnections {
			break
		}
	}
	for i := range s.rules.MaxConnections / 2 {
		s.now += 0.01
		slot, admitted := s.arrive(honest)
		if !admitted {
			t.Fatalf("the honest one has %d, the gateway %d", i, s.count(gateway))
		}
		s.limiter.HandleEvent(slot, EventRequest, s.now)
	}
	if g, h := s.count(gateway), s.count(honest); g-h > 1 || h-g > 1 {
		t.Errorf("the gateway holds %d, the honest one %d", g, h)
	}
	for range 30 { // time leaps
		s.now += 1e7
		s.maintain()
		s.check()
	}
	if s.limiter.clientPolicy.admitted != 0 {
		t.Errorf("%d are admitted after months", s.limiter.clientPolicy.admitted)
	}
}

// earnTrust has a client do the requests that make it trusted, and leave.
func (s *simulation) earnTrust(addr netip.Addr) {
	slot, _ := s.arrive(addr)
	for range s.rules.TrustThreshold + 1 {
		s.now++
		s.openRequest(slot)
		s.completeRequest(slot)
	}
	s.close(slot)
}
