package connlimit

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func rules() Rules {
	return Rules{Most: 40, Reserve: 16, PerAddress: 10, PerPrefix: 18, ArrivalsAddress: 200, ArrivalsPrefix: 400, V4: 24, V6: 64,
		Named: []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}, Lobby: 8, Remember: 64, Earn: 3, Forget: 600,
		ComeBack: 0.2, ComeBackMost: 10, Share: 0.2, Seed: 7}
}

// crowd plays connections against a guarded door, as the server would, and checks what must hold after each step.
type crowd struct {
	fataler
	d     *Door
	rules Rules
	now   float64
	conns map[int32]*modelConn
}

type fataler interface{ Fatalf(string, ...any) }

type modelConn struct {
	addr     netip.Addr
	in, busy bool
}

func (c *crowd) arrive(addr netip.Addr) (slot int32, in bool) {
	for c.conns[slot] != nil {
		slot++
	}
	cause, advice := c.d.Arrive(slot, addr, c.now)
	g := &modelConn{addr: addr, in: cause == LetIn}
	c.conns[slot] = g
	if cause == NoPlace {
		before := c.count(addr)
		for victim := range c.d.Yields(slot, c.now) {
			c.fair(g, before, victim)
			c.leave(victim)
			c.d.Admit(slot, c.now)
			g.in = true
			break
		}
		if !g.in {
			advice = c.d.TurnAway(slot, NoPlace, c.now)
			if c.knows(addr) && c.knownIn() < c.rules.Reserve {
				c.Fatalf("%v is known and has no place, with %d of %d kept", addr, c.knownIn(), c.rules.Reserve)
			}
		}
	}
	if !g.in && cause != NoLobby && (advice < c.rules.ComeBack || advice > c.rules.ComeBackMost) {
		c.Fatalf("advice %v", advice)
	}
	c.check()
	return slot, g.in
}

// fair checks that a victim may be taken for another.
func (c *crowd) fair(g *modelConn, own int, victim int32) {
	v := c.conns[victim]
	silent := c.d.records[victim].state == Stranger && c.now-c.d.records[victim].since > speakSoon
	switch {
	case v.busy || !v.in:
		c.Fatalf("%+v goes", v)
	case c.knows(v.addr) && !c.knows(g.addr):
		c.Fatalf("%v, which is known, goes for a stranger", v.addr)
	case c.knows(v.addr) == c.knows(g.addr) && v.addr != g.addr && c.count(v.addr) <= own && !(silent && !c.knows(v.addr)):
		c.Fatalf("%v with %d goes for %v with %d", v.addr, c.count(v.addr), g.addr, own)
	}
}

func (c *crowd) knows(addr netip.Addr) bool {
	i := c.d.addresses.find(keyOf(addr, 32, 128))
	return i >= 0 && c.d.addresses.entries[i].known
}

func (c *crowd) count(addr netip.Addr) (n int) {
	for _, g := range c.conns {
		if g.in && g.addr == addr {
			n++
		}
	}
	return n
}

func (c *crowd) knownIn() (n int) {
	for _, g := range c.conns {
		if g.in && c.knows(g.addr) {
			n++
		}
	}
	return n
}

func (c *crowd) leave(slot int32) {
	c.d.Leave(slot)
	delete(c.conns, slot)
}

// own has the server do what the door says of connections.
func (c *crowd) tend() {
	for _, v := range slices.Clone(c.d.Due(c.now)) {
		if v.Do == Close {
			c.leave(v.Slot)
		}
	}
}

// open has a connection open a task, where it may.
func (c *crowd) open(slot int32) bool {
	g := c.conns[slot]
	if !c.d.MayOwe(slot) {
		c.d.Tell(slot, Spoke, c.now)
		return false
	}
	c.d.Tell(slot, Owed, c.now)
	g.busy = true
	if most := c.rules.Most - c.rules.Reserve; !c.knows(g.addr) && c.d.busyStrangers > most {
		c.Fatalf("strangers have %d tasks open, %d at most", c.d.busyStrangers, most)
	}
	c.check()
	return true
}

func (c *crowd) finish(slot int32) {
	c.conns[slot].busy = false
	c.d.Finished(slot, c.now)
	c.d.Tell(slot, Settled, c.now)
	c.check()
}

