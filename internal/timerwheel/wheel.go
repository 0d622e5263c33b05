// Package timerwheel schedules callbacks, each for a given time.
//
// A Wheel is a hierarchical timing wheel (Varghese and Lauck, "Hashed and Hierarchical Timing
// Wheels", 1987). It starts no goroutine and reads no clock: the goroutine that owns it, such as an
// event loop, calls Advance with the current time. All times are in seconds, 0 or more, on a clock
// that the owner chooses.
//
// This file has the operations on timers. advance.go calls the callbacks that are due, placement.go
// puts timers into slots, and heap.go sorts the timers that are due next.
package timerwheel

import (
	"math"
	"math/bits"
)

// The geometry of the wheel. A level has one slot for each value of six bits of the time in ticks,
// so a 64-bit word marks its occupied slots and one instruction finds the first. Eleven levels
// cover all 63 bits of a tick, so no overflow list is needed.
const (
	levelBits     = 6
	slotsPerLevel = 1 << levelBits
	levels        = 11
	// ticksPerSecond makes the slots of the lowest level about 1 ms wide, the precision with which
	// the Go runtime wakes an event loop. The heap sorts the timers of such a slot once the slot is
	// next.
	ticksPerSecond = 1024
	// maxExamined is the maximum number of timers of a slot that NextWakeup examines to find the
	// earliest.
	maxExamined = 64
	// maxSpareEntries is the maximum number of entries that are kept for later timers once there
	// are no timers.
	maxSpareEntries = 4096
)

// Timer identifies a scheduled timer. It does not identify a later timer that reuses the same entry.
// The zero Timer identifies no timer.
type Timer struct {
	position   int32 // index of the timer's entry, counted from 1
	generation uint32
}

// entry holds one timer. Once released, it is used for a later timer.
type entry struct {
	when       float64
	sequence   uint64 // increases in the order of scheduling; orders timers with equal times
	callback   func()
	next, prev int32  // neighbours in the slot's list, or next free entry; counted from 1, 0 for none
	slot       int32  // index in lists, or one of the negative values below
	listIndex  int32  // index in heap or in deferred
	generation uint32 // number of timers that the entry held before
}

// The values of entry.slot for an entry that is in no slot of the wheel.
const (
	inFreeList int32 = -1 // the entry is free
	inHeap     int32 = -2 // in the heap
	inCallback int32 = -3 // its callback is running, and may have cancelled the timer
	inDeferred int32 = -4 // scheduled while Advance runs, for a time that is already due
)

// Wheel holds timers. The cost of scheduling, rescheduling and cancelling does not depend on the
// number of timers, and rescheduling allocates nothing. Callbacks are called in the order of their
// times, and for equal times in the order of scheduling.
//
// The zero Wheel is empty and ready for use. The time passed to Advance may stay the same or jump
// ahead. If it goes back, only timers that are due at that earlier time are called.
type Wheel struct {
	entries   []entry
	firstFree int32 // index of the first free entry, counted from 1, 0 for none
	count     int
	sequence  uint64

	elapsed  int64          // the tick up to which slots have been emptied
	occupied [levels]uint64 // per level, a bit for each slot, set unless the slot is empty
	lists    [levels * slotsPerLevel]slotList
	draining int32 // index in lists of the slot that is being emptied, counted from 1, 0 for none

	heap []int32 // indices of the entries with ticks up to elapsed, in heap order

	advancing bool    // Advance is running
	now       float64 // the time passed to Advance
	deferred  []int32 // indices of the entries to place when Advance ends
}

// slotList is the doubly linked list of the entries of a slot: indices counted from 1, 0 for none.
type slotList struct{ first, last int32 }

// Len returns the number of timers.
func (w *Wheel) Len() int { return w.count }

// Schedule adds a timer whose callback is called by the first Advance with a time at or after when.
func (w *Wheel) Schedule(when float64, callback func()) Timer {
	index := w.allocate()
	e := &w.entries[index]
	e.callback = callback
	w.count++
	w.insert(index, when)
	return Timer{position: index + 1, generation: e.generation}
}

// Reschedule changes the time of a timer and reports whether the timer exists. Among timers with
// equal times it becomes the last, like a new one. A callback may reschedule its own timer; the
// Timer stays valid.
func (w *Wheel) Reschedule(timer Timer, when float64) bool {
	index, ok := w.find(timer)
	if !ok {
		return false
	}
	w.remove(index)
	w.insert(index, when)
	return true
}

// Cancel removes a timer and reports whether it existed.
func (w *Wheel) Cancel(timer Timer) bool {
	index, ok := w.find(timer)
	if !ok {
		return false
	}
	if w.entries[index].slot == inCallback { // fire releases the entry when the callback returns
		w.entries[index].generation++
		return true
	}
	w.remove(index)
	w.release(index)
	return true
}

// Contains reports whether a timer is scheduled or its callback is running.
func (w *Wheel) Contains(timer Timer) bool {
	_, ok := w.find(timer)
	return ok
}

// NextWakeup returns the time at which Advance should be called next: the time of the earliest
// timer, or an earlier time if that timer is on a level above the lowest, its slot is being emptied,
// or its slot has more than maxExamined timers. It is +Inf if there are no timers.
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

// firstOccupied returns the slot with the earliest timers, if any slot is occupied. Every occupied
// slot of a level lies after elapsed, within the current revolution of that level, and before all
// occupied slots of the levels above.
func (w *Wheel) firstOccupied() (first occupiedSlot, ok bool) {
	for level := range int32(levels) {
		occupied := w.occupied[level]
		if occupied == 0 {
			continue
		}
		shift := level * levelBits
		slotInLevel := int64(bits.TrailingZeros64(occupied))
		revolution := w.elapsed >> (shift + levelBits) << (shift + levelBits) // its first tick
		return occupiedSlot{
			level: level,
			slot:  level*slotsPerLevel + int32(slotInLevel),
			start: revolution | slotInLevel<<shift,
		}, true
	}
	return occupiedSlot{}, false
}

// earliestOf returns the earliest time of the timers in a slot, or the slot's start if the slot has
// more than maxExamined timers.
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
	if e.generation != timer.generation || e.slot == inFreeList {
		return 0, false
	}
	return index, true
}

// maxTick is the largest tick. All later times, including +Inf, have this tick too.
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
