package connlimit

import (
	"net/netip"
	"testing"
)

func TestHandleDescriptorShortage_LeavesAQuarterAndIsRestored(t *testing.T) {
	s := defaultSimulation(t)
	trusted := netip.MustParseAddr("10.9.1.1")
	for i := range 30 {
		addr := trusted
		if i%3 > 0 {
			addr = numberedAddr(i)
		}
		slot, _ := s.arrive(addr)
		s.limiter.HandleEvent(slot, EventRequest, s.now)
	}
	for range 9 {
		s.limiter.HandleDescriptorShortage(s.now)
		for s.limiter.ExcessCount() > 0 {
			for slot := range s.limiter.ExcessConnections(s.now) {
				if s.isTrusted(s.connections[slot].addr) && len(s.connections)-s.admittedTrusted() > 0 {
					t.Fatal("a trusted one goes before the untrusted")
				}
				s.close(slot)
				break
			}
		}
		s.rules.MaxConnections = s.limiter.clientPolicy.slots.limit
		s.check()
	}
	if s.limiter.clientPolicy.slots.limit != 10 || s.limiter.clientPolicy.admitted > 10 {
		t.Errorf("%d slots, %d admitted", s.limiter.clientPolicy.slots.limit, s.limiter.clientPolicy.admitted)
	}
	for range 31 {
		s.now++
		s.arrive(netip.MustParseAddr("10.1.1.1"))
		s.rules.MaxConnections = s.limiter.clientPolicy.slots.limit + 1
	}
	if s.limiter.clientPolicy.slots.limit != 40 {
		t.Errorf("%d slots are restored", s.limiter.clientPolicy.slots.limit)
	}
}