// check recounts all from the facts.
func (c *crowd) check() {
	in, busyStrangers, perAddress, strange := 0, 0, map[netip.Addr]int{}, map[key]int{}
	for _, g := range c.conns {
		if !g.in {
			continue
		}
		in++
		perAddress[g.addr.Unmap()]++
		if !c.knows(g.addr) {
			strange[keyOf(g.addr, c.rules.V4, c.rules.V6)]++
			if g.busy {
				busyStrangers++
			}
		}
	}
	if in != c.d.in || in > c.rules.Most || busyStrangers != c.d.busyStrangers {
		c.Fatalf("%d in of %d, %d strangers busy; the door has %d and %d", in, c.rules.Most, busyStrangers, c.d.in, c.d.busyStrangers)
	}
	for addr, n := range perAddress {
		e := &c.d.addresses.entries[c.d.addresses.find(keyOf(addr, 32, 128))]
		if int(e.conns) != n || e.idle+e.busy > e.conns || int(c.d.prefixes.entries[e.prefix].strange) != strange[keyOf(addr, c.rules.V4, c.rules.V6)] {
			c.Fatalf("%v: %+v, want %d connections", addr, e, n)
		}
	}
}

func drawAddr(t *rapid.T) netip.Addr {
	host := rapid.IntRange(1, 6).Draw(t, "host")
	return netip.MustParseAddr(fmt.Sprintf(rapid.SampledFrom([]string{"10.1.1.%d", "10.1.2.%d", "::ffff:10.1.1.%d", "10.9.1.%d", "2001:db8::%d"}).Draw(t, "net"), host)).Unmap()
}

func TestTheGuardKeepsItsWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &crowd{d: NewGuarded(rapid.SampledFrom([]float64{0.3, 30}).Draw(t, "idle"), rules()), rules: rules(), now: 1000, conns: map[int32]*modelConn{}}
		c.fataler = t
		pick := func(want func(*modelConn) bool) (int32, bool) {
			var slots []int32
			for slot, g := range c.conns {
				if want(g) {
					slots = append(slots, slot)
				}
			}
			if len(slots) == 0 {
				return 0, false
			}
			slices.Sort(slots)
			return rapid.SampledFrom(slots).Draw(t, "slot"), true
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1, 2:
				addr := drawAddr(t)
				for range rapid.SampledFrom([]int{1, 1, 12}).Draw(t, "how many") {
					c.arrive(addr)
				}
			case 3, 4:
				if slot, ok := pick(func(g *modelConn) bool { return !g.busy }); ok {
					c.open(slot)
				}
			case 5, 6:
				if slot, ok := pick(func(g *modelConn) bool { return g.busy }); ok {
					c.finish(slot)
				}
			case 7:
				if slot, ok := pick(func(*modelConn) bool { return true }); ok {
					c.leave(slot)
				}
			case 8:
				c.now += rapid.SampledFrom([]float64{0, 0.001, 0.6, 2, 5000}).Draw(t, "later")
			}
			c.tend()
			c.check()
		}
	})
}

func play(t *testing.T) *crowd {
	return &crowd{fataler: t, d: NewGuarded(30, rules()), rules: rules(), now: 1000, conns: map[int32]*modelConn{}}
}

func TestAnAddressIsKnownByItsTasksAndForgotten(t *testing.T) {
	c := play(t)
	gate := netip.MustParseAddr("10.1.1.1")
	slot, _ := c.arrive(gate)
	for i := range 9 { // health checks, and a burst of tasks: neither buys it
		c.d.Tell(slot, Spoke, c.now)
		c.open(slot)
		c.finish(slot)
		if c.knows(gate) {
			t.Fatalf("known after %d tasks at once", i+1)
		}
	}
	for range 2 {
		c.now++
		c.open(slot)
		c.finish(slot)
	}
	if !c.knows(gate) || !c.knows(netip.MustParseAddr("::ffff:10.1.1.1")) {
		t.Fatal("not known after three seconds of tasks, or not as the same address mapped")
	}
	c.leave(slot)
	for i := range 100_000 { // a flood from ever new addresses goes through the book
		c.now += 0.0001
		s, _ := c.d.Arrive(0, netip.AddrFrom4([4]byte{11, byte(i >> 16), byte(i >> 8), byte(i)}), c.now)
		c.d.Leave(0)
		_ = s
	}
	if !c.knows(gate) {
		t.Error("pushed out by strangers")
	}
	c.now += 3000
	c.arrive(gate)
	if c.knows(gate) {
		t.Error("known for ever")
	}
}

