package connlimit

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"iter"
	"math"
	"net/netip"
	"slices"

	"swiftcourse/internal/timewindow"
)

// Rules are what a guarded door goes by. A cap of 0 is none.
type Rules struct {
	Most            int            // connections that are let in
	Reserve         int            // of these, what strangers can't keep from those known
	PerAddress      int            // connections of a stranger's address; one that is known may have four times as many
	PerPrefix       int            // of all strangers of a prefix
	ArrivalsAddress float64        // a second, of an address; one that is known may have four times as many
	ArrivalsPrefix  float64        // a second, of all strangers of a prefix
	V4, V6          int            // bits of a prefix
	Named           []netip.Prefix // are known from the start and always
	Lobby           int            // places for those turned away, until their first message has its answer
	Remember        int            // addresses and prefixes remembered without a connection
	Earn            int            // tasks finished, in as many seconds at least, that make an address known
	Forget          float64        // seconds in which what was earned is halved
	ComeBack        float64        // the least advice to those turned away
	ComeBackMost    float64        // the most
	Share           float64        // of a core, that arrivals may take
	Seed            int64          // of the chance that spreads those turned away
}

// Cause is why one was turned away.
type Cause uint8

const (
	LetIn      Cause = iota
	OverRate         // its address or prefix arrives too often
	OverCap          // its address or prefix holds as many as it may
	NoPlace          // all places are taken, and none of those who have one holds more than its fair part
	NoLobby          // even the lobby is full: it is to be closed unheard
	causeCount       // how many there are
)

const (
	// knownTimes is how many times a stranger's caps hold for an address that is known: there may be many machines behind
	// one gateway. Named ones have no cap.
	knownTimes = 4
	// burst is for how many seconds arrivals are saved up: half of all balancers return within a second.
	burst = 2
	// earnEvery is how often, in seconds, a finished task counts for its address: so being known takes time, and a burst of tasks does not buy it.
	earnEvery = 1
	// maxCredit bounds what is earned, so that what was known for days is forgotten in hours.
	maxCredit = 64
	// turnedHalf is the half life, in seconds, of what an address was turned away; each time doubles its advice, up to the most.
	turnedHalf = 5
	// yieldAfter is how long, in seconds, one must have been silent to go for another whose address would then hold as many.
	yieldAfter = 0.5
	// firstCost is what an arrival is taken to cost, in seconds of the core, until arrivals in a row have shown it: twice what
	// was seen on one machine (40 to 60 us).
	firstCost = 100e-6
	// costOf is how many arrivals show what one costs: fewer would share what else the core did meanwhile.
	costOf = 50
	// costFor and costBuckets are how long the least cost counts.
	costFor     = 1.0
	costBuckets = 10
)

// guard is the part of a door that knows addresses.
type guard struct {
	Rules
	addresses, prefixes *book
	in                  int    // connections that were let in
	busyStrangers       int    // of these, those with a task open whose address is not known
	turns               uint32 // chance drawn so far
	turned              [causeCount]int
	changed             bool               // who is known, since KnownClients
	told                int                // places, as the rules say; Most are fewer after a squeeze
	easedAt             float64            // when the last place was given back
	costs               timewindow.Minimum // seconds of a core that an arrival took
	arrivals            int                // since cost was told last
	spent               float64            // of a core, when it was
}

// NewGuarded makes a door that goes by rules.
func NewGuarded(idle float64, rules Rules) *Door {
	d := New(idle)
	places := rules.Most + 4*rules.Lobby + 64 // those known may overflow the lobby for a moment
	d.guard = &guard{Rules: rules, told: rules.Most, addresses: newBook(places, rules.Remember), prefixes: newBook(places, rules.Remember),
		costs: timewindow.NewMinimum(costBuckets, costFor, 0)}
	return d
}

// Guarded tells whether the door goes by rules.
func (d *Door) Guarded() bool { return d.guard != nil }

// Turned counts those turned away for a cause.
func (d *Door) Turned(c Cause) int {
	if d.guard == nil {
		return 0
	}
	return d.turned[c]
}

