package connlimit

import (
	"net/netip"
	"testing"
)

// Repeated descriptor shortages lower the limit on connections to a quarter of MaxConnections and no
// further. After the shortage the limit rises again by a slot per second.
func TestHandleDescriptorShortage_KeepsQuarterOfSlotsThenRestores(t *testing.T) {
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
					t.Fatalf("connection of trusted address %v is to be closed while untrusted ones are open",
						s.connections[slot].addr)
				}
				s.close(slot)
				break
			}
		}
		s.rules.MaxConnections = s.limiter.clientPolicy.slots.limit
		s.checkInvariants()
	}
	if s.limiter.clientPolicy.slots.limit != 10 || s.limiter.clientPolicy.admitted > 10 {
		t.Errorf("limit %d with %d admitted, want limit 10 with at most 10 admitted",
			s.limiter.clientPolicy.slots.limit, s.limiter.clientPolicy.admitted)
	}
	for range 31 {
		s.now++
		s.arrive(netip.MustParseAddr("10.1.1.1"))
		s.rules.MaxConnections = s.limiter.clientPolicy.slots.limit + 1
	}
	if s.limiter.clientPolicy.slots.limit != 40 {
		t.Errorf("limit is %d after the shortage, want 40", s.limiter.clientPolicy.slots.limit)
	}
}
