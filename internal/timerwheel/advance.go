package timerwheel

// movesPerCallback is how many timers Advance may move down a level, at some 20 ns each, for one
// callback, which takes a microsecond and more. It bounds a call in which a slot of a high level,
// with all that is due in the next hours, is emptied.
const movesPerCallback = 32

// Advance calls the callbacks that are due at now, at most limit of them, and reports whether all
// were called; the rest go first at the next call. What a callback schedules or reschedules waits
// for the next call, also if it is due.
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

// runDue moves due timers into the heap and calls them, within the bounds of one Advance.
func (w *Wheel) runDue(now float64, limit int) (complete bool) {
	until := tick(now)
	moves := limit * movesPerCallback
	for {
		if w.draining == 0 && !w.hasDue(now) && !w.step(until) {
			return true
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
			w.fire(w.imminent[0])
		}
	}
}

// hasDue reports whether the first timer of the heap is due.
func (w *Wheel) hasDue(now float64) bool {
	return len(w.imminent) > 0 && w.entries[w.imminent[0]].when <= now
}

// fire calls a timer's callback and frees its entry, unless the callback rescheduled it.
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

// step moves elapsed to the next slot that starts by until and begins to empty it. It reports
// whether there was one.
func (w *Wheel) step(until int64) bool {
	first, ok := w.firstOccupied()
	if !ok || first.start > until {
		w.elapsed = max(w.elapsed, until)
		return false
	}
	w.elapsed = first.start
	w.draining = first.slot + 1
	return true
}

// drainOne takes one timer out of the slot that is being emptied, to a lower level or to the heap.
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
