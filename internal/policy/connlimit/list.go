package connlimit

// links are the neighbours of an element in a doubly linked list whose elements are stored in a
// slice. An element's number is its index plus 1, so 0 means none and the zero value is unlinked.
type links struct {
	prev int32
	next int32
}

// linkedList is the head of a doubly linked list. The owner of the elements passes their links to the
// methods, and nil for a neighbour that does not exist.
type linkedList struct {
	first int32 // number of the first element, 0 if the list is empty
	last  int32 // number of the last element, 0 if the list is empty
	count int32
}

// pushBack appends the element with a number, given its own links and those of the last element.
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

// remove removes the element whose links are own, given the links of its neighbours.
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
