package timerwheel

import "math/bits"

// allocate returns the index of a free entry, after adding one if there is none.
func (w *Wheel) allocate() int32 {
	index := w.firstFree - 1
	if index >= 0 {
		w.firstFree = w.entries[index].next
		return index
	}
	w.entries = append(w.entries, entry{})
	return int32(len(w.entries) - 1)
}

// release frees an entry, so that its Timer identifies no timer any more. Once there are no timers it
// drops the memory of a peak.
func (w *Wheel) release(index int32) {
	e := &w.entries[index]
	*e = entry{slot: inNone, next: w.firstFree, generation: e.generation + 1}
	w.firstFree = index + 1
	w.count--
	if w.count == 0 && len(w.entries) > maxSpareEntries {
		w.entries = nil
		w.heap = nil
		w.deferred = nil
		w.firstFree = 0
	}
}

// insert sets the time of an entry and puts it in its place. An entry that is due while Advance runs
// is deferred to its end, so that callbacks that schedule due timers can't make Advance run forever.
func (w *Wheel) insert(index int32, when float64) {
	e := &w.entries[index]
	w.sequence++
	e.when = when
	e.sequence = w.sequence
	if w.advancing && when <= w.now {
		e.slot = inDeferred
		e.listIndex = int32(len(w.deferred))
		w.deferred = append(w.deferred, index)
		return
	}
	w.place(index)
}

// place puts an entry into the heap if its tick is not after elapsed, and otherwise into the wheel,
// on the level of the highest bit in which its tick differs from elapsed.
func (w *Wheel) place(index int32) {
	e := &w.entries[index]
	dueTick := tick(e.when)
	if dueTick <= w.elapsed {
		e.slot = inHeap
		w.push(index)
		return
	}
	level := int32(bits.Len64(uint64(dueTick^w.elapsed))-1) / levelBits
	slotInLevel := dueTick >> (level * levelBits) & (slotsPerLevel - 1)
	e.slot = level*slotsPerLevel + int32(slotInLevel)
	w.occupied[level] |= 1 << slotInLevel
	w.link(index)
}

// remove takes an entry out of its slot, the heap or the deferred entries.
func (w *Wheel) remove(index int32) {
	e := &w.entries[index]
	switch e.slot {
	case inCallback:
	case inDeferred:
		last := w.deferred[len(w.deferred)-1]
		w.deferred[e.listIndex] = last
		w.entries[last].listIndex = e.listIndex
		w.deferred = w.deferred[:len(w.deferred)-1]
	case inHeap:
		w.popAt(e.listIndex)
	default:
		w.unlink(index)
	}
}

// link appends an entry to the list of its slot.
func (w *Wheel) link(index int32) {
	e := &w.entries[index]
	list := &w.lists[e.slot]
	e.prev = list.last
	e.next = 0
	if list.last > 0 {
		w.entries[list.last-1].next = index + 1
	} else {
		list.first = index + 1
	}
	list.last = index + 1
}

// unlink takes an entry out of the list of its slot.
func (w *Wheel) unlink(index int32) {
	removed := &w.entries[index]
	list := &w.lists[removed.slot]
	if removed.prev > 0 {
		w.entries[removed.prev-1].next = removed.next
	} else {
		list.first = removed.next
	}
	if removed.next > 0 {
		w.entries[removed.next-1].prev = removed.prev
	} else {
		list.last = removed.prev
	}
	if list.first > 0 {
		return
	}
	w.occupied[removed.slot/slotsPerLevel] &^= 1 << (removed.slot % slotsPerLevel)
	if w.draining == removed.slot+1 {
		w.draining = 0
	}
}
