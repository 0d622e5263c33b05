// Package slottable provides a table whose entries are identified by generational handles.
//
// Entries do not move in memory, so a pointer to an entry is valid until the entry is removed. The
// slot of an entry is a small number that other data structures can use as an index. A Table is not
// safe for concurrent use.
package slottable

import "math/bits"

// chunkSize is the number of entries allocated together. A small table wastes little memory, and the
// garbage collector scans far fewer objects than with one allocation per entry. It has to be the
// number of bits of chunk.occupied.
const chunkSize = 64

// fullChunk is the value of chunk.occupied for a chunk without a free entry.
const fullChunk = 1<<chunkSize - 1

// Handle identifies an entry of a table. After the entry is removed, its handle identifies no entry,
// even if its slot is used again. The zero Handle identifies no entry.
type Handle uint64

// newHandle packs a slot and the generation of its entry into a handle.
func newHandle(slot int, generation uint32) Handle {
	return Handle(uint64(generation)<<32 | uint64(slot))
}

// Slot returns the entry's index in the table, 0 or more. Once the entry is removed, a later entry
// may have the same slot.
func (h Handle) Slot() int32 { return int32(uint32(h)) }

// generation returns the number of the entry among all entries ever added, modulo 2^32.
func (h Handle) generation() uint32 { return uint32(h >> 32) }

// Table holds entries of type T. The cost of adding, finding and removing does not depend on their
// number. The lowest free slot is used first and chunks without entries are dropped, so the table
// shrinks after a peak. The zero Table is empty and ready for use.
type Table[T any] struct {
	chunks         []*chunk[T] // nil for a chunk without entries
	spare          *chunk[T]   // an empty chunk, kept to avoid allocating and dropping one repeatedly
	free           freeIndex
	lastGeneration uint32 // generation of the last entry added
	count          int
}

// chunk is the memory of chunkSize entries.
type chunk[T any] struct {
	occupied    uint64 // a bit for each entry, set if it is in use
	generations [chunkSize]uint32
	entries     [chunkSize]T
}

// Len returns the number of entries.
func (t *Table[T]) Len() int { return t.count }

// Add adds an entry with the zero value of T and returns its handle and a pointer to it.
func (t *Table[T]) Add() (Handle, *T) {
	chunkIndex, ok := t.free.lowest()
	if !ok {
		chunkIndex = len(t.chunks)
		t.chunks = append(t.chunks, nil)
	}
	c := t.chunks[chunkIndex]
	if c == nil {
		c = t.allocate(chunkIndex)
	}
	offset := bits.TrailingZeros64(^c.occupied)
	c.occupied |= 1 << offset
	if c.occupied == fullChunk {
		t.free.set(chunkIndex, false)
	}
	t.lastGeneration++
	c.generations[offset] = t.lastGeneration
	t.count++
	return newHandle(chunkIndex*chunkSize+offset, t.lastGeneration), &c.entries[offset]
}

// allocate puts an empty chunk at an index of chunks: the spare one, or else a new one.
func (t *Table[T]) allocate(chunkIndex int) *chunk[T] {
	c := t.spare
	if c == nil {
		c = &chunk[T]{}
	}
	t.spare = nil
	t.chunks[chunkIndex] = c
	t.free.set(chunkIndex, true)
	return c
}

// Get returns the entry of a handle, or nil if it was removed.
func (t *Table[T]) Get(handle Handle) *T {
	c, offset := t.locate(handle.Slot())
	if c == nil || c.generations[offset] != handle.generation() {
		return nil
	}
	return &c.entries[offset]
}

// AtSlot returns the entry that is in a slot, or nil if the slot is free.
func (t *Table[T]) AtSlot(slot int32) *T {
	c, offset := t.locate(slot)
	if c == nil {
		return nil
	}
	return &c.entries[offset]
}

// locate returns the chunk of a slot and the offset in that chunk, or nil if the slot is free.
func (t *Table[T]) locate(slot int32) (c *chunk[T], offset int) {
	chunkIndex := int(slot) / chunkSize
	offset = int(slot) % chunkSize
	if chunkIndex >= len(t.chunks) {
		return nil, 0
	}
	c = t.chunks[chunkIndex]
	if c == nil || c.occupied>>offset&1 == 0 {
		return nil, 0
	}
	return c, offset
}

// Remove removes an entry if it is in the table. Pointers to it must not be used afterwards.
func (t *Table[T]) Remove(handle Handle) {
	if t.Get(handle) == nil {
		return
	}
	c, offset := t.locate(handle.Slot())
	chunkIndex := int(handle.Slot()) / chunkSize
	var zero T
	c.occupied &^= 1 << offset
	c.entries[offset] = zero
	c.generations[offset] = 0
	t.count--
	t.free.set(chunkIndex, true)
	if c.occupied == 0 {
		t.spare = c
		t.chunks[chunkIndex] = nil
	}
	t.trim()
}

// trim removes the nil chunks at the end of the list of chunks.
func (t *Table[T]) trim() {
	for n := len(t.chunks); n > 0 && t.chunks[n-1] == nil; n-- {
		t.free.set(n-1, false) // the index must not contain chunks beyond the list's end
		t.chunks = t.chunks[:n-1]
	}
}

// ForEach calls visit for every entry, in the order of the slots. visit may remove the entry that
// it is called with.
func (t *Table[T]) ForEach(visit func(Handle, *T)) {
	// The conditions are checked again for each entry, as visit may drop the chunk and shorten the
	// list.
	for chunkIndex := 0; chunkIndex < len(t.chunks); chunkIndex++ {
		for offset := 0; chunkIndex < len(t.chunks) && t.chunks[chunkIndex] != nil && offset < chunkSize; offset++ {
			c := t.chunks[chunkIndex]
			if c.occupied>>offset&1 == 1 {
				visit(newHandle(chunkIndex*chunkSize+offset, c.generations[offset]), &c.entries[offset])
			}
		}
	}
}
