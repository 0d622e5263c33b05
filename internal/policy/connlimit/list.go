package connlimit

// links are the neighbours of an element in a doubly linked list whose elements are in a slice.
// They are indices plus 1, so that 0 means none and the zero value is an unlinked element.
type links struct {
	prev int32
	next int32
}

// linkedList is the head of such a list. The owner of the slice passes the links of the elements,
// nil for a neighbour that does not exist.
type linkedList struct {
	first int32 // counted from 1
	last  int32
	count int32
}

// pushBack appends the element with a number, given its own links and those of the list's last one.
func (l *linkedList) pushBack(number int32, own, last *links) {
	own.prev = l.last
	own.next = 0
	if last != nil {
		last.next = number
	} else {
		l.first = number
	}
	l.last = number
	l.count++
}

// remove takes out the element with the links own, given those of its neighbours.
func (l *linkedList) remove(own links, prev, next *links) {
	if prev != nil {
		prev.next = own.next
	} else {
		l.first = own.next
	}
	if next != nil {
		next.prev = own.prev
	} else {
		l.last = own.prev
	}
	l.count--
}
