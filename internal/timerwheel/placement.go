package timerwheel

import "math/bits"

// allocate returns the index of an entry that no timer uses.
func (w *Wheel) allocate() int32 {
	index := w.firstFree - 1
	if index >= 0 {
		w.firstFree = w.entries[index].next
		return index
	}
	w.entries = append(w.entries, entry{})
	return int32(len(w.entries) - 1)
}

// release frees an entry. Its timer's identity is not valid any more.
func (w *Wheel) release(index int32) {
	e := &w.entries[index]
	*e = entry{slot: inNone, next: w.firstFree, generation: e.generation + 1}
	w.firstFree = index + 1
	w.count--
	if w.count == 0 && len(w.entries) > maxSpareEntries {
		w.entries = nil
		w.imminent = nil
		w.deferred = nil
		w.firstFree = 0
	}
}

// insert gives an entry a time and a place. One that is due while callbacks run waits until they
// are over, so that no callback can keep Advance from ending.
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

// place puts an entry into the heap if its tick has come, and otherwise into the wheel, on the
// level of the highest bit in which its tick differs from elapsed.
func (w *Wheel) place(index int32) {
	e := &w.entries[index]
	at := tick(e.when)
	if at <= w.elapsed {
		e.slot = inImminent
		w.push(index)
		return
	}
	level := int32(bits.Len64(uint64(at^w.elapsed))-1) / levelBits
	within := at >> (level * levelBits) & (slotsPerLevel - 1)
	e.slot = level*slotsPerLevel + int32(within)
	w.occupied[level] |= 1 << within
	w.link(index)
}

// remove takes an entry out of where it is.
func (w *Wheel) remove(index int32) {
	e := &w.entries[index]
	switch e.slot {
	case inCallback:
	case inDeferred:
		last := w.deferred[len(w.deferred)-1]
		w.deferred[e.listIndex] = last
		w.entries[last].listIndex = e.listIndex
		w.deferred = w.deferred[:len(w.deferred)-1]
	case inImminent:
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
