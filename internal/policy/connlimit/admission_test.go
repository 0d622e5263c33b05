package connlimit

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func drawAddr(t *rapid.T) netip.Addr {
	host := rapid.IntRange(1, 6).Draw(t, "host")
	networks := []string{"10.1.1.%d", "10.1.2.%d", "::ffff:10.1.1.%d", "10.9.1.%d", "2001:db8::%d"}
	network := rapid.SampledFrom(networks).Draw(t, "net")
	return netip.MustParseAddr(fmt.Sprintf(network, host)).Unmap()
}

// drawSlot draws the slot of one of the connections for which keep returns true.
func (s *simulation) drawSlot(t *rapid.T, keep func(*simulatedConnection) bool) (slot int32, ok bool) {
	var slots []int32
	for slot, c := range s.connections {
		if keep(c) {
			slots = append(slots, slot)
		}
	}
	if len(slots) == 0 {
		return 0, false
	}
	slices.Sort(slots)
	return rapid.SampledFrom(slots).Draw(t, "slot"), true
}

// step executes a randomly drawn step.
func (s *simulation) step(t *rapid.T) {
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	case 0, 1, 2:
		addr := drawAddr(t)
		for range rapid.SampledFrom([]int{1, 1, 12}).Draw(t, "connections to open") {
			s.arrive(addr)
		}
	case 3, 4:
		if slot, ok := s.drawSlot(t, func(c *simulatedConnection) bool { return !c.active }); ok {
			s.openRequest(slot)
		}
	case 5, 6:
		if slot, ok := s.drawSlot(t, func(c *simulatedConnection) bool { return c.active }); ok {
			s.completeRequest(slot)
		}
	case 7:
		if slot, ok := s.drawSlot(t, func(*simulatedConnection) bool { return true }); ok {
			s.close(slot)
		}
	case 8:
		s.now += rapid.SampledFrom([]float64{0, 0.001, 0.6, 2, 5000}).Draw(t, "seconds passed")
	}
}

func TestLimiter_InvariantsHoldForRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.SampledFrom([]float64{0.3, 30}).Draw(t, "idle timeout"))
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			s.step(t)
			s.applyDecisions()
			s.checkInvariants()
		}
	})
}

func TestHandleArrival_TrustedAdmittedWhileUntrustedAtLimit(t *testing.T) {
	s := defaultSimulation(t)
	trusted := netip.MustParseAddr("10.9.7.7") // in TrustedPrefixes, so it need not earn trust
	for i := range 200 {
		s.now += 0.01
		slot, admitted := s.arrive(numberedAddr(i))
		if admitted && i%2 == 0 {
			s.openRequest(slot)
		}
		s.applyDecisions()
	}
	for range s.rules.ReservedSlots {
		if _, admitted := s.arrive(trusted); !admitted {
			t.Fatalf("connection of trusted client %v was not admitted, want %d reserved slots available",
				trusted, s.rules.ReservedSlots)
		}
	}
}

func TestHandleArrival_EnforcesAddressLimitAndHoldingAreaSize(t *testing.T) {
	s := defaultSimulation(t)
	reasons := map[RejectReason]int{}
	for slot := range int32(1000) { // all at the same time, from one address
		reason, _ := s.limiter.HandleArrival(slot, netip.MustParseAddr("10.1.1.1"), s.now)
		reasons[reason]++
		if held := s.limiter.Count(StateHeld); held > 2*s.rules.HoldingSlots {
			t.Fatalf("%d connections are held, want at most %d", held, 2*s.rules.HoldingSlots)
		}
	}
	if reasons[Admitted] != s.rules.MaxPerAddress || reasons[OverConnectionLimit] == 0 ||
		reasons[HoldingAreaFull] == 0 {
		t.Errorf("counts by reason are %v, want %d %v and some %v and %v",
			reasons, s.rules.MaxPerAddress, Admitted, OverConnectionLimit, HoldingAreaFull)
	}
	closed := 0
	for range 20 {
		for _, decision := range slices.Clone(s.limiter.TakeDecisions(s.now)) {
			if decision.Command == CommandClose {
				closed++
				s.limiter.HandleClosed(decision.Slot)
			}
		}
		s.now += 0.001
	}
	if closed < s.rules.HoldingSlots || s.limiter.Count(StateHeld) > s.rules.HoldingSlots {
		t.Errorf("%d connections closed and %d held, want at least %d closed and at most %d held",
			closed, s.limiter.Count(StateHeld), s.rules.HoldingSlots, s.rules.HoldingSlots)
	}
}

func TestReject_RetryAfterDoublesWithJitter(t *testing.T) {
	s := defaultSimulation(t)
	seen := map[float64]bool{}
	previous := 0.0
	for i := range 12 {
		slot := int32(i)
		s.limiter.HandleArrival(slot, netip.MustParseAddr("10.1.1.1"), s.now)
		retryAfter := s.limiter.Reject(slot, NoFreeSlot, s.now)
		if seen[retryAfter] || i > 0 && i < 5 && retryAfter <= previous*0.99 {
			t.Errorf("rejection %d: retry after %v s, want a time not returned before and, "+
				"for rejections 2 to 5, over %v s", i+1, retryAfter, previous*0.99)
		}
		seen[retryAfter] = true
		previous = min(retryAfter, s.rules.MinRetryAfterSeconds*float64(int(1)<<(i+1)))
	}
	if previous < s.rules.MaxRetryAfterSeconds/2 {
		t.Errorf("last retry after is %v s, want at least %v s", previous, s.rules.MaxRetryAfterSeconds/2)
	}
}

// BenchmarkHandleArrival measures the cost of an arrival when the given number of addresses connect in
// turn.
func BenchmarkHandleArrival(b *testing.B) {
	for _, addresses := range []int{1000, 1_000_000} {
		b.Run(fmt.Sprint(addresses), func(b *testing.B) {
			rules := testRules()
			rules.MaxConnections = 10_000
			rules.ReservedSlots = 2_000
			rules.RememberedAddresses = 8192
			rules.MaxPerPrefix = 0
			rules.RatePerPrefix = 0
			limiter := NewWithRules(30, rules)
			for slot := range int32(9000) {
				limiter.HandleArrival(slot, netip.AddrFrom4([4]byte{12, 0, byte(slot >> 8), byte(slot)}), 0)
				limiter.HandleEvent(slot, EventRequest, 0)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := 1 + float64(i)*1e-4
				n := i % addresses
				addr := netip.AddrFrom4([4]byte{11, byte(n >> 16), byte(n >> 8), byte(n)})
				if reason, _ := limiter.HandleArrival(9000, addr, now); reason != Admitted && reason != RateLimited {
					b.Fatalf("arrival %d is %v, want %v or %v", i, reason, Admitted, RateLimited)
				}
				limiter.HandleEvent(9000, EventRequest, now)
				limiter.HandleClosed(9000)
			}
		})
	}
}
