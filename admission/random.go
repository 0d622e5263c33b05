package admission

import (
	"fmt"
	"hash/crc32"
)

// randomSource draws pseudorandom numbers: each is the CRC-32 of the seed and of the count of draws, so
// that a replay gets the same ones.
type randomSource struct{ seed, draws int64 }

// float returns the next number, from 0 to under 1.
func (r *randomSource) float() float64 {
	r.draws++
	return float64(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d %d", r.seed, r.draws))) / (1 << 32)
}
