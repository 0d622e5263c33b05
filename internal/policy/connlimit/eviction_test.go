package connlimit

import (
	"net/netip"
	"testing"
)

func TestEvictionCandidatesFor_AddressWithMostConnectionsLosesFirst(t *testing.T) {
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
		s.applyDecisions()
	}
	for i := range 60 {
		s.now += 0.01
		slot, admitted := s.arrive(numberedAddr(i % 6))
		if admitted {
			s.limiter.HandleEvent(slot, EventRequest, s.now)
		}
		s.applyDecisions()
	}
	least, most := s.count(greedy), s.count(greedy)
	for i := range 6 {
		n := s.count(numberedAddr(i))
		least = min(least, n)
		most = max(most, n)
	}
	if most-least > 1 {
		t.Errorf("addresses have from %d to %d connections, want a difference of at most 1", least, most)
	}
}

// Many machines behind the gateway of a trusted address connect and stay. They must not keep another
// trusted address from its equal share of the slots.
func TestEvictionCandidatesFor_FloodBehindGatewayLeavesOthersTheirShare(t *testing.T) {
	s := defaultSimulation(t)
	s.rules.MaxPerAddress = 0
	s.limiter.clientPolicy.rules.MaxPerAddress = 0
	s.limiter.clientPolicy.rules.RatePerAddress = 0
	gateway, other := netip.MustParseAddr("10.1.1.1"), netip.MustParseAddr("10.1.2.1")
	s.earnTrust(gateway)
	s.earnTrust(other)
	for range 500 {
		s.now += 0.01
		if slot, admitted := s.arrive(gateway); admitted {
			s.limiter.HandleEvent(slot, EventRequest, s.now)
		}
		s.applyDecisions()
		if s.count(gateway) == s.rules.MaxConnections {
			break
		}
	}
	for i := range s.rules.MaxConnections / 2 {
		s.now += 0.01
		slot, admitted := s.arrive(other)
		if !admitted {
			t.Fatalf("connection %d of the other client was not admitted, want %d admitted; the gateway has %d",
				i+1, s.rules.MaxConnections/2, s.count(gateway))
		}
		s.limiter.HandleEvent(slot, EventRequest, s.now)
	}
	if g, h := s.count(gateway), s.count(other); g-h > 1 || h-g > 1 {
		t.Errorf("the gateway has %d connections and the other client %d, want a difference of at most 1", g, h)
	}
	for range 30 { // the clock jumps far ahead
		s.now += 1e7
		s.applyDecisions()
		s.checkInvariants()
	}
	if s.limiter.clientPolicy.admitted != 0 {
		t.Errorf("%d connections are admitted after all timeouts, want 0", s.limiter.clientPolicy.admitted)
	}
}

// earnTrust opens a connection from an address, completes enough requests to make the address trusted,
// and closes the connection.
func (s *simulation) earnTrust(addr netip.Addr) {
	slot, _ := s.arrive(addr)
	for range s.rules.TrustThreshold + 1 {
		s.now++
		s.openRequest(slot)
		s.completeRequest(slot)
	}
	s.close(slot)
}
