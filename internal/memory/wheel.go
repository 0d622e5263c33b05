package memory

import (
	"math"
	"math/bits"
)

// The wheel's geometry. A level has one slot for each value of six bits of the time in ticks, so finding the next
// slot is one instruction on a word; eleven levels cover every time there is, so nothing needs a second place.
const (
	levelBits = 6
	slots     = 1 << levelBits
	levels    = 11
	// ticksPerSecond makes the lowest slots a millisecond wide, which is as finely as the Go runtime wakes a
	// loop: what falls into one of them is put in exact order only when it is next.
	ticksPerSecond = 1024
	// maxLooked bounds how many timers of one slot Next looks at for the exact time of the first.
	maxLooked = 64
	// movesAFiring is how many timers may be moved down a level, at some 20 ns each, for one that goes off, which takes a
	// microsecond and more. It bounds a turn in which a slot of a high level, with all that is due in the next
	// hours, comes up.
	movesAFiring = 32
	// maxSpare bounds the places kept for use again when all timers are gone.
	maxSpare = 4096
)

const (
	nowhere int32 = -1 // no timer, or a place that is free
	near    int32 = -2 // in the heap of those that are next
	firing  int32 = -3 // its function is being called, or it was dropped since
	held    int32 = -4 // due already when it was added or moved while others go off
)

// Timer names a timer that was added. The zero Timer names none.
type Timer struct {
	at   int32 // its place, counted from 1
	turn uint32
}

type timer struct {
	when       float64
	order      uint64 // in which it was added or moved last
	do         func()
	next, prev int32
	slot       int32  // its slot, or near, firing, nowhere
	heapAt     int32  // its index in heap, or in late
	turn       uint32 // of its place: how many timers had it before
}

// Wheel is a hierarchical timing wheel: it holds what is to be done at its time. Adding, moving and dropping a
// timer costs the same however many there are, and moving one allocates nothing. They go off in the order of their times,
// and of equal times in the order of adding or moving. (Varghese and Lauck, 1987; the level of a timer is that of
// the highest bit in which its time differs from the wheel's.)
//
// The zero Timers is empty. Times are in seconds, 0 or more, on any clock; the clock that Ripe is told may stand still or
// leap forward, and a time it goes back to counts as the latest it was.
type Wheel struct {
	places []timer
	free   int32 // first free place, counted from 1
	n      int
	order  uint64

	elapsed  int64 // the tick up to which slots have been emptied
	full     [levels]uint64
	ends     [levels * slots]struct{ first, last int32 } // counted from 1
	draining int32                                       // slot that is being emptied, counted from 1

	heap []int32 // those of ticks up to elapsed, as a heap of four children

	busy bool    // Ripe is under way
	now  float64 // at which it is
	late []int32 // those held until it is over
}

// Len counts them.
func (t *Wheel) Len() int { return t.n }

// Schedule has do called at or after when.
func (t *Wheel) Schedule(when float64, do func()) Timer {
	i := t.free - 1
	if i >= 0 {
		t.free = t.places[i].next
	} else {
		i = int32(len(t.places))
		t.places = append(t.places, timer{})
	}
	p := &t.places[i]
	p.do = do
	t.n++
	t.put(i, when)
	return Timer{i + 1, p.turn}
}

// Reschedule gives a timer that has not gone off yet another time, as if it were added now. It tells whether there was
// such a timer. A timer may move itself while it goes off: it stays, with the same name.
func (t *Wheel) Reschedule(name Timer, when float64) bool {
	i, ok := t.find(name)
	if !ok {
		return false
	}
	t.take(i)
	t.put(i, when)
	return true
}

// Cancel takes a timer out and tells whether it was there.
func (t *Wheel) Cancel(name Timer) bool {
	i, ok := t.find(name)
	if !ok {
		return false
	}
	if t.places[i].slot == firing { // freed by Ripe
		t.places[i].turn++
		return true
	}
	t.take(i)
	t.release(i)
	return true
}

// Contains tells whether a timer is still there: it has not gone off, or does so now.
func (t *Wheel) Contains(name Timer) bool {
	_, ok := t.find(name)
	return ok
}

// NextWakeup is a time at which Ripe should be called: that of the first timer, or one before it where that is far away or
// has many beside it; infinite where there is none. It never is later than the first timer's.
func (t *Wheel) NextWakeup() float64 {
	next := math.Inf(1)
	if len(t.heap) > 0 {
		next = t.places[t.heap[0]].when
	}
	if t.draining > 0 {
		return min(next, seconds(t.elapsed))
	}
	if len(t.heap) > 0 {
		return next
	}
	level, slot, start := t.first()
	if level < 0 {
		return next
	}
	if level > 0 {
		return seconds(start)
	}
	i := t.ends[slot].first
	for looked := 0; i > 0; looked++ {
		if looked == maxLooked {
			return seconds(start)
		}
		next = min(next, t.places[i-1].when)
		i = t.places[i-1].next
	}
	return next
}

// Advance does what is due at now, at most so many of them, and tells whether all of it was done; what is left goes
// first the next time. What is added or moved meanwhile waits for the next time, also if it is due.
func (t *Wheel) Advance(now float64, most int) (all bool) {
	t.busy, t.now = true, now
	all = t.ripe(now, most)
	t.busy = false
	for _, i := range t.late {
		t.place(i)
	}
	t.late = t.late[:0]
	return all
}

func (t *Wheel) ripe(now float64, most int) (all bool) {
	until := tick(now)
	for moves := most * movesAFiring; ; {
		if t.draining == 0 && (len(t.heap) == 0 || t.places[t.heap[0]].when > now) && !t.step(until) {
			return true
		}
		for t.draining > 0 {
			if moves == 0 {
				return false
			}
			moves--
			t.drain()
		}
		for len(t.heap) > 0 && t.places[t.heap[0]].when <= now {
			if most == 0 {
				return false
			}
			most--
			t.fire(t.heap[0])
		}
	}
}