// Arrive books a new connection from an address at a slot that is free. Where it returns LetIn the connection is in. NoPlace
// says that another has to go for it: say Admit once one of Yields is gone, or TurnAway. All others are in the
// lobby, and what they ask is to be rejected with the advice.
func (d *Door) Arrive(slot int32, addr netip.Addr, now float64) (c Cause, advice float64) {
	g := d.guard
	if g == nil {
		d.Open(slot, now)
		return LetIn, 0
	}
	g.arrivals++
	g.ease(now)
	for int(slot) >= len(d.records) {
		d.records = append(d.records, record{})
	}
	at := g.entryOf(addr)
	if at >= 0 {
		g.decay(at, now)
	}
	if at < 0 || !g.addresses.entries[at].known && d.queues[Lobby].n+d.queues[Turned].n >= 2*g.Lobby {
		g.turned[NoLobby]++
		d.records[slot] = record{heard: now}
		d.enter(slot, Ending, now)
		return NoLobby, 0
	}
	d.records[slot] = record{heard: now, entry: at + 1}
	e := &g.addresses.entries[at]
	p := &g.prefixes.entries[e.prefix]
	e.waits++
	p.waits++
	g.addresses.settle(at)
	g.prefixes.settle(e.prefix)
	d.enter(slot, Lobby, now)
	switch times := g.times(e); {
	case math.IsInf(times, 1):
	case !e.take(now, g.ArrivalsAddress*times), !e.known && !p.take(now, g.ArrivalsPrefix):
		c = OverRate
	case g.PerAddress > 0 && float64(e.conns) >= float64(g.PerAddress)*times, !e.known && g.PerPrefix > 0 && int(p.strange) >= g.PerPrefix:
		c = OverCap
	}
	switch {
	case c != LetIn:
		return c, d.TurnAway(slot, c, now)
	case !g.hasPlace(e):
		return NoPlace, 0
	}
	d.Admit(slot, now)
	return LetIn, 0
}

// entryOf finds or makes the entries of an address and its prefix; -1 where there is no place for them.
func (g *guard) entryOf(addr netip.Addr) int32 {
	k := keyOf(addr, 32, 128)
	at, fresh := g.addresses.get(k)
	if at < 0 {
		return -1
	}
	e := &g.addresses.entries[at]
	if fresh {
		e.named = g.isNamed(addr.Unmap())
		e.known = e.named
	}
	// The prefix may have been forgotten meanwhile, as it holds no connection of this address.
	if prefix := keyOf(addr, g.V4, g.V6); e.prefix < 0 || g.prefixes.entries[e.prefix].queue == free || g.prefixes.entries[e.prefix].key != prefix {
		if e.prefix, _ = g.prefixes.get(prefix); e.prefix < 0 {
			return -1
		}
	}
	return at
}

func (g *guard) isNamed(addr netip.Addr) bool {
	for _, p := range g.Named {
		if p.Contains(addr) {
			return true
		}
	}
	return false
}

func (g *guard) times(e *entry) float64 {
	switch {
	case e.named:
		return math.Inf(1)
	case e.known:
		return knownTimes
	}
	return 1
}

// take uses up one arrival of the allowance; a rate of 0 is no cap.
func (e *entry) take(now, rate float64) bool {
	if rate == 0 {
		return true
	}
	most := max(1, burst*rate)
	e.left = min(most, e.left+max(0, min(now-e.leftAt, burst))*rate)
	if math.IsInf(e.leftAt, -1) {
		e.left = most
	}
	e.leftAt = now
	if e.left < 1 {
		return false
	}
	e.left--
	return true
}

// hasPlace tells whether one more of an address can be let in as it is: strangers may have the reserve lent as long as it is free,
// but for the last eighth of it, which those known find free at any moment.
func (g *guard) hasPlace(e *entry) bool {
	if e.known {
		return g.in < g.Most
	}
	return g.in < g.Most-(g.kept()+7)/8
}

// Admit lets a connection in from the lobby.
func (d *Door) Admit(slot int32, now float64) {
	r := &d.records[slot]
	e, p := d.entries(r)
	p.waits--
	p.conns++
	e.waits--
	e.conns++
	if d.in++; !e.known {
		p.strange++
	}
	r.in = true
	d.enter(slot, Stranger, now)
}

// entries are those of a connection's address and prefix.
func (g *guard) entries(r *record) (address, prefix *entry) {
	address = &g.addresses.entries[r.entry-1]
	return address, &g.prefixes.entries[address.prefix]
}

