package memory

import "math/bits"

// chunk is how many entries of a table are allocated together: few enough that a small server holds no more than it
// uses, many enough that the collector has a hundredth of the objects to look at.
const chunk = 64

// Handle names an entry of a table, and never another one later. The zero Name names none.
type Handle uint64

// Slot is the entry's place in the table, from 0 up; a later entry may have the same.
func (n Handle) Slot() int32 { return int32(uint32(n)) }

// Table holds entries that stay where they are in memory, so that pointers to them hold. Adding, finding and dropping cost the
// same however many there are. The lowest free place is used first and chunks without an entry are let go, so a
// crowd that left takes no memory. The zero Table is empty.
type Table[T any] struct {
	chunks []*places[T]
	spare  *places[T]  // one chunk without an entry, against making and dropping one at every turn
	room   [3][]uint64 // a bit for each chunk with a free place; for each word of those that is not 0; for each of these
	turn   uint32      // of the latest entry
	n      int
}

type places[T any] struct {
	taken uint64 // a bit for each
	turns [chunk]uint32
	of    [chunk]T
}

// Len counts the entries.
func (t *Table[T]) Len() int { return t.n }

// Add makes an entry of the zero T.
func (t *Table[T]) Add() (Handle, *T) {
	at := t.lowest()
	if at == len(t.chunks) {
		t.chunks = append(t.chunks, nil)
	}
	p := t.chunks[at]
	if p == nil {
		if p = t.spare; p == nil {
			p = &places[T]{}
		}
		t.spare, t.chunks[at] = nil, p
		t.setRoom(at, true)
	}
	in := bits.TrailingZeros64(^p.taken)
	if p.taken |= 1 << in; p.taken == 1<<chunk-1 {
		t.setRoom(at, false)
	}
	t.turn++
	p.turns[in] = t.turn
	t.n++
	return Handle(uint64(t.turn)<<32 | uint64(at*chunk+in)), &p.of[in]
}

// lowest is the first chunk with a free place; a chunk that is not there has all of them.
func (t *Table[T]) lowest() int {
	at := 0
	for level := len(t.room) - 1; level >= 0; level-- {
		words := t.room[level]
		for level == len(t.room)-1 && at < len(words) && words[at] == 0 { // 64^3 chunks a word
			at++
		}
		if at >= len(words) || words[at] == 0 {
			return len(t.chunks)
		}
		at = at*64 + bits.TrailingZeros64(words[at])
	}
	return at
}

func (t *Table[T]) setRoom(at int, has bool) {
	for level := range t.room {
		word := at / 64
		for len(t.room[level]) <= word {
			t.room[level] = append(t.room[level], 0)
		}
		w := &t.room[level][word]
		if has {
			*w |= 1 << (at % 64)
		} else {
			*w &^= 1 << (at % 64)
		}
		at, has = word, *w != 0
	}
}

// Get finds an entry, or gives nil.
func (t *Table[T]) Get(name Handle) *T {
	p, in := t.place(name)
	if p == nil || p.turns[in] != uint32(name>>32) {
		return nil
	}
	return &p.of[in]
}

// AtSlot gives the entry at a slot, or nil.
func (t *Table[T]) AtSlot(slot int32) *T {
	if p, in := t.place(Handle(slot)); p != nil {
		return &p.of[in]
	}
	return nil
}

func (t *Table[T]) place(name Handle) (*places[T], int) {
	at, in := int(name.Slot())/chunk, int(name.Slot())%chunk
	if at >= len(t.chunks) || t.chunks[at] == nil || t.chunks[at].taken>>in&1 == 0 {
		return nil, 0
	}
	return t.chunks[at], in
}

// Remove takes an entry out, where it is there. Its memory must not be used any more.
func (t *Table[T]) Remove(name Handle) {
	if t.Get(name) == nil {
		return
	}
	p, in := t.place(name)
	at := int(name.Slot()) / chunk
	var empty T
	p.taken &^= 1 << in
	p.of[in], p.turns[in] = empty, 0
	t.n--
	t.setRoom(at, true)
	if p.taken == 0 {
		t.spare, t.chunks[at] = p, nil
	}
	for n := len(t.chunks); n > 0 && t.chunks[n-1] == nil; n-- {
		t.setRoom(n-1, false) // until it is there again
		t.chunks = t.chunks[:n-1]
	}
}

// ForEach calls f on every entry, in the order of their slots; f may drop it.
func (t *Table[T]) ForEach(f func(Handle, *T)) {
	for at := 0; at < len(t.chunks); at++ {
		for in := 0; at < len(t.chunks) && t.chunks[at] != nil && in < chunk; in++ {
			if p := t.chunks[at]; p.taken>>in&1 == 1 {
				f(Handle(uint64(p.turns[in])<<32|uint64(at*chunk+in)), &p.of[in])
			}
		}
	}
}
