package connlimit

import (
	"net/netip"
	"slices"
	"testing"
)

func testRules() Rules {
	return Rules{
		MaxConnections:        40,
		ReservedSlots:         16,
		MaxPerAddress:         10,
		MaxPerPrefix:          18,
		RatePerAddress:        200,
		RatePerPrefix:         400,
		IPv4PrefixBits:        24,
		IPv6PrefixBits:        64,
		TrustedPrefixes:       []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")},
		HoldingSlots:          8,
		RememberedAddresses:   64,
		TrustThreshold:        3,
		CreditHalfLifeSeconds: 600,
		MinRetryAfterSeconds:  0.2,
		MaxRetryAfterSeconds:  10,
		CPUShare:              0.2,
		Seed:                  7,
	}
}

// numberedAddr returns the address of the nth untrusted client; each has its own prefix of 24 bits.
func numberedAddr(n int) netip.Addr { return netip.AddrFrom4([4]byte{11, byte(n), 0, 1}) }

// simulation drives a limiter with rules as the server does, and checks the invariants after each
// step.
type simulation struct {
	fataler
	limiter     *Limiter
	rules       Rules
	now         float64
	connections map[int32]*simulatedConnection
}

type fataler interface{ Fatalf(string, ...any) }

type simulatedConnection struct {
	addr     netip.Addr
	admitted bool
	active   bool
}

func newSimulation(t fataler, idleTimeout float64) *simulation {
	return &simulation{
		fataler:     t,
		limiter:     NewWithRules(idleTimeout, testRules()),
		rules:       testRules(),
		now:         1000,
		connections: map[int32]*simulatedConnection{},
	}
}

func defaultSimulation(t *testing.T) *simulation {
	t.Helper()
	return newSimulation(t, 30)
}

// arrive opens a connection from an address at the lowest free slot.
func (s *simulation) arrive(addr netip.Addr) (slot int32, admitted bool) {
	for s.connections[slot] != nil {
		slot++
	}
	reason, retryAfter := s.limiter.HandleArrival(slot, addr, s.now)
	c := &simulatedConnection{addr: addr, admitted: reason == Admitted}
	s.connections[slot] = c
	if reason == NoFreeSlot {
		retryAfter = s.evictFor(slot)
	}
	isHeld := !c.admitted && reason != HoldingAreaFull
	if isHeld && (retryAfter < s.rules.MinRetryAfterSeconds || retryAfter > s.rules.MaxRetryAfterSeconds) {
		s.Fatalf("retry after is %v s, want from %v to %v s",
			retryAfter, s.rules.MinRetryAfterSeconds, s.rules.MaxRetryAfterSeconds)
	}
	s.checkInvariants()
	return slot, c.admitted
}

// evictFor evicts a connection to admit the one at a slot, or rejects that one if there is no
// candidate.
func (s *simulation) evictFor(slot int32) (retryAfter float64) {
	c := s.connections[slot]
	admittedOfAddress := s.count(c.addr)
	for victim := range s.limiter.EvictionCandidatesFor(slot, s.now) {
		s.checkEviction(c, admittedOfAddress, victim)
		s.close(victim)
		s.limiter.Admit(slot, s.now)
		c.admitted = true
		return 0
	}
	retryAfter = s.limiter.Reject(slot, NoFreeSlot, s.now)
	if s.isTrusted(c.addr) && s.admittedTrusted() < s.rules.ReservedSlots {
		s.Fatalf("trusted address %v was rejected while trusted addresses use %d of %d reserved slots",
			c.addr, s.admittedTrusted(), s.rules.ReservedSlots)
	}
	return retryAfter
}

// checkEviction checks that a victim may be evicted for c, whose address has the given number of
// admitted connections.
func (s *simulation) checkEviction(c *simulatedConnection, admittedOfAddress int, victim int32) {
	v := s.connections[victim]
	record := s.limiter.connections[victim]
	isSilentNew := record.state == StateNew && s.now-record.stateSince > firstMessageDelaySeconds
	trusted := s.isTrusted(v.addr)
	otherOfSameTrust := trusted == s.isTrusted(c.addr) && v.addr != c.addr
	switch {
	case v.active || !v.admitted:
		s.Fatalf("evicted %+v, want an admitted connection without an open request", v)
	case trusted && !s.isTrusted(c.addr):
		s.Fatalf("evicted a connection of trusted address %v for untrusted address %v", v.addr, c.addr)
	case otherOfSameTrust && s.count(v.addr) <= admittedOfAddress && (!isSilentNew || trusted):
		s.Fatalf("evicted a connection of %v, which has %d, for %v, which has %d; want an address with more",
			v.addr, s.count(v.addr), c.addr, admittedOfAddress)
	}
}