// left takes a connection that is gone off its address.
func (d *Door) left(slot int32) {
	g, r := d.guard, &d.records[slot]
	if r.entry == 0 {
		return
	}
	e, p := g.entries(r)
	if !r.in {
		e.waits--
		p.waits--
	} else {
		g.in--
		e.conns--
		if p.conns--; !e.known {
			p.strange--
		}
	}
	g.addresses.settle(r.entry - 1)
	g.prefixes.settle(e.prefix)
	r.entry, r.in = 0, false
}

// moved keeps the list of a connection's address, after it entered a state: in it are those of which none has a task open, in the order in
// which they were last heard.
func (d *Door) moved(slot int32, now float64) {
	r := &d.records[slot]
	if r.entry == 0 {
		return
	}
	e := &d.addresses.entries[r.entry-1]
	may := r.in && (asked(r.state) || r.state == Parting)
	if r.listed && (!may || r.heard == now) {
		r.listed = false
		e.idle--
		if r.back > 0 {
			d.records[r.back-1].fore = r.fore
		} else {
			e.first = r.fore
		}
		if r.fore > 0 {
			d.records[r.fore-1].back = r.back
		} else {
			e.last = r.back
		}
	}
	if may && !r.listed {
		r.listed = true
		e.idle++
		if r.back, r.fore = e.last, 0; r.back > 0 {
			d.records[r.back-1].fore = slot + 1
		} else {
			e.first = slot + 1
		}
		e.last = slot + 1
	}
	if busy := r.in && r.state == Busy; busy != r.busy {
		r.busy = busy
		by := int32(1)
		if !busy {
			by = -1
		}
		if e.busy += by; !e.known {
			d.busyStrangers += int(by)
		}
	}
	d.addresses.settle(r.entry - 1)
}

// TurnAway keeps a connection in the lobby, until its first message has its answer or its time there is over, and gives the
// advice when to come back: longer each time, and spread by chance, so that those turned away together do not return
// together.
func (d *Door) TurnAway(slot int32, c Cause, now float64) (advice float64) {
	g := d.guard
	g.turned[c]++
	e := &g.addresses.entries[d.records[slot].entry-1]
	e.turned = halved(e.turned, turnedHalf, now-e.turnedAt) + 1
	e.turnedAt = now
	base := min(g.ComeBackMost/2, g.ComeBack*math.Exp2(min(e.turned-1, 16)))
	g.turns++
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:], uint64(g.Seed))
	binary.LittleEndian.PutUint32(b[8:], g.turns)
	return base * (1 + float64(crc32.ChecksumIEEE(b[:]))/math.MaxUint32)
}

// Advice is TurnAway's for one that is in: it asks again while its address may not have another task open.
func (d *Door) Advice(slot int32, now float64) float64 { return d.TurnAway(slot, NoPlace, now) }

// MayOwe tells whether a connection may open a task. Strangers that have the reserve lent may not keep it with tasks that run, as those
// could not be called back at once.
func (d *Door) MayOwe(slot int32) bool {
	g, r := d.guard, &d.records[slot]
	if g == nil || r.state == Busy {
		return true
	}
	if !r.in {
		return false
	}
	e := &g.addresses.entries[r.entry-1]
	return e.known || g.busyStrangers < g.Most-g.kept()
}

// Yields lists the connections of which one may go for the one at a slot, the first to go first. Strangers of which nothing came in
// their time go before all; then those of the address that holds the most, the one silent for longest first. A stranger takes no place of
// those known, and nobody takes one of an address that holds fewer than its own would then: so the parts of all addresses that want more
// become equal, and one address with many connections loses its own first. Where both would hold as many, one goes that was silent
// for yieldAfter. Last come its own, which a caller that came back after a crash may have left behind.
func (d *Door) Yields(slot int32, now float64) iter.Seq[int32] {
	return func(yield func(int32) bool) {
		g := d.guard
		own := &g.addresses.entries[d.records[slot].entry-1]
		for at := d.queues[Stranger].first - 1; at >= 0 && now-d.records[at].since > speakSoon; at = d.records[at].next - 1 {
			if !g.addresses.entries[d.records[at].entry-1].known && !yield(at) {
				return
			}
		}
		for _, known := range []bool{false, true} {
			if known && !own.known {
				break
			}
			least, even := int32(1), int32(0)
			if known == own.known {
				least, even = own.conns+1, own.conns+1
			}
			if !d.byRank(known, least, even, now, yield) {
				return
			}
		}
		for at := own.first - 1; at >= 0; at = d.records[at].fore - 1 {
			if !yield(at) {
				return
			}
		}
	}
}

