// Package memory holds all that the server keeps: buffers, tasks and timers. The loop alone uses it.
package memory

// Size is that of every buffer: a result of 4 KiB in base64 with its line around it, and a body with room.
const Size = 8 << 10

// Pool gives buffers and takes them back.
type Pool struct {
	free  [][]byte
	lists [][][]byte // of the buffers of one Out, empty
	InUse int        // buffers given and not back yet
}

// maxFree bounds the buffers kept for use again: 2 MiB, about what a burst of 200 tasks takes.
const maxFree = 256

// Get gives an empty buffer.
func (p *Pool) Get() []byte {
	p.InUse++
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		return b
	}
	return make([]byte, 0, Size)
}

// Put takes a buffer back; nil and what came from elsewhere are let go.
func (p *Pool) Put(b []byte) {
	if cap(b) != Size {
		return
	}
	p.InUse--
	if len(p.free) < maxFree {
		p.free = append(p.free, b[:0])
	}
}

// Copy gives a copy of b, in a buffer where it fits into one.
func (p *Pool) Copy(b []byte) []byte {
	if len(b) > Size {
		return append(make([]byte, 0, len(b)), b...)
	}
	return append(p.Get(), b...)
}

// WriteBuffer gathers what is to be written on one connection, in buffers of the pool.
type WriteBuffer struct{ parts [][]byte }

// Append puts b behind what is there.
func (o *WriteBuffer) Append(p *Pool, b []byte) {
	for len(b) > 0 {
		if n := len(p.lists); o.parts == nil && n > 0 {
			o.parts, p.lists = p.lists[n-1], p.lists[:n-1]
		}
		last := len(o.parts) - 1
		if last < 0 || len(o.parts[last]) == Size {
			o.parts, last = append(o.parts, p.Get()), last+1
		}
		n := min(len(b), Size-len(o.parts[last]))
		o.parts[last], b = append(o.parts[last], b[:n]...), b[n:]
	}
}

// Buffers is all that was added, in order.
func (o *WriteBuffer) Buffers() [][]byte { return o.parts }

// Release gives the buffers back, and the list of them, so that nothing is kept for what has nothing to write.
func (o *WriteBuffer) Release(p *Pool) {
	for i, b := range o.parts {
		p.Put(b)
		o.parts[i] = nil
	}
	if cap(o.parts) > 0 && cap(o.parts) <= maxParts && len(p.lists) < maxFree {
		p.lists = append(p.lists, o.parts[:0])
	}
	o.parts = nil
}

// maxParts bounds the lists kept for use again: what a burst made longer is let go.
const maxParts = 32

// ListPool gives short lists of tasks and takes them back. The zero Shelf is empty.
type ListPool struct{ free [][]*Request }

// Get gives an empty list.
func (s *ListPool) Get() []*Request {
	if n := len(s.free); n > 0 {
		l := s.free[n-1]
		s.free = s.free[:n-1]
		return l
	}
	return make([]*Request, 0, 4)
}

// Put takes a list back; nil is let go, and so is one that a burst made long.
func (s *ListPool) Put(l []*Request) {
	if l != nil && cap(l) <= 32 && len(s.free) < maxFree {
		clear(l)
		s.free = append(s.free, l[:0])
	}
}
