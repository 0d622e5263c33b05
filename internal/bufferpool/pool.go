// Package bufferpool keeps byte buffers of one size for use again.
//
// A Pool belongs to one goroutine, the event loop: there is no lock. Whoever has a buffer from it
// gives it back once, by Put or by WriteBuffer.Release, and does not touch it afterwards.
package bufferpool

// Size is the capacity of every buffer, in bytes: a result of 4 KiB in base64 with its line around
// it, and a body with room to spare.
const Size = 8 << 10

// maxFree bounds the buffers kept for use again: 2 MiB, about what a burst of 200 requests takes.
const maxFree = 256

// Pool hands out buffers and takes them back. The zero Pool is empty and ready for use.
type Pool struct {
	// InUse is the number of buffers handed out and not back yet.
	InUse int

	free  [][]byte
	lists [][][]byte // empty lists of buffers, of released WriteBuffers
}

// Get returns an empty buffer.
func (p *Pool) Get() []byte {
	p.InUse++
	n := len(p.free)
	if n == 0 {
		return make([]byte, 0, Size)
	}
	b := p.free[n-1]
	p.free = p.free[:n-1]
	return b
}

// Put takes a buffer back. A nil slice and one that is not from a pool are ignored.
func (p *Pool) Put(b []byte) {
	if cap(b) != Size {
		return
	}
	p.InUse--
	if len(p.free) < maxFree {
		p.free = append(p.free, b[:0])
	}
}

// Copy returns a copy of b, in a buffer of the pool if it fits into one.
func (p *Pool) Copy(b []byte) []byte {
	if len(b) > Size {
		return append(make([]byte, 0, len(b)), b...)
	}
	return append(p.Get(), b...)
}
