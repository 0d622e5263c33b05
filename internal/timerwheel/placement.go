package timerwheel

import "math/bits"

// allocate returns the index of a free entry, and adds one if there is none.
func (w *Wheel) allocate() int32 {
	index := w.firstFree - 1
	if index >= 0 {
		w.firstFree = w.entries[index].next
		return index
	}
	w.entries = append(w.entries, entry{})
	return int32(len(w.entries) - 1)
}

// release frees an entry and invalidates its Timer. When the last timer is released, it also frees
// the memory if there are more than maxSpareEntries entries.
func (w *Wheel) release(index int32) {
	e := &w.entries[index]
	*e = entry{slot: inFreeList, next: w.firstFree, generation: e.generation + 1}
	w.firstFree = index + 1
	w.count--
	if w.count == 0 && len(w.entries) > maxSpareEntries {
		w.entries = nil
		w.heap = nil
		w.deferred = nil
		w.firstFree = 0
	}
}

// insert sets the time of an entry and places it in the wheel or the heap. While Advance runs, an
// entry that is already due is placed only at the end of Advance: otherwise callbacks that schedule
// due timers could keep Advance running forever.
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

// place puts an entry into the heap if its tick is at or before elapsed. Otherwise it puts the entry
// into the wheel, on the level of the highest bit in which its tick differs from elapsed.
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

// remove removes an entry from its slot, the heap or the deferred entries.
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

// unlink removes an entry from the list of its slot.
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
