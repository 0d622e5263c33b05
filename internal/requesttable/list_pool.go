package requesttable

const (
	// newListCapacity is the capacity of a new list. Few connections have more open requests at a
	// time.
	newListCapacity = 4
	// maxPooledCapacity is the maximum capacity of a list in the pool. A list that grew beyond it
	// in a burst is left to the garbage collector.
	maxPooledCapacity = 32
	// maxFreeLists is the maximum number of lists in a pool.
	maxFreeLists = 256
)

// ListPool is a pool of short lists of requests. The zero ListPool is empty and ready for use.
type ListPool struct{ free [][]*Request }

// Get takes an empty list from the pool, or allocates one.
func (p *ListPool) Get() []*Request {
	n := len(p.free)
	if n == 0 {
		return make([]*Request, 0, newListCapacity)
	}
	list := p.free[n-1]
	p.free = p.free[:n-1]
	return list
}

// Put returns a list to the pool. It ignores a nil list, a list whose capacity exceeds
// maxPooledCapacity and, if the pool is full, any list.
func (p *ListPool) Put(list []*Request) {
	if list == nil || cap(list) > maxPooledCapacity || len(p.free) >= maxFreeLists {
		return
	}
	clear(list)
	p.free = append(p.free, list[:0])
}
