// Package slottable provides a table whose entries are found by generational handles.
//
// Entries stay where they are in memory, so pointers to them hold until they are removed, and an
// entry's slot is a small number that other structures can use as an index. A Table belongs to one
// goroutine.
package slottable

import "math/bits"

// chunkSize is how many entries are allocated together: few enough that a small server holds no
// more than it uses, many enough that the garbage collector has a hundredth of the objects to look
// at. It is the number of bits of a word.
const chunkSize = 64

// fullChunk is the occupied bits of a chunk without a free entry.
const fullChunk = 1<<chunkSize - 1

// Handle identifies an entry of a table, and never a later one. The zero Handle identifies none.
type Handle uint64

// newHandle packs a slot and the generation of its entry.
func newHandle(slot int, generation uint32) Handle {
	return Handle(uint64(generation)<<32 | uint64(slot))
}

// Slot returns the entry's place in the table, from 0 up; a later entry may have the same.
func (h Handle) Slot() int32 { return int32(uint32(h)) }

// generation returns the number of the entry among all that were ever added.
func (h Handle) generation() uint32 { return uint32(h >> 32) }

// Table holds entries of type T. Adding, finding and removing cost the same however many there are.
// The lowest free slot is used first and chunks without an entry are let go, so the table shrinks
// after a peak. The zero Table is empty and ready for use.
type Table[T any] struct {
	chunks []*chunk[T] // nil where no entry is
	spare  *chunk[T]   // one chunk without an entry, against allocating and dropping one over and over
	free   freeIndex
	latest uint32 // generation of the latest entry
	count  int
}

// chunk is the memory of chunkSize entries.
type chunk[T any] struct {
	occupied    uint64 // a bit for each
	generations [chunkSize]uint32
	entries     [chunkSize]T
}

// Len returns the number of entries.
func (t *Table[T]) Len() int { return t.count }

// Add makes an entry of the zero T and returns its handle and a pointer to it.
func (t *Table[T]) Add() (Handle, *T) {
	chunkIndex := t.free.lowest(len(t.chunks))
	if chunkIndex == len(t.chunks) {
		t.chunks = append(t.chunks, nil)
	}
	c := t.chunks[chunkIndex]
	if c == nil {
		c = t.allocate(chunkIndex)
	}
	within := bits.TrailingZeros64(^c.occupied)
	c.occupied |= 1 << within
	if c.occupied == fullChunk {
		t.free.set(chunkIndex, false)
	}
	t.latest++
	c.generations[within] = t.latest
	t.count++
	return newHandle(chunkIndex*chunkSize+within, t.latest), &c.entries[within]
}

// allocate gives a place in the list of chunks a chunk without an entry.
func (t *Table[T]) allocate(at int) *chunk[T] {
	c := t.spare
	if c == nil {
		c = &chunk[T]{}
	}
	t.spare = nil
	t.chunks[at] = c
	t.free.set(at, true)
	return c
}

// Get returns the entry of a handle, or nil where it was removed.
func (t *Table[T]) Get(handle Handle) *T {
	c, within := t.locate(handle.Slot())
	if c == nil || c.generations[within] != handle.generation() {
		return nil
	}
	return &c.entries[within]
}

// AtSlot returns the entry that has a slot now, or nil where none has.
func (t *Table[T]) AtSlot(slot int32) *T {
	c, within := t.locate(slot)
	if c == nil {
		return nil
	}
	return &c.entries[within]
}

// locate returns the chunk of an occupied slot and the index within it, or nil.
func (t *Table[T]) locate(slot int32) (c *chunk[T], within int) {
	at := int(slot) / chunkSize
	within = int(slot) % chunkSize
	if at >= len(t.chunks) || t.chunks[at] == nil || t.chunks[at].occupied>>within&1 == 0 {
		return nil, 0
	}
	return t.chunks[at], within
}

// Remove removes an entry, if it is there. Pointers to it must not be used any more.
func (t *Table[T]) Remove(handle Handle) {
	if t.Get(handle) == nil {
		return
	}
	c, within := t.locate(handle.Slot())
	at := int(handle.Slot()) / chunkSize
	var zero T
	c.occupied &^= 1 << within
	c.entries[within] = zero
	c.generations[within] = 0
	t.count--
	t.free.set(at, true)
	if c.occupied == 0 {
		t.spare = c
		t.chunks[at] = nil
	}
	t.trim()
}

// trim shortens the list of chunks by those at its end that are not there.
func (t *Table[T]) trim() {
	for n := len(t.chunks); n > 0 && t.chunks[n-1] == nil; n-- {
		t.free.set(n-1, false) // until it is in the list again
		t.chunks = t.chunks[:n-1]
	}
}

// ForEach calls visit for every entry, in the order of their slots. It may remove the entry that it
// is called for.
func (t *Table[T]) ForEach(visit func(Handle, *T)) {
	for at := 0; at < len(t.chunks); at++ {
		for within := 0; at < len(t.chunks) && t.chunks[at] != nil && within < chunkSize; within++ {
			c := t.chunks[at]
			if c.occupied>>within&1 == 1 {
				visit(newHandle(at*chunkSize+within, c.generations[within]), &c.entries[within])
			}
		}
	}
}
