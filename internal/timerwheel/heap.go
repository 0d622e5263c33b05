package timerwheel

// heapArity is the number of children of a node of the heap: four make it half as deep as two and
// fit a cache line.
const heapArity = 4

// push adds an entry to the heap.
func (w *Wheel) push(index int32) {
	at := int32(len(w.imminent))
	w.entries[index].listIndex = at
	w.imminent = append(w.imminent, index)
	w.up(at)
}

// popAt takes the entry at a node out of the heap.
func (w *Wheel) popAt(at int32) {
	last := int32(len(w.imminent) - 1)
	w.swap(at, last)
	w.imminent = w.imminent[:last]
	if at < last {
		w.up(at)
		w.down(at)
	}
}

// less reports whether the entry at node i runs before the one at node j.
func (w *Wheel) less(i, j int32) bool {
	a := &w.entries[w.imminent[i]]
	b := &w.entries[w.imminent[j]]
	return a.when < b.when || a.when == b.when && a.sequence < b.sequence
}

func (w *Wheel) swap(i, j int32) {
	w.imminent[i], w.imminent[j] = w.imminent[j], w.imminent[i]
	w.entries[w.imminent[i]].listIndex = i
	w.entries[w.imminent[j]].listIndex = j
}

func (w *Wheel) up(at int32) {
	for at > 0 {
		parent := (at - 1) / heapArity
		if !w.less(at, parent) {
			return
		}
		w.swap(at, parent)
		at = parent
	}
}

func (w *Wheel) down(at int32) {
	for {
		least := at
		firstChild := heapArity*at + 1
		for child := firstChild; child < firstChild+heapArity && int(child) < len(w.imminent); child++ {
			if w.less(child, least) {
				least = child
			}
		}
		if least == at {
			return
		}
		w.swap(at, least)
		at = least
	}
}
