package consensus

import (
	"encoding/binary"
	"hash/crc32"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// random is a deterministic generator of pseudorandom numbers from a seed and a voter's name.
type random struct {
	name  string
	seed  uint64
	count uint64 // numbers drawn
}

// nextCount returns the next number of a sequence, which is unique within the voter. It shares the
// sequence with the draws.
func (r *random) nextCount() uint64 {
	r.count++
	return r.count
}

// drawUint64 draws a number from the whole range.
func (r *random) drawUint64() uint64 {
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], r.seed)
	binary.BigEndian.PutUint64(input[8:], r.nextCount())
	upper := crc32.ChecksumIEEE(append([]byte(r.name), input[:]...))
	lower := crc32.Checksum(append(input[:], r.name...), castagnoli)
	return uint64(upper)<<32 | uint64(lower)
}

// drawIncarnation draws an identity that is not 0.
func (r *random) drawIncarnation() uint64 {
	return max(1, r.drawUint64())
}

// drawFloat64 draws a number from 0 to below 1.
func (r *random) drawFloat64() float64 {
	return float64(r.drawUint64()>>11) / (1 << 53)
}
