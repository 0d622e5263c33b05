package timerwheel

// movesPerCallback is how many timers Advance may move to a lower level for each callback that its
// limit allows. It bounds the duration of a call that empties a slot of a high level, which may hold
// the timers of several hours. A move takes about 20 ns, a callback 1 µs or more.
const movesPerCallback = 32

// Advance calls the callbacks of the timers that are due at now, at most limit of them. It reports
// whether it called all of them; the next call begins with the remaining ones. A timer that a
// callback schedules or reschedules is called by the next Advance at the earliest, even if it is
// already due.
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

// runDue calls the callbacks that are due and reports whether it called all of them within the
// limits on callbacks and moves. It empties the slots up to now in order, and calls the due timers
// of each slot before it empties the next one.
func (w *Wheel) runDue(now float64, limit int) (complete bool) {
	until := tick(now)
	moves := limit * movesPerCallback
	for {
		if w.draining == 0 && !w.hasDue(now) && !w.advanceToNextSlot(until) {
			return true // no slot up to now and no due timer is left
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

// hasDue reports whether the earliest timer of the heap is due at now.
func (w *Wheel) hasDue(now float64) bool {
	return len(w.heap) > 0 && w.entries[w.heap[0]].when <= now
}

// fire calls a timer's callback and then releases its entry, unless the callback rescheduled the
// timer.
func (w *Wheel) fire(index int32) {
	w.remove(index)
	e := &w.entries[index]
	e.slot = inCallback
	e.callback()
	e = &w.entries[index] // the callback may have reallocated the entries
	if e.slot == inCallback {
		w.release(index)
	}
}

// advanceToNextSlot looks for the next slot with timers that starts at the tick until or earlier, and
// reports whether there is one. If so, it sets elapsed to that start and marks the slot to be
// emptied; otherwise it advances elapsed to until.
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