// byRank yields connections of addresses that hold least or more, those of the ones that hold most first. Of those that hold as many
// as even, it yields only what was silent for yieldAfter. It tells whether to go on.
func (d *Door) byRank(known bool, least, even int32, now float64, yield func(int32) bool) bool {
	b := d.addresses
	for rank := b.highest(known); rank >= least; rank-- {
		for i := b.rank(known, rank).first - 1; i >= 0; i = b.entries[i].next - 1 {
			for at := b.entries[i].first - 1; at >= 0; at = d.records[at].fore - 1 {
				if rank == even && now-d.records[at].heard < yieldAfter { // the rest of them were heard later
					break
				}
				if !yield(at) {
					return false
				}
			}
		}
	}
	return true
}

const (
	// squeezeBy is how many connections fewer than now there may be when descriptors lack: what it takes to hand one to the loop, and one.
	squeezeBy = 4
	// leastPart keeps a quarter of the places whatever lacks: fewer would be no service.
	leastPart = 4
	// easeEvery is how often, in seconds, one more is let in again after that: the lack may be gone.
	easeEvery = 1
)

// Squeeze tells the door that descriptors lack although it keeps to its places: there are fewer than it was told. It goes by fewer places
// from now on, and Excess lists what has to go.
func (d *Door) Squeeze(now float64) {
	g := d.guard
	g.Most = max(1, g.told/leastPart, min(g.Most, g.in-squeezeBy))
	g.easedAt = now
}

// Excess lists connections to close until Over is no more: of strangers first, of those who hold most first.
func (d *Door) Excess(now float64) iter.Seq[int32] {
	return func(yield func(int32) bool) {
		_ = d.byRank(false, 1, 0, now, yield) && d.byRank(true, 1, 0, now, yield)
	}
}

// Over is how many connections there are beyond the places.
func (d *Door) Over() int { return d.in - d.Most }

// ease gives places back that were squeezed.
func (g *guard) ease(now float64) {
	if g.Most < g.told && now >= g.easedAt+easeEvery {
		g.Most, g.easedAt = g.Most+1, now
	}
}

// kept is how many places strangers can't keep from those known: as large a part of those there are as was told.
func (g *guard) kept() int { return g.Reserve * g.Most / g.told }

// Finished books that a task of a connection was finished: its address earns by it.
func (d *Door) Finished(slot int32, now float64) {
	g, r := d.guard, &d.records[slot]
	if g == nil || r.entry == 0 {
		return
	}
	at := r.entry - 1
	e := &g.addresses.entries[at]
	if e.credit > 0 && now-e.earnedAt < earnEvery {
		return
	}
	e.credit = min(maxCredit, halved(e.credit, g.Forget, now-e.earnedAt)+1)
	e.earnedAt = now
	if !e.known && e.credit >= float64(g.Earn)-0.5 { // the first ones have decayed a little
		g.know(at, true)
	}
}

// decay has an address that is known be so no longer where it earned nothing for long.
func (g *guard) decay(at int32, now float64) {
	e := &g.addresses.entries[at]
	least := float64(g.Earn) / 2
	if e.known && !e.named && halved(e.credit, g.Forget, now-e.earnedAt) < least && halved(e.heard, g.Forget, now-e.heardAt) < least {
		g.know(at, false)
	}
}

// Earned is what an address earned at a door.
type Earned struct {
	Addr   netip.Addr
	Credit float64 // tasks finished, one a second at most, halved every so often
}

// Earnings lists the addresses that are known here by what they earned here, those that earned most first, at most so many. What other doors said of
// them is left out, or a caller would be known for ever by hearsay.
func (d *Door) Earnings(now float64, most int) (list []Earned) {
	g := d.guard
	if g == nil {
		return nil
	}
	for i := range g.addresses.entries {
		e := &g.addresses.entries[i]
		if credit := halved(e.credit, g.Forget, now-e.earnedAt); e.queue != free && e.known && credit >= float64(g.Earn)/2 {
			list = append(list, Earned{netip.AddrFrom16(e.key).Unmap(), credit})
		}
	}
	slices.SortFunc(list, func(a, b Earned) int { return cmp.Or(cmp.Compare(b.Credit, a.Credit), a.Addr.Compare(b.Addr)) })
	return list[:min(len(list), most)]
}

