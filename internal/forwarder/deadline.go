package forwarder

// deadlineHeap orders pending requests by deadline, for container/heap.
type deadlineHeap []*pendingRequest

// Len returns the number of requests.
func (h deadlineHeap) Len() int { return len(h) }

// Less reports whether request i has an earlier deadline than request j.
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }

// Swap exchanges two requests.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push appends a request.
func (h *deadlineHeap) Push(x any) {
	p := x.(*pendingRequest)
	p.heapIndex = len(*h)
	*h = append(*h, p)
}

// Pop removes and returns the last request.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	p := (*h)[last]
	*h = (*h)[:last]
	return p
}