func TestKnownOnesGetInWhileStrangersAreAtTheCap(t *testing.T) {
	c := play(t)
	named := netip.MustParseAddr("10.9.7.7") // from the first moment
	for i := range 200 {
		c.now += 0.01
		slot, in := c.arrive(netip.AddrFrom4([4]byte{11, byte(i), 0, 1}))
		if in && i%2 == 0 {
			c.open(slot)
		}
		c.tend()
	}
	for range c.rules.Reserve {
		if _, in := c.arrive(named); !in {
			t.Fatal("a named one has no place")
		}
	}
}

func TestOneAddressWithManyLosesItsOwnFirst(t *testing.T) {
	c := play(t)
	c.rules.PerAddress, c.d.PerAddress, c.d.PerPrefix = 0, 0, 0
	greedy := netip.MustParseAddr("10.1.1.1")
	for range 60 {
		slot, in := c.arrive(greedy)
		if in {
			c.d.Tell(slot, Spoke, c.now)
		}
		c.now += 0.01
		c.tend()
	}
	for i := range 60 {
		c.now += 0.01
		slot, in := c.arrive(netip.AddrFrom4([4]byte{11, byte(i % 6), 0, 1}))
		if in {
			c.d.Tell(slot, Spoke, c.now)
		}
		c.tend()
	}
	least, most := c.count(greedy), c.count(greedy)
	for i := range 6 {
		n := c.count(netip.AddrFrom4([4]byte{11, byte(i), 0, 1}))
		least, most = min(least, n), max(most, n)
	}
	if most-least > 1 {
		t.Errorf("parts from %d to %d", least, most)
	}
}

func TestTheTurnedAwayAreSpreadAndKeptAwayLonger(t *testing.T) {
	c := play(t)
	seen, before := map[float64]bool{}, 0.0
	for i := range 12 {
		slot := int32(i)
		c.d.Arrive(slot, netip.MustParseAddr("10.1.1.1"), c.now)
		advice := c.d.TurnAway(slot, NoPlace, c.now)
		if seen[advice] || i > 0 && i < 5 && advice <= before*0.99 {
			t.Errorf("advice %v after %v", advice, before)
		}
		seen[advice], before = true, min(advice, c.rules.ComeBack*float64(int(1)<<(i+1)))
	}
	if before < c.rules.ComeBackMost/2 {
		t.Errorf("advice ends at %v", before)
	}
}

func TestCapsOfArrivalsAndTheLobbysBound(t *testing.T) {
	c := play(t)
	causes := map[Cause]int{}
	for slot := range int32(1000) { // in one instant, from one address
		cause, _ := c.d.Arrive(slot, netip.MustParseAddr("10.1.1.1"), c.now)
		causes[cause]++
		if n := c.d.Count(Lobby); n > 2*c.rules.Lobby {
			t.Fatalf("%d in the lobby", n)
		}
	}
	if causes[LetIn] != c.rules.PerAddress || causes[OverCap] == 0 || causes[NoLobby] == 0 {
		t.Errorf("%v", causes)
	}
	closed := 0
	for range 20 {
		for _, v := range slices.Clone(c.d.Due(c.now)) {
			if v.Do == Close {
				closed++
				c.d.Leave(v.Slot)
			}
		}
		c.now += 0.001
	}
	if closed < c.rules.Lobby || c.d.Count(Lobby) > c.rules.Lobby {
		t.Errorf("%d closed, %d in the lobby", closed, c.d.Count(Lobby))
	}
}

// BenchmarkArrive tells what a decision costs with so many addresses that come in turn.
func BenchmarkArrive(b *testing.B) {
	for _, n := range []int{1000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := rules()
			r.Most, r.Reserve, r.Remember, r.PerPrefix, r.ArrivalsPrefix = 10_000, 2_000, 8192, 0, 0
			d := NewGuarded(30, r)
			for slot := range int32(9000) {
				d.Arrive(slot, netip.AddrFrom4([4]byte{12, 0, byte(slot >> 8), byte(slot)}), 0)
				d.Tell(slot, Spoke, 0)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now, a := 1+float64(i)*1e-4, i%n
				if c, _ := d.Arrive(9000, netip.AddrFrom4([4]byte{11, byte(a >> 16), byte(a >> 8), byte(a)}), now); c != LetIn && c != OverRate {
					b.Fatal(c)
				}
				d.Tell(9000, Spoke, now)
				d.Leave(9000)
			}
		})
	}
}

