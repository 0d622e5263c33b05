package requesttable

const (
	// newListCapacity is the room of a new list: few connections have more requests open at a time.
	newListCapacity = 4
	// maxPooledCapacity bounds the lists kept for use again: one that a burst made longer is left
	// to the collector.
	maxPooledCapacity = 32
	// maxFreeLists bounds how many of them are kept.
	maxFreeLists = 256
)

// ListPool hands out short lists of requests and takes them back. The zero ListPool is empty and
// ready for use.
type ListPool struct{ free [][]*Request }

// Get returns an empty list.
func (p *ListPool) Get() []*Request {
	n := len(p.free)
	if n == 0 {
		return make([]*Request, 0, newListCapacity)
	}
	list := p.free[n-1]
	p.free = p.free[:n-1]
	return list
}

// Put takes a list back. A nil list is ignored.
func (p *ListPool) Put(list []*Request) {
	if list == nil || cap(list) > maxPooledCapacity || len(p.free) >= maxFreeLists {
		return
	}
	clear(list)
	p.free = append(p.free, list[:0])
}