func (s *simulation) entry(addr netip.Addr) *addressEntry {
	id := s.limiter.clientPolicy.addresses.find(newAddressKey(addr, ipv4Bits, ipv6Bits))
	if id < 0 {
		return nil
	}
	return &s.limiter.clientPolicy.addresses.entries[id]
}

func (s *simulation) isTrusted(addr netip.Addr) bool {
	entry := s.entry(addr)
	return entry != nil && entry.trusted
}

func (s *simulation) prefixKey(addr netip.Addr) addressKey {
	return newAddressKey(addr, s.rules.IPv4PrefixBits, s.rules.IPv6PrefixBits)
}

func (s *simulation) count(addr netip.Addr) (n int) {
	for _, c := range s.connections {
		if c.admitted && c.addr == addr {
			n++
		}
	}
	return n
}

func (s *simulation) admittedTrusted() (n int) {
	for _, c := range s.connections {
		if c.admitted && s.isTrusted(c.addr) {
			n++
		}
	}
	return n
}

func (s *simulation) close(slot int32) {
	s.limiter.HandleClosed(slot)
	delete(s.connections, slot)
}

// applyDecisions takes a batch of decisions and closes the connections that the limiter decided to
// close.
func (s *simulation) applyDecisions() {
	for _, decision := range slices.Clone(s.limiter.TakeDecisions(s.now)) {
		if decision.Command == CommandClose {
			s.close(decision.Slot)
		}
	}
}

// openRequest opens a request on a connection if the limiter allows it.
func (s *simulation) openRequest(slot int32) {
	c := s.connections[slot]
	if !s.limiter.MayOpenRequest(slot) {
		s.limiter.HandleEvent(slot, EventRequest, s.now)
		return
	}
	s.limiter.HandleEvent(slot, EventRequestOpened, s.now)
	c.active = true
	limit := s.rules.MaxConnections - s.rules.ReservedSlots
	if active := s.limiter.clientPolicy.activeUntrusted; !s.isTrusted(c.addr) && active > limit {
		s.Fatalf("%d connections of untrusted addresses have an open request, want at most %d", active, limit)
	}
	s.checkInvariants()
}

// completeRequest completes the open request of a connection.
func (s *simulation) completeRequest(slot int32) {
	s.connections[slot].active = false
	s.limiter.HandleRequestDone(slot, s.now)
	s.limiter.HandleEvent(slot, EventRequestsDone, s.now)
	s.checkInvariants()
}

// checkInvariants compares the limiter's counts with those of the simulated connections.
func (s *simulation) checkInvariants() {
	admitted, activeUntrusted := 0, 0
	perAddress := map[netip.Addr]int{}
	untrusted := map[addressKey]int{}
	for _, c := range s.connections {
		if !c.admitted {
			continue
		}
		admitted++
		perAddress[c.addr.Unmap()]++
		if s.isTrusted(c.addr) {
			continue
		}
		untrusted[s.prefixKey(c.addr)]++
		if c.active {
			activeUntrusted++
		}
	}
	policy := s.limiter.clientPolicy
	if admitted != policy.admitted || admitted > s.rules.MaxConnections || activeUntrusted != policy.activeUntrusted {
		s.Fatalf("limiter counts %d admitted and %d active untrusted connections, want %d (at most %d) and %d",
			policy.admitted, policy.activeUntrusted, admitted, s.rules.MaxConnections, activeUntrusted)
	}
	for addr, n := range perAddress {
		entry := s.entry(addr)
		ofPrefix := int(policy.prefixes.entries[entry.prefixIndex].untrusted)
		overcounted := entry.evictable.count+entry.active > entry.admitted
		if int(entry.admitted) != n || overcounted || ofPrefix != untrusted[s.prefixKey(addr)] {
			s.Fatalf("entry of %v is %+v, with %d untrusted connections of its prefix; want %d admitted and %d, "+
				"and no more evictable and active connections than admitted ones",
				addr, entry, ofPrefix, n, untrusted[s.prefixKey(addr)])
		}
	}
}
