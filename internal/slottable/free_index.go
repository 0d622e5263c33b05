package slottable

import "math/bits"

// The dimensions of a freeIndex.
const (
	wordBits    = 64 // bits per word
	indexLevels = 3
)

// freeIndex is a hierarchical bitmap for finding the first chunk with a free entry. Level 0 has a
// bit for each chunk, set if the chunk has a free entry. Each level above has a bit for each word
// of the level below, set if that word is not 0.
type freeIndex [indexLevels][]uint64

// lowest returns the index of the first chunk with a free entry, if there is one.
func (f *freeIndex) lowest() (chunkIndex int, ok bool) {
	position := 0
	top := len(f) - 1
	for position < len(f[top]) && f[top][position] == 0 { // a word of the top level covers 64^3 chunks
		position++
	}
	for level := top; level >= 0; level-- {
		words := f[level]
		if position >= len(words) || words[position] == 0 {
			return 0, false
		}
		position = position*wordBits + bits.TrailingZeros64(words[position])
	}
	return position, true
}

// set records whether a chunk has a free entry.
func (f *freeIndex) set(position int, free bool) {
	for level := range f {
		word := position / wordBits
		for len(f[level]) <= word {
			f[level] = append(f[level], 0)
		}
		w := &f[level][word]
		if free {
			*w |= 1 << (position % wordBits)
		} else {
			*w &^= 1 << (position % wordBits)
		}
		position = word
		free = *w != 0
	}
}
