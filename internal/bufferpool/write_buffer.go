package bufferpool

// maxPooledList bounds the lists of buffers kept for use again: one that a burst made longer is
// left to the collector.
const maxPooledList = 32

// WriteBuffer gathers what is to be written to one connection, in buffers of a pool. The zero
// WriteBuffer is empty and ready for use.
type WriteBuffer struct{ buffers [][]byte }

// Append copies b behind what is there.
func (w *WriteBuffer) Append(p *Pool, b []byte) {
	for len(b) > 0 {
		last := w.roomyBuffer(p)
		n := min(len(b), Size-len(*last))
		*last = append(*last, b[:n]...)
		b = b[n:]
	}
}

// roomyBuffer returns the last buffer, after adding one where the last is full.
func (w *WriteBuffer) roomyBuffer(p *Pool) *[]byte {
	if n := len(p.lists); w.buffers == nil && n > 0 {
		w.buffers = p.lists[n-1]
		p.lists = p.lists[:n-1]
	}
	if n := len(w.buffers); n == 0 || len(w.buffers[n-1]) == Size {
		w.buffers = append(w.buffers, p.Get())
	}
	return &w.buffers[len(w.buffers)-1]
}

// Buffers returns all that was appended, in order. It is valid until the next call of a method.
func (w *WriteBuffer) Buffers() [][]byte { return w.buffers }

// Release gives the buffers back to the pool they came from, and the list of them, so that a
// connection with nothing to write holds no memory.
func (w *WriteBuffer) Release(p *Pool) {
	for i, b := range w.buffers {
		p.Put(b)
		w.buffers[i] = nil
	}
	if cap(w.buffers) > 0 && cap(w.buffers) <= maxPooledList && len(p.lists) < maxFree {
		p.lists = append(p.lists, w.buffers[:0])
	}
	w.buffers = nil
}
