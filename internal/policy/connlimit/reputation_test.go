package connlimit

import (
	"net/netip"
	"testing"
)

func TestReputation_EarnedOverTimeAndExpires(t *testing.T) {
	s := defaultSimulation(t)
	gateway := netip.MustParseAddr("10.1.1.1")
	slot, _ := s.arrive(gateway)
	for i := range 9 { // neither health checks nor a burst of requests earns trust
		s.limiter.HandleEvent(slot, EventRequest, s.now)
		s.openRequest(slot)
		s.completeRequest(slot)
		if s.isTrusted(gateway) {
			t.Fatalf("%v is trusted after %d requests at the same time", gateway, i+1)
		}
	}
	for range 2 {
		s.now++
		s.openRequest(slot)
		s.completeRequest(slot)
	}
	mapped := netip.MustParseAddr("::ffff:10.1.1.1")
	if !s.isTrusted(gateway) || !s.isTrusted(mapped) {
		t.Fatalf("after requests in three seconds, trusted is %v for %v and %v for %v, want true for both",
			s.isTrusted(gateway), gateway, s.isTrusted(mapped), mapped)
	}
	s.close(slot)
	for i := range 100_000 { // a flood of new addresses passes through the table
		s.now += 0.0001
		s.limiter.HandleArrival(0, netip.AddrFrom4([4]byte{11, byte(i >> 16), byte(i >> 8), byte(i)}), s.now)
		s.limiter.HandleClosed(0)
	}
	if !s.isTrusted(gateway) {
		t.Errorf("%v lost its trust to a flood of untrusted addresses", gateway)
	}
	s.now += 3000
	s.arrive(gateway)
	if s.isTrusted(gateway) {
		t.Errorf("%v is still trusted after 3000 s without a request", gateway)
	}
}

// Trust that other servers reported must not be reported on, or servers could keep it alive for each
// other, and must end after a half-life without requests on this server. A call must not accept more
// reported clients than half of RememberedAddresses.
func TestAddTrustedClients_TrustEndsWithoutRequests(t *testing.T) {
	addr := func(n byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, n}) }
	limiter := NewWithRules(60, Rules{
		MaxConnections:        4,
		ReservedSlots:         2,
		IPv4PrefixBits:        24,
		IPv6PrefixBits:        56,
		HoldingSlots:          1,
		RememberedAddresses:   64,
		TrustThreshold:        3,
		CreditHalfLifeSeconds: 100,
		MinRetryAfterSeconds:  0.1,
		MaxRetryAfterSeconds:  1,
		CPUShare:              1,
	})
	if n := limiter.AddTrustedClients([]TrustedClient{{addr(1), 1e9}, {addr(2), 3}, {addr(3), 1}}, 0); n != 2 {
		t.Fatalf("%d of three clients accepted, want 2: the credit of one is too low", n)
	}
	isTrusted := func(now float64, addr netip.Addr) bool {
		limiter.HandleArrival(0, addr, now)
		defer limiter.HandleClosed(0)
		return limiter.clientPolicy.addresses.entries[limiter.connections[0].addressNumber-1].trusted
	}
	first, second, third := isTrusted(1, addr(1)), isTrusted(1, addr(2)), isTrusted(1, addr(3))
	if !first || !second || third {
		t.Errorf("trusted is %v, %v, %v for the three clients, want true, true, false: "+
			"the credit of the third is too low", first, second, third)
	}
	if clients := limiter.TrustedClients(1, 10); len(clients) != 0 {
		t.Errorf("TrustedClients returned %v, want none: they earned no trust on this server", clients)
	}
	if isTrusted(101, addr(1)) {
		t.Errorf("%v is still trusted one half-life after the report, without a request", addr(1))
	}
	var many []TrustedClient
	for n := range 200 {
		many = append(many, TrustedClient{netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 3})
	}
	if n := limiter.AddTrustedClients(many, 102); n != 32 {
		t.Errorf("%d reported clients accepted, want 32 of the 64 remembered addresses", n)
	}
}
