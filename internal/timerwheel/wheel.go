// Package timerwheel keeps callbacks that are due at a given time.
//
// A Wheel is a hierarchical timing wheel (Varghese and Lauck, "Hashed and Hierarchical Timing
// Wheels", 1987). It starts no goroutine and reads no clock: its owner, one goroutine such as an
// event loop, passes the time and calls Advance. All times are in seconds, 0 or more, on any clock
// that the owner chooses.
//
// This file has the operations on timers, advance.go calls the callbacks that are due, placement.go
// decides where a timer is kept, and heap.go orders the timers that are next.
package timerwheel

import (
	"math"
	"math/bits"
)

// The geometry of the wheel. A level has one slot for each value of six bits of the time in ticks,
// so that finding the next slot is one instruction on a 64-bit word. Eleven levels cover all 63 bits
// of a tick, so there is no overflow list.
const (
	levelBits     = 6
	slotsPerLevel = 1 << levelBits
	levels        = 11
	// ticksPerSecond makes the slots of the lowest level a millisecond wide, the precision with which
	// the Go runtime wakes an event loop. The timers of such a slot are sorted, by the heap, only
	// when the slot is next.
	ticksPerSecond = 1024
	// maxExamined bounds how many timers of one slot NextWakeup looks at for the exact time of the
	// first.
	maxExamined = 64
	// maxSpareEntries bounds the memory kept for later timers once all timers are gone.
	maxSpareEntries = 4096
)

// Timer identifies a scheduled timer, and never a later one. The zero Timer identifies none.
type Timer struct {
	position   int32 // index of its entry, counted from 1
	generation uint32
}

// entry holds one timer, and later ones after it is released.
type entry struct {
	when       float64
	sequence   uint64 // order of scheduling, among equal times
	callback   func()
	next, prev int32  // neighbours in the slot's list, or the next free entry; counted from 1, 0 for none
	slot       int32  // the slot of the wheel, or one of the places below
	listIndex  int32  // index in heap or in deferred
	generation uint32 // how many timers the entry held before
}

// Places of an entry other than a slot of the wheel.
const (
	inNone     int32 = -1 // the entry is free
	inHeap     int32 = -2 // in the heap
	inCallback int32 = -3 // its callback is running, which may have cancelled it
	inDeferred int32 = -4 // scheduled while Advance runs, for a time that is due
)

// Wheel holds timers. Scheduling, rescheduling and cancelling cost the same however many timers
// there are, and rescheduling allocates nothing. Callbacks run in the order of their times and,
// among equal times, in the order in which they were scheduled.
//
// The zero Wheel is empty and ready for use. The time passed to Advance may stay the same or jump
// ahead. If it goes back, timers that are due after it are not called.
type Wheel struct {
	entries   []entry
	firstFree int32 // counted from 1, 0 for none
	count     int
	sequence  uint64

	elapsed  int64          // the tick up to which slots have been emptied
	occupied [levels]uint64 // a bit for each slot that is not empty
	lists    [levels * slotsPerLevel]slotList
	draining int32 // the slot that is being emptied, counted from 1, 0 for none

	heap []int32 // entries whose tick is not after elapsed, a heap in the order of running

	advancing bool    // Advance is running
	now       float64 // the time it was called with
	deferred  []int32 // entries to place once it is over
}

// slotList is the doubly linked list of the entries of a slot: positions counted from 1, 0 for none.
type slotList struct{ first, last int32 }

// Len returns the number of timers.
func (w *Wheel) Len() int { return w.count }

// Schedule adds a timer whose callback is called by the first Advance at or after when.
func (w *Wheel) Schedule(when float64, callback func()) Timer {
	index := w.allocate()
	e := &w.entries[index]
	e.callback = callback
	w.count++
	w.insert(index, when)
	return Timer{position: index + 1, generation: e.generation}
}

// Reschedule changes the time of a timer, whose order among equal times is that of a new one. It
// reports whether there was such a timer. A callback may reschedule its own timer, which keeps its
// identity.
func (w *Wheel) Reschedule(timer Timer, when float64) bool {
	index, ok := w.find(timer)
	if !ok {
		return false
	}
	w.remove(index)
	w.insert(index, when)
	return true
}

// Cancel removes a timer and reports whether there was such a timer.
func (w *Wheel) Cancel(timer Timer) bool {
	index, ok := w.find(timer)
	if !ok {
		return false
	}
	if w.entries[index].slot == inCallback { // its entry is freed once the callback is over
		w.entries[index].generation++
		return true
	}
	w.remove(index)
	w.release(index)
	return true
}

// Contains reports whether a timer is still scheduled or its callback is running.
func (w *Wheel) Contains(timer Timer) bool {
	_, ok := w.find(timer)
	return ok
}

// NextWakeup returns a time at which Advance should be called: that of the first timer, or an
// earlier one where that timer is far away or shares its slot with many. It is +Inf where there is
// no timer.
func (w *Wheel) NextWakeup() float64 {
	next := math.Inf(1)
	if len(w.heap) > 0 {
		next = w.entries[w.heap[0]].when
	}
	if w.draining > 0 {
		return min(next, seconds(w.elapsed))
	}
	if len(w.heap) > 0 {
		return next
	}
	first, ok := w.firstOccupied()
	switch {
	case !ok:
		return next
	case first.level > 0:
		return seconds(first.start)
	}
	return w.earliestOf(first)
}

// occupiedSlot is a slot with timers.
type occupiedSlot struct {
	level int32
	slot  int32 // index in lists
	start int64 // first tick of the slot
}

// firstOccupied finds the slot with the earliest timers. Every occupied slot of a level is ahead of
// elapsed, within one turn of that level, and before those of the levels above.
func (w *Wheel) firstOccupied() (first occupiedSlot, ok bool) {
	for level := range int32(levels) {
		occupied := w.occupied[level]
		if occupied == 0 {
			continue
		}
		shift := level * levelBits
		slotInLevel := int64(bits.TrailingZeros64(occupied))
		turn := w.elapsed >> (shift + levelBits) << (shift + levelBits)
		return occupiedSlot{
			level: level,
			slot:  level*slotsPerLevel + int32(slotInLevel),
			start: turn | slotInLevel<<shift,
		}, true
	}
	return occupiedSlot{}, false
}

// earliestOf returns the earliest time in a slot, or the slot's start where looking at all its
// timers would take long.
func (w *Wheel) earliestOf(slot occupiedSlot) float64 {
	earliest := math.Inf(1)
	position := w.lists[slot.slot].first
	for examined := 0; position > 0; examined++ {
		if examined == maxExamined {
			return seconds(slot.start)
		}
		e := &w.entries[position-1]
		earliest = min(earliest, e.when)
		position = e.next
	}
	return earliest
}

// find returns the index of a timer's entry, and whether the entry still holds that timer.
func (w *Wheel) find(timer Timer) (index int32, ok bool) {
	index = timer.position - 1
	if index < 0 || int(index) >= len(w.entries) {
		return 0, false
	}
	e := &w.entries[index]
	if e.generation != timer.generation || e.slot == inNone {
		return 0, false
	}
	return index, true
}

// maxTick is the tick of every time that is later, also of +Inf.
const maxTick = 1 << 62

// tick converts a time in seconds to ticks.
func tick(when float64) int64 {
	if x := when * ticksPerSecond; x < maxTick {
		return int64(max(x, 0))
	}
	return maxTick
}

// seconds converts ticks to a time in seconds.
func seconds(tick int64) float64 { return float64(tick) / ticksPerSecond }
