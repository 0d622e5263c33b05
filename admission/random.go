package admission

import (
	"fmt"
	"hash/crc32"
)

// randomSource generates pseudorandom numbers. Each is the CRC-32 of the seed and of the number
// of draws so far, so that a replay gets the same numbers.
type randomSource struct{ seed, draws int64 }

// float returns the next number in [0, 1).
func (r *randomSource) float() float64 {
	r.draws++
	return float64(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d %d", r.seed, r.draws))) / (1 << 32)
}
