// Package bufferpool provides a pool of byte buffers of equal capacity.
//
// A Pool has no lock and is used by one goroutine only, the event loop. The owner of a buffer
// returns it to the pool once, with Put or WriteBuffer.Release, and must not use it afterwards.
package bufferpool

// Size is the capacity of every buffer, in bytes. It is enough for a line with a result of 4 KiB in
// base64.
const Size = 8 << 10

// maxFree is the maximum number of free buffers in a pool, which take 2 MiB: about as much as a
// burst of 200 requests needs.
const maxFree = 256

// Pool is a pool of buffers. The zero Pool is empty and ready for use.
type Pool struct {
	// InUse is the number of buffers taken from the pool and not yet returned.
	InUse int

	free      [][]byte
	freeLists [][][]byte // emptied buffer lists of released WriteBuffers, for reuse
}

// Get takes an empty buffer from the pool, or allocates one.
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

// Put returns a buffer to the pool. It ignores a slice whose capacity is not Size, such as nil.
func (p *Pool) Put(b []byte) {
	if cap(b) != Size {
		return
	}
	p.InUse--
	if len(p.free) < maxFree {
		p.free = append(p.free, b[:0])
	}
}