// Heard has addresses known that earned it at other doors, as if they had just earned what it takes and no more: without a task finished here that is
// over in one half life. They take places of those that are passing, never of those known, and at most half of those remembered.
func (d *Door) Heard(list []Earned, now float64) (taken int) {
	g := d.guard
	if g == nil {
		return 0
	}
	for _, said := range list[:min(len(list), g.Remember/2)] {
		b := g.addresses
		if said.Credit < float64(g.Earn)/2 || b.find(keyOf(said.Addr, 32, 128)) < 0 && b.queues[free].n+b.queues[passing].n == 0 {
			continue
		}
		at := g.entryOf(said.Addr)
		if at < 0 {
			continue
		}
		e := &b.entries[at]
		e.heard, e.heardAt = min(said.Credit, float64(g.Earn)), now
		if !e.known {
			g.know(at, true)
		}
		taken++
	}
	return taken
}

// know makes an address known, or takes that back.
func (g *guard) know(at int32, known bool) {
	e := &g.addresses.entries[at]
	by := e.conns
	if known {
		by = -by
	}
	e.known, g.changed = known, true
	g.prefixes.entries[e.prefix].strange += by
	g.busyStrangers += int(e.busy) * sign(by)
	g.addresses.settle(at)
}

func sign(n int32) int {
	switch {
	case n < 0:
		return -1
	case n > 0:
		return 1
	}
	return 0
}

// Spent tells the door how many seconds of a core the server has used so far, so that it learns what an arrival costs: the least that was
// spent on each of some in a row, with all that was done beside. In a storm hardly anything else is.
func (d *Door) Spent(spent, now float64) {
	if g := d.guard; g.arrivals >= costOf {
		g.costs.Observe(now, max(1e-6, (spent-g.spent)/float64(g.arrivals)))
		g.arrivals, g.spent = 0, spent
	} else if g.arrivals == 0 {
		g.spent = spent
	}
}

// Pace is how many arrivals a second may be accepted: what the told share of a core does, at what an arrival costs.
func (d *Door) Pace(now float64) float64 {
	cost := firstCost
	if least := d.costs.Value(now); least > 0 {
		cost = min(cost, least)
	}
	return d.Share / cost
}

// KnownClients gives the addresses that are known by what they earned, for whoever has to tell them from strangers where the door is not.
// It gives none and false where they are the same as the last time.
func (d *Door) KnownClients() (known map[netip.Addr]bool, changed bool) {
	g := d.guard
	if !g.changed {
		return nil, false
	}
	g.changed = false
	known = map[netip.Addr]bool{}
	for i := range g.addresses.entries {
		if e := &g.addresses.entries[i]; e.queue != free && e.known && !e.named {
			known[netip.AddrFrom16(e.key).Unmap()] = true
		}
	}
	return known, true
}

// Heed has a door go by other rules from now on. It tells whether all of them hold: sizes and lengths of prefixes stay as they were
// until a restart.
func (d *Door) Heed(r Rules) (all bool) {
	g := d.guard
	was := g.Rules
	all = d.Fits(r)
	r.V4, r.V6, r.Lobby, r.Remember, r.Most = was.V4, was.V6, was.Lobby, was.Remember, was.Most
	g.Rules = r
	for i := range g.addresses.entries {
		e := &g.addresses.entries[i]
		if e.queue == free {
			continue
		}
		e.named = g.isNamed(netip.AddrFrom16(e.key).Unmap())
		if e.named && !e.known {
			g.know(int32(i), true)
		}
	}
	return all
}

// Fits tells whether Heed would take all of the rules.
func (d *Door) Fits(r Rules) bool {
	was := d.guard.Rules
	return r.V4 == was.V4 && r.V6 == was.V6 && r.Lobby == was.Lobby && r.Remember == was.Remember && r.Most == was.Most
}

// Tally is what a guarded door holds.
type Tally struct {
	In, Most, BusyStrangers int // connections
	Addresses, Known        int // remembered, with those that have a connection; of these, known without one
}

// Known tells what a guarded door holds.
func (d *Door) Known() Tally {
	g := d.guard
	return Tally{In: g.in, Most: g.Most, BusyStrangers: g.busyStrangers,
		Addresses: len(g.addresses.entries) - int(g.addresses.queues[free].n), Known: int(g.addresses.queues[remembers].n)}
}