func (t *Wheel) fire(i int32) {
	t.take(i)
	p := &t.places[i]
	p.slot = firing
	p.do()
	if p = &t.places[i]; p.slot == firing { // it did not move itself
		t.release(i)
	}
}

// step moves on to the next slot that is due by until, and has it emptied.
func (t *Wheel) step(until int64) bool {
	level, slot, start := t.first()
	if level < 0 || start > until {
		t.elapsed = max(t.elapsed, until)
		return false
	}
	t.elapsed = start
	t.draining = slot + 1
	return true
}

// drain takes one timer out of the slot that is being emptied, to a lower level or to those that are next.
func (t *Wheel) drain() {
	slot := t.draining - 1
	if i := t.ends[slot].first - 1; i >= 0 {
		t.take(i)
		t.place(i)
	}
	if t.ends[slot].first == 0 {
		t.draining = 0
	}
}

// first finds the first slot that is not empty, and the tick at which it starts. Its level is -1 where there is none.
func (t *Wheel) first() (level, slot int32, start int64) {
	for level := range int32(levels) {
		if full := t.full[level]; full != 0 {
			shift := level * levelBits
			in := int64(bits.TrailingZeros64(full)) // those of a level are all ahead, in one turn of it
			start := t.elapsed>>(shift+levelBits)<<(shift+levelBits) | in<<shift
			return level, level*slots + int32(in), start
		}
	}
	return -1, 0, 0
}

func (t *Wheel) find(name Timer) (int32, bool) {
	i := name.at - 1
	if i < 0 || int(i) >= len(t.places) || t.places[i].turn != name.turn || t.places[i].slot == nowhere {
		return 0, false
	}
	return i, true
}

func (t *Wheel) put(i int32, when float64) {
	p := &t.places[i]
	t.order++
	p.when, p.order = when, t.order
	if t.busy && when <= t.now {
		p.slot, p.heapAt = held, int32(len(t.late))
		t.late = append(t.late, i)
		return
	}
	t.place(i)
}

// place puts a timer where its time belongs.
func (t *Wheel) place(i int32) {
	p := &t.places[i]
	at := tick(p.when)
	if at <= t.elapsed {
		p.slot, p.heapAt = near, int32(len(t.heap))
		t.heap = append(t.heap, i)
		t.rise(p.heapAt)
		return
	}
	level := int32(bits.Len64(uint64(at^t.elapsed))-1) / levelBits
	in := at >> (level * levelBits) & (slots - 1)
	p.slot = level*slots + int32(in)
	t.full[level] |= 1 << in
	e := &t.ends[p.slot]
	p.prev, p.next = e.last, 0
	if e.last > 0 {
		t.places[e.last-1].next = i + 1
	} else {
		e.first = i + 1
	}
	e.last = i + 1
}

// take takes a timer out of where it is.
func (t *Wheel) take(i int32) {
	p := &t.places[i]
	switch p.slot {
	case firing:
	case held:
		last := t.late[len(t.late)-1]
		t.late[p.heapAt], t.places[last].heapAt = last, p.heapAt
		t.late = t.late[:len(t.late)-1]
	case near:
		last := int32(len(t.heap) - 1)
		at := p.heapAt
		t.swap(at, last)
		t.heap = t.heap[:last]
		if at < last {
			t.rise(at)
			t.sink(at)
		}
	default:
		e := &t.ends[p.slot]
		if p.prev > 0 {
			t.places[p.prev-1].next = p.next
		} else {
			e.first = p.next
		}
		if p.next > 0 {
			t.places[p.next-1].prev = p.prev
		} else {
			e.last = p.prev
		}
		if e.first == 0 {
			t.full[p.slot/slots] &^= 1 << (p.slot % slots)
			if t.draining == p.slot+1 {
				t.draining = 0
			}
		}
	}
}

// release frees a timer's place.
func (t *Wheel) release(i int32) {
	p := &t.places[i]
	*p = timer{slot: nowhere, next: t.free, turn: p.turn + 1}
	t.free = i + 1
	if t.n--; t.n == 0 && len(t.places) > maxSpare {
		t.places, t.heap, t.late, t.free = nil, nil, nil, 0
	}
}

// before tells which of two goes first.
func (t *Wheel) before(a, b int32) bool {
	p, q := &t.places[a], &t.places[b]
	return p.when < q.when || p.when == q.when && p.order < q.order
}

func (t *Wheel) swap(a, b int32) {
	t.heap[a], t.heap[b] = t.heap[b], t.heap[a]
	t.places[t.heap[a]].heapAt, t.places[t.heap[b]].heapAt = a, b
}

func (t *Wheel) rise(at int32) {
	for at > 0 {
		up := (at - 1) / 4
		if !t.before(t.heap[at], t.heap[up]) {
			return
		}
		t.swap(at, up)
		at = up
	}
}

func (t *Wheel) sink(at int32) {
	for {
		least := at
		for c := 4*at + 1; c <= 4*at+4 && int(c) < len(t.heap); c++ {
			if t.before(t.heap[c], t.heap[least]) {
				least = c
			}
		}
		if least == at {
			return
		}
		t.swap(at, least)
		at = least
	}
}

// maxTick keeps every time, the infinite one too, within the levels.
const maxTick = 1 << 62

func tick(when float64) int64 {
	if x := when * ticksPerSecond; x < maxTick {
		return int64(max(x, 0))
	}
	return maxTick
}

func seconds(tick int64) float64 { return float64(tick) / ticksPerSecond }
