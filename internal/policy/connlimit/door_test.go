package connlimit

import (
	"cmp"
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/standin/chance"
)

func TestMain(m *testing.M) { chance.Fix(m, 1000) }

// plainConn is a connection as the plain model knows it: facts, and no queue.
type plainConn struct {
	slot             int32
	order            int // in which its present time began
	since, heard     float64
	spoke, half      bool
	owes, told, done bool
}

func (c *plainConn) state() State {
	switch {
	case c.owes:
		return Busy
	case c.told:
		return Parting
	case !c.spoke:
		return Stranger
	case c.half:
		return Half
	}
	return Known
}

// plain is the model: it looks at all connections each time.
type plain struct {
	conns   map[int32]*plainConn
	idle    float64
	leaving bool
	slice   float64
	order   int
}

func (p *plain) begin(c *plainConn, now float64) {
	p.order++
	c.order, c.since = p.order, now
}

func (p *plain) wait(s State) float64 {
	switch {
	case s == Busy:
		return math.Inf(1)
	case s == Parting && p.leaving:
		return 0.1
	case s == Parting:
		return 0.5
	case p.leaving:
		return 0
	case s == Known:
		return p.idle
	}
	return 1.5
}

func (p *plain) sorted(keep func(*plainConn) bool, by func(a, b *plainConn) int) (list []*plainConn) {
	for _, c := range p.conns {
		if keep(c) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, by)
	return list
}

func (p *plain) due(now float64) (said []Verdict) {
	most := 4
	if p.leaving {
		most = 128
	}
	rank := map[State]int{Stranger: 0, Half: 1, Parting: 2, Known: 3}
	due := p.sorted(func(c *plainConn) bool { return now >= c.since+p.wait(c.state()) }, func(a, b *plainConn) int {
		return cmp.Or(cmp.Compare(rank[a.state()], rank[b.state()]), cmp.Compare(a.order, b.order))
	})
	if now < p.slice {
		return nil
	}
	for _, c := range due[:min(most, len(due))] {
		was := c.state()
		if asked := was == Known || p.leaving && was != Parting; asked {
			c.told = true
			said = append(said, Verdict{c.slot, Ask, was})
			p.begin(c, now)
		} else {
			c.done = true
			said = append(said, Verdict{c.slot, Close, was})
		}
	}
	if len(said) > 0 {
		p.slice = now + 0.001
	}
	return said
}

// tell books an input by the facts that it changes.
func (p *plain) tell(c *plainConn, in Input, now float64) {
	was := c.state()
	switch in {
	case Spoke:
		c.spoke, c.half, c.heard = true, false, now
	case Heard:
		c.half, c.heard = false, now
	case Partly:
		c.half, c.heard = true, now
	case Owed:
		c.owes, c.spoke, c.half = true, true, false
	case Settled:
		c.owes, c.heard = false, now
	}
	begins := c.state() != was
	if c.state() == Known || c.state() == Stranger && begins {
		begins = true
	}
	if begins {
		p.begin(c, now)
	}
}

func TestTheDoorDoesAsThePlainModelDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := 1000.0
		p := &plain{conns: map[int32]*plainConn{}, idle: rapid.SampledFrom([]float64{0, 0.3, 30}).Draw(t, "idle")}
		p.slice = math.Inf(-1)
		d := New(p.idle)
		pick := func() *plainConn {
			if len(p.conns) == 0 {
				return nil
			}
			list := p.sorted(func(*plainConn) bool { return true }, func(a, b *plainConn) int { return cmp.Compare(a.slot, b.slot) })
			return rapid.SampledFrom(list).Draw(t, "conn")
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1: // some arrive, at the lowest free slots
				for range rapid.SampledFrom([]int{1, 2, 20}).Draw(t, "how many") {
					slot := int32(0)
					for p.conns[slot] != nil {
						slot++
					}
					c := &plainConn{slot: slot, heard: now}
					p.begin(c, now)
					p.conns[slot] = c
					d.Open(slot, now)
				}
			case 2:
				if c := pick(); c != nil {
					delete(p.conns, c.slot)
					d.Leave(c.slot)
				}
			case 3, 4, 5:
				if c := pick(); c != nil {
					in := rapid.SampledFrom([]Input{Spoke, Heard, Partly, Owed, Settled}).Draw(t, "input")
					if (in == Settled) != c.owes && (in == Settled || in == Owed) {
						continue // nothing to settle, or owed already
					}
					p.tell(c, in, now)
					d.Tell(c.slot, in, now)
				}
			case 6:
				now += rapid.SampledFrom([]float64{0, 0.0005, 0.05, 0.6, 2, 1000}).Draw(t, "later")
			case 7:
				p.idle = rapid.SampledFrom([]float64{0, 0.1, 5}).Draw(t, "new idle")
				d.Idle(p.idle)
			case 8:
				if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
					p.leaving = true
					var busy []int32
					for _, c := range p.sorted(func(c *plainConn) bool { return c.owes && !c.told }, func(a, b *plainConn) int { return cmp.Compare(a.order, b.order) }) {
						c.told = true
						busy = append(busy, c.slot)
					}
					if got := d.LeaveAll(); !slices.Equal(got, busy) {
						t.Fatalf("busy %v, want %v", got, busy)
					}
				}
			}
			want, next := p.due(now), d.Next()
			got := d.Due(now)
			if !reflect.DeepEqual(slices.Clone(got), want) && len(got)+len(want) > 0 {
				t.Fatalf("at %v: %+v, want %+v", now, got, want)
			}
			if (len(got) > 0) != (next <= now) {
				t.Fatalf("%d verdicts at %v, next was %v", len(got), now, next)
			}
			for _, v := range slices.Clone(got) {
				if v.Do != Close {
					continue
				}
				c := p.conns[v.Slot]
				if rapid.Bool().Draw(t, "woke") {
					c.done = false
					p.begin(c, now)
					d.Tell(v.Slot, Woke, now)
				} else {
					delete(p.conns, v.Slot)
					d.Leave(v.Slot)
				}
			}
			counts := map[State]int{}
			for slot, c := range p.conns {
				counts[c.state()]++
				if d.State(slot) != c.state() {
					t.Fatalf("%d is %d, want %+v", slot, d.State(slot), c)
				}
			}
			for s := range states {
				if d.Count(s) != counts[s] {
					t.Fatalf("%d in state %d, want %d", d.Count(s), s, counts[s])
				}
			}
			group := func(c *plainConn) int {
				switch {
				case c.state() != Stranger:
					return 1
				case now-c.since > 0.1:
					return 0
				}
				return 2
			}
			var spare, wanted []float64 // by what they are ranked; of equals either may go
			for slot := range d.Spare(now) {
				c := p.conns[slot]
				spare = append(spare, float64(group(c)), map[bool]float64{true: c.heard, false: c.since}[group(c) == 1])
			}
			for _, c := range p.sorted(func(c *plainConn) bool { return !c.owes }, func(a, b *plainConn) int {
				if group(a) == 1 && group(b) == 1 {
					return cmp.Compare(a.heard, b.heard)
				}
				return cmp.Or(cmp.Compare(group(a), group(b)), cmp.Compare(a.order, b.order))
			}) {
				wanted = append(wanted, float64(group(c)), map[bool]float64{true: c.heard, false: c.since}[group(c) == 1])
			}
			if !p.leaving && sortedByState(p) && !slices.Equal(spare, wanted) {
				t.Fatalf("spare %v, want %v", spare, wanted)
			}
			if len(spare) != len(wanted) {
				t.Fatalf("%d spare, want %d", len(spare)/2, len(wanted)/2)
			}
		}
	})
}

// sortedByState tells whether, in each state, who was heard earlier entered it earlier: then the order in Spare is exact. It is not where
// connections were asked to close out of turn, or a partly known message was followed by more of it.
func sortedByState(p *plain) bool {
	for _, s := range judged {
		list := p.sorted(func(c *plainConn) bool { return c.state() == s }, func(a, b *plainConn) int { return cmp.Compare(a.order, b.order) })
		if !slices.IsSortedFunc(list, func(a, b *plainConn) int { return cmp.Compare(a.heard, b.heard) }) {
			return false
		}
	}
	return true
}

