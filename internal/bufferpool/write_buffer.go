package bufferpool

// maxPooledListCapacity is the maximum capacity of a buffer list that is kept for reuse. A list
// that grew beyond it in a burst is left to the garbage collector.
const maxPooledListCapacity = 32

// WriteBuffer collects the bytes to be written to a connection, in buffers of a pool. The zero
// WriteBuffer is empty and ready for use.
type WriteBuffer struct{ buffers [][]byte }

// Append appends a copy of b.
func (w *WriteBuffer) Append(p *Pool, b []byte) {
	for len(b) > 0 {
		last := w.bufferWithSpace(p)
		n := min(len(b), Size-len(*last))
		*last = append(*last, b[:n]...)
		b = b[n:]
	}
}

// bufferWithSpace returns the last buffer, and adds one first if there is none or the last is full.
func (w *WriteBuffer) bufferWithSpace(p *Pool) *[]byte {
	if n := len(p.freeLists); w.buffers == nil && n > 0 {
		w.buffers = p.freeLists[n-1]
		p.freeLists = p.freeLists[:n-1]
	}
	if n := len(w.buffers); n == 0 || len(w.buffers[n-1]) == Size {
		w.buffers = append(w.buffers, p.Get())
	}
	return &w.buffers[len(w.buffers)-1]
}

// Buffers returns the buffers with all appended bytes, in order. They are valid until the next call
// of a method.
func (w *WriteBuffer) Buffers() [][]byte { return w.buffers }

// Release returns the buffers and their list to the pool, so that a connection without pending
// output holds no memory.
func (w *WriteBuffer) Release(p *Pool) {
	for i, b := range w.buffers {
		p.Put(b)
		w.buffers[i] = nil
	}
	if cap(w.buffers) > 0 && cap(w.buffers) <= maxPooledListCapacity && len(p.freeLists) < maxFree {
		p.freeLists = append(p.freeLists, w.buffers[:0])
	}
	w.buffers = nil
}
