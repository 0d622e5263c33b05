package slottable

import "math/bits"

// wordBits is the number of bits of a word of the free index.
const wordBits = 64

// freeIndex finds the lowest chunk with a free entry. Its lowest level has a bit for each such
// chunk, and a level above it a bit for each word of the level below that is not 0.
type freeIndex [3][]uint64

// lowest returns the first chunk whose bit is set, or none where no bit is.
func (f *freeIndex) lowest(none int) int {
	at := 0
	top := len(f) - 1
	for at < len(f[top]) && f[top][at] == 0 { // a word of the top level covers 64^3 chunks
		at++
	}
	for level := top; level >= 0; level-- {
		words := f[level]
		if at >= len(words) || words[at] == 0 {
			return none
		}
		at = at*wordBits + bits.TrailingZeros64(words[at])
	}
	return at
}

// set notes whether a chunk has a free entry.
func (f *freeIndex) set(at int, free bool) {
	for level := range f {
		word := at / wordBits
		for len(f[level]) <= word {
			f[level] = append(f[level], 0)
		}
		w := &f[level][word]
		if free {
			*w |= 1 << (at % wordBits)
		} else {
			*w &^= 1 << (at % wordBits)
		}
		at = word
		free = *w != 0
	}
}
