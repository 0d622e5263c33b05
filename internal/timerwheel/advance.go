package timerwheel

// movesPerCallback is how many timers Advance may move to a lower level for each callback of its
// limit. A move takes some 20 ns and a callback a microsecond or more. It bounds a call that empties
// a slot of a high level, which may hold the timers of several hours.
const movesPerCallback = 32

// Advance calls the callbacks that are due at now, at most limit of them, and reports whether it
// called all; the rest are the first of the next call. A timer that a callback schedules or
// reschedules waits for the next call even if it is due.
func (w *Wheel) Advance(now float64, limit int) (complete bool) {
	w.advancing = true
	w.now = now
	complete = w.runDue(now, limit)
	w.advancing = false
	for _, index := range w.deferred {
		w.place(index)
	}
	w.deferred = w.deferred[:0]
	return complete
}

// runDue calls the callbacks that are due and reports whether it called all within the limits on
// callbacks and moves. It empties the slots up to now one by one, and after each calls the timers
// that are due.
func (w *Wheel) runDue(now float64, limit int) (complete bool) {
	until := tick(now)
	moves := limit * movesPerCallback
	for {
		if w.draining == 0 && !w.hasDue(now) && !w.advanceToNextSlot(until) {
			return true // no slot and no timer is left
		}
		for w.draining > 0 {
			if moves == 0 {
				return false
			}
			moves--
			w.drainOne()
		}
		for w.hasDue(now) {
			if limit == 0 {
				return false
			}
			limit--
			w.fire(w.heap[0])
		}
	}
}

// hasDue reports whether the first timer of the heap is due.
func (w *Wheel) hasDue(now float64) bool {
	return len(w.heap) > 0 && w.entries[w.heap[0]].when <= now
}

// fire calls a timer's callback, and releases its entry unless the callback rescheduled the timer.
func (w *Wheel) fire(index int32) {
	w.remove(index)
	e := &w.entries[index]
	e.slot = inCallback
	e.callback()
	e = &w.entries[index] // the callback may have moved the entries
	if e.slot == inCallback {
		w.release(index)
	}
}

// advanceToNextSlot moves elapsed to the start of the next slot with timers, if that is not after
// until, and marks the slot to be emptied. It reports whether there was such a slot.
func (w *Wheel) advanceToNextSlot(until int64) bool {
	first, ok := w.firstOccupied()
	if !ok || first.start > until {
		w.elapsed = max(w.elapsed, until)
		return false
	}
	w.elapsed = first.start
	w.draining = first.slot + 1
	return true
}

// drainOne moves one timer from the slot that is being emptied to a lower level or to the heap.
func (w *Wheel) drainOne() {
	slot := w.draining - 1
	if index := w.lists[slot].first - 1; index >= 0 {
		w.remove(index)
		w.place(index)
	}
	if w.lists[slot].first == 0 {
		w.draining = 0
	}
}