func TestWhoGoesFirstWhenDescriptorsRunShort(t *testing.T) {
	d := New(30)
	now := 100.0
	d.Open(5, now-9)
	d.Tell(5, Owed, now-9) // owed an answer: never
	d.Open(2, now-9)
	d.Tell(2, Spoke, now-8) // silent for longest of those known
	d.Open(3, now-9)
	d.Tell(3, Spoke, now-0.5)
	d.Open(0, now-1) // had its time and brought nothing
	d.Open(1, now-0.5)
	d.Open(4, now) // its first message may be on its way
	if got := slices.Collect(d.Spare(now)); !slices.Equal(got, []int32{0, 1, 2, 3, 4}) {
		t.Error(got)
	}
}

func TestAMassExpiryComesInSlices(t *testing.T) {
	const n = 10_000
	d := New(5)
	for slot := range int32(n) {
		d.Open(slot, 0)
		d.Tell(slot, Spoke, 0)
	}
	if d.Next() != 5 || len(d.Due(4.999)) != 0 {
		t.Fatalf("next %v", d.Next())
	}
	asked, at := 0, d.Next()
	for ; asked < n; at = d.Next() {
		got := d.Due(at)
		if len(got) == 0 || len(got) > maxASlice {
			t.Fatalf("%d verdicts at %v", len(got), at)
		}
		for _, v := range got {
			if v.Do != Ask || v.Slot != int32(asked) {
				t.Fatalf("%+v after %d", v, asked)
			}
			asked++
			d.Leave(v.Slot) // it heeds
		}
		if more := d.Due(at); len(more) > 0 && asked < n {
			t.Fatalf("%d more in the same instant", len(more))
		}
	}
	if spread := at; !math.IsInf(spread, 1) || d.Count(Known) != 0 || len(d.records) != 0 {
		t.Errorf("next %v, %d known, %d records", spread, d.Count(Known), len(d.records))
	}
}

func TestAServerThatLeavesPartsWithAll(t *testing.T) {
	const n = 1000
	d := New(30)
	for slot := range int32(n) {
		d.Open(slot, 0)
		if slot%3 > 0 {
			d.Tell(slot, Spoke, 0)
		}
	}
	d.Tell(1, Owed, 0)
	if busy := d.LeaveAll(); !slices.Equal(busy, []int32{1}) {
		t.Errorf("%v have a task open", busy)
	}
	d.Idle(30) // said by the module after that: it changes nothing
	asked, closed, now := 0, 0, 0.0
	for ; now < 1; now += 0.001 {
		for _, v := range d.Due(now) {
			if v.Do == Ask {
				asked++
				continue
			}
			closed++
			d.Leave(v.Slot)
		}
	}
	if asked != n-1 || closed != n-1 || d.State(1) != Busy {
		t.Fatalf("%d asked, %d closed, the busy one is %d", asked, closed, d.State(1))
	}
	d.Tell(1, Settled, now)
	if got := d.Due(now); len(got) != 0 || d.State(1) != Parting {
		t.Errorf("after its task it is asked again: %v", got)
	}
	if got := fmt.Sprint(d.Due(now + 0.2)); got != "[{1 1 5}]" {
		t.Errorf("heeding nothing: %s", got)
	}
}

func TestACloseIsTakenBackWhereSomethingIsThereToRead(t *testing.T) {
	d := New(1)
	d.Open(0, 0)
	d.Tell(0, Spoke, 0)
	if got := fmt.Sprint(d.Due(1)) + fmt.Sprint(d.Due(1.5)); got != "[{0 0 2}][{0 1 5}]" {
		t.Fatal(got)
	}
	d.Tell(0, Woke, 1.5)
	d.Tell(0, Owed, 1.5)
	if len(d.Due(100)) != 0 || d.State(0) != Busy {
		t.Error("closed while a task is open")
	}
	d.Tell(0, Settled, 100)
	if d.State(0) != Parting || d.Next() != 100.5 {
		t.Errorf("state %d, next %v", d.State(0), d.Next())
	}
}

// BenchmarkDoor tells what a message on one of so many connections costs, and a look at who is due.
func BenchmarkDoor(b *testing.B) {
	for _, n := range []int32{100, 10_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := New(1e9)
			for slot := range n {
				d.Open(slot, 0)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := 1 + float64(i)*1e-9
				d.Tell(int32(int64(i)*7919%int64(n)), Spoke, now)
				if i%64 == 0 {
					d.Due(0)
				}
			}
		})
	}
}
