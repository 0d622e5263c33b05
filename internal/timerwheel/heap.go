package timerwheel

// heapArity is the number of children of a heap node. Four children fit in one cache line, and the
// heap is half as deep as a binary one.
const heapArity = 4

// push adds the entry at an index of entries to the heap.
func (w *Wheel) push(index int32) {
	node := int32(len(w.heap))
	w.entries[index].listIndex = node
	w.heap = append(w.heap, index)
	w.siftUp(node)
}

// popAt removes the entry at a node from the heap.
func (w *Wheel) popAt(node int32) {
	last := int32(len(w.heap) - 1)
	w.swap(node, last)
	w.heap = w.heap[:last]
	if node < last {
		w.siftUp(node)
		w.siftDown(node)
	}
}

// less reports whether the timer at node i is called before the one at node j: by time, and among
// equal times in the order of scheduling.
func (w *Wheel) less(i, j int32) bool {
	a := &w.entries[w.heap[i]]
	b := &w.entries[w.heap[j]]
	return a.when < b.when || a.when == b.when && a.sequence < b.sequence
}

// swap exchanges the entries at two nodes.
func (w *Wheel) swap(i, j int32) {
	w.heap[i], w.heap[j] = w.heap[j], w.heap[i]
	w.entries[w.heap[i]].listIndex = i
	w.entries[w.heap[j]].listIndex = j
}

// siftUp moves the entry at a node up until its parent is less.
func (w *Wheel) siftUp(node int32) {
	for node > 0 {
		parent := (node - 1) / heapArity
		if !w.less(node, parent) {
			return
		}
		w.swap(node, parent)
		node = parent
	}
}

// siftDown moves the entry at a node down until no child is less.
func (w *Wheel) siftDown(node int32) {
	for {
		smallest := node
		firstChild := heapArity*node + 1
		for child := firstChild; child < firstChild+heapArity && int(child) < len(w.heap); child++ {
			if w.less(child, smallest) {
				smallest = child
			}
		}
		if smallest == node {
			return
		}
		w.swap(node, smallest)
		node = smallest
	}
}
