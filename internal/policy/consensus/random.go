package consensus

import (
	"encoding/binary"
	"hash/crc32"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// random generates pseudorandom numbers that depend only on a seed and the voter's name.
type random struct {
	name       string
	seed       uint64
	lastNumber uint64 // latest number of the sequence
}

// nextNumber returns the next number of an increasing sequence, so the number is unique within the
// voter. Each random draw uses up one number of the same sequence.
func (r *random) nextNumber() uint64 {
	r.lastNumber++
	return r.lastNumber
}

// drawUint64 draws a number from the whole range of uint64.
func (r *random) drawUint64() uint64 {
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], r.seed)
	binary.BigEndian.PutUint64(input[8:], r.nextNumber())
	upper := crc32.ChecksumIEEE(append([]byte(r.name), input[:]...))
	lower := crc32.Checksum(append(input[:], r.name...), castagnoli)
	return uint64(upper)<<32 | uint64(lower)
}

// drawIncarnation draws an incarnation, which is never 0.
func (r *random) drawIncarnation() uint64 {
	return max(1, r.drawUint64())
}

// drawFloat64 draws a number in [0, 1).
func (r *random) drawFloat64() float64 {
	return float64(r.drawUint64()>>11) / (1 << 53)
}
