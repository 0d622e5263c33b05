package requesttable

const (
	// newListCapacity is the capacity of a new list: few connections have more requests open at a
	// time.
	newListCapacity = 4
	// maxPooledCapacity is the greatest capacity of a list in the pool: one that a burst made longer
	// is left to the garbage collector.
	maxPooledCapacity = 32
	// maxFreeLists is how many lists a pool holds at most.
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

// Put returns a list to the pool. A nil list is ignored.
func (p *ListPool) Put(list []*Request) {
	if list == nil || cap(list) > maxPooledCapacity || len(p.free) >= maxFreeLists {
		return
	}
	clear(list)
	p.free = append(p.free, list[:0])
}
