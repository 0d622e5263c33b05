package connlimit

import (
	"net/netip"
	"testing"
)

func TestReputation_EarnedByRequestsOverTimeAndForgotten(t *testing.T) {
	s := defaultSimulation(t)
	gateway := netip.MustParseAddr("10.1.1.1")
	slot, _ := s.arrive(gateway)
	for i := range 9 { // health checks, and a burst of requests: neither earns it
		s.limiter.HandleEvent(slot, EventRequest, s.now)
		s.openRequest(slot)
		s.completeRequest(slot)
		if s.isTrusted(gateway) {
			t.Fatalf("trusted after %d requests at once", i+1)
		}
	}
	for range 2 {
		s.now++
		s.openRequest(slot)
		s.completeRequest(slot)
	}
	if !s.isTrusted(gateway) || !s.isTrusted(netip.MustParseAddr("::ffff:10.1.1.1")) {
		t.Fatal("not trusted after three seconds of requests, or not as the same address mapped")
	}
	s.close(slot)
	for i := range 100_000 { // a flood from ever new addresses goes through the table
		s.now += 0.0001
		s.limiter.HandleArrival(0, netip.AddrFrom4([4]byte{11, byte(i >> 16), byte(i >> 8), byte(i)}), s.now)
		s.limiter.HandleClosed(0)
	}
	if !s.isTrusted(gateway) {
		t.Error("displaced by untrusted clients")
	}
	s.now += 3000
	s.arrive(gateway)
	if s.isTrusted(gateway) {
		t.Error("trusted for ever")
	}
}

// Reports take no room of those trusted here, are not passed on, and end unless requests are done
// here.
func TestAddTrustedClients_TrustEndsWithoutRequests(t *testing.T) {
	addr := func(n byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, n}) }
	limiter := NewWithRules(60, Rules{
		MaxConnections:      4,
		ReservedSlots:       2,
		IPv4PrefixBits:      24,
		IPv6PrefixBits:      56,
		HoldingSlots:        1,
		RememberedAddresses: 64,
		TrustThreshold:      3,
		CreditHalfLife:      100,
		MinRetryAfter:       0.1,
		MaxRetryAfter:       1,
		CPUShare:            1,
	})
	if n := limiter.AddTrustedClients([]TrustedClient{{addr(1), 1e9}, {addr(2), 3}, {addr(3), 1}}, 0); n != 2 {
		t.Fatalf("%d of three were accepted; one has too little", n)
	}
	isTrusted := func(now float64, addr netip.Addr) bool {
		limiter.HandleArrival(0, addr, now)
		defer limiter.HandleClosed(0)
		return limiter.clientPolicy.addresses.entries[limiter.connections[0].addressNumber-1].trusted
	}
	if !isTrusted(1, addr(1)) || !isTrusted(1, addr(2)) || isTrusted(1, addr(3)) {
		t.Error("who is trusted is not who earned it elsewhere")
	}
	if clients := limiter.TrustedClients(1, 10); len(clients) != 0 {
		t.Errorf("reports are passed on: %v", clients)
	}
	if isTrusted(101, addr(1)) {
		t.Error("trusted by reports for more than a half-life")
	}
	var many []TrustedClient
	for n := range 200 {
		many = append(many, TrustedClient{netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 3})
	}
	if n := limiter.AddTrustedClients(many, 102); n != 32 {
		t.Errorf("%d of 64 places went to reports", n)
	}
}