func TestASqueezeLeavesAQuarterAndIsGivenBack(t *testing.T) {
	c := play(t)
	named := netip.MustParseAddr("10.9.1.1")
	for i := range 30 {
		addr := named
		if i%3 > 0 {
			addr = netip.AddrFrom4([4]byte{11, byte(i), 0, 1})
		}
		slot, _ := c.arrive(addr)
		c.d.Tell(slot, Spoke, c.now)
	}
	for range 9 {
		c.d.Squeeze(c.now)
		for c.d.Over() > 0 {
			for at := range c.d.Excess(c.now) {
				if c.knows(c.conns[at].addr) && len(c.conns)-c.knownIn() > 0 {
					t.Fatal("a known one goes before the strangers")
				}
				c.leave(at)
				break
			}
		}
		c.rules.Most = c.d.Most
		c.check()
	}
	if c.d.Most != 10 || c.d.in > 10 {
		t.Errorf("%d places, %d in", c.d.Most, c.d.in)
	}
	for range 31 {
		c.now++
		c.arrive(netip.MustParseAddr("10.1.1.1"))
		c.rules.Most = c.d.Most + 1
	}
	if c.d.Most != 40 {
		t.Errorf("%d places are given back", c.d.Most)
	}
}

func TestAFloodBehindAKnownGatewayHarmsItAlone(t *testing.T) {
	c := play(t)
	c.rules.PerAddress, c.d.PerAddress, c.d.ArrivalsAddress = 0, 0, 0
	gate, honest := netip.MustParseAddr("10.1.1.1"), netip.MustParseAddr("10.1.2.1")
	for _, addr := range []netip.Addr{gate, honest} {
		slot, _ := c.arrive(addr)
		for range c.rules.Earn + 1 {
			c.now++
			c.open(slot)
			c.finish(slot)
		}
		c.leave(slot)
	}
	for range 500 { // many machines behind one gateway, all of which stay
		c.now += 0.01
		if slot, in := c.arrive(gate); in {
			c.d.Tell(slot, Spoke, c.now)
		}
		c.tend()
		if c.count(gate) == c.rules.Most {
			break
		}
	}
	for i := range c.rules.Most / 2 {
		c.now += 0.01
		slot, in := c.arrive(honest)
		if !in {
			t.Fatalf("the honest one has %d, the gateway %d", i, c.count(gate))
		}
		c.d.Tell(slot, Spoke, c.now)
	}
	if g, h := c.count(gate), c.count(honest); g-h > 1 || h-g > 1 {
		t.Errorf("the gateway holds %d, the honest one %d", g, h)
	}
	for range 30 { // time leaps
		c.now += 1e7
		c.tend()
		c.check()
	}
	if c.d.in != 0 {
		t.Errorf("%d are in after months", c.d.in)
	}
}

// TestHearsayMakesKnownForAWhile: it takes no place of those known here, is not passed on, and is over unless tasks are finished here.
func TestHearsayMakesKnownForAWhile(t *testing.T) {
	at := func(n byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, n}) }
	d := NewGuarded(60, Rules{Most: 4, Reserve: 2, V4: 24, V6: 56, Lobby: 1, Remember: 64, Earn: 3, Forget: 100, ComeBack: 0.1, ComeBackMost: 1, Share: 1})
	if n := d.Heard([]Earned{{at(1), 1e9}, {at(2), 3}, {at(3), 1}}, 0); n != 2 {
		t.Fatalf("%d of three were taken over; one has too little", n)
	}
	known := func(now float64, slot int32, addr netip.Addr) bool {
		d.Arrive(slot, addr, now)
		defer d.Leave(slot)
		return d.addresses.entries[d.records[slot].entry-1].known
	}
	if !known(1, 0, at(1)) || !known(1, 0, at(2)) || known(1, 0, at(3)) {
		t.Error("who is known is not who earned it elsewhere")
	}
	if told := d.Earnings(1, 10); len(told) != 0 {
		t.Errorf("hearsay is passed on: %v", told)
	}
	if known(101, 0, at(1)) {
		t.Error("it is known by hearsay for more than a half life")
	}
	var many []Earned
	for n := range 200 {
		many = append(many, Earned{netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 3})
	}
	if n := d.Heard(many, 102); n != 32 {
		t.Errorf("%d of 64 places went to hearsay", n)
	}
}
