// Package replica is what a server holds of the fleet's state: who claimed which key, and what came of it. It is a plain structure with bounds on
// entries and bytes; what goes in, and which copy wins, is decided by internal/judge/replica.
package replica

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"
)

// Slots divide the keys: all keys of one have the same holders. 256 spread evenly over the tens of holders that a fleet has, and a list of one
// sum for each is 2 KB.
const Slots = 256

// Key names what a deduplicated task is about.
type Key [16]byte

// KeyOf is the key of a stage's idempotency key: a hash in which no two are ever the same, as that would answer one task with another's result.
func KeyOf(stage, key string) (k Key) {
	sum := sha256.Sum256([]byte(stage + "\x00" + key))
	copy(k[:], sum[:])
	return k
}

// Slot is where a key belongs.
func (k Key) Slot() int { return int(k[0]) }

// Compare orders keys; those of a slot follow one another.
func (k Key) Compare(o Key) int {
	return cmp.Or(cmp.Compare(binary.BigEndian.Uint64(k[:]), binary.BigEndian.Uint64(o[:])), cmp.Compare(binary.BigEndian.Uint64(k[8:]), binary.BigEndian.Uint64(o[8:])))
}

// Claim tells one try at running a key from all others. The order of claims is that of these numbers: it settles who gives way, so a clock that is
// off costs its server or the others a race, and nothing else.
type Claim struct {
	At  int64  // milliseconds of the claimant's clock
	Who uint64 // its life
	N   uint64 // a number that it gave once
}

// Compare orders claims.
func (c Claim) Compare(o Claim) int {
	return cmp.Or(cmp.Compare(c.At, o.At), cmp.Compare(c.Who, o.Who), cmp.Compare(c.N, o.N))
}

// State is what is known of a claim. A higher one replaces a lower.
type State uint8

const (
	Claimed   State = iota // it may run, or have run
	Withdrawn              // it never ran, and never will
	Spoilt                 // it ran, and has no result
	Finished               // it ran, with a result
)

func (s State) String() string {
	return [...]string{"claimed", "withdrawn", "spoilt", "finished", "?"}[min(s, 4)]
}

// Live tells whether it stands in the way of another claim.
func (s State) Live() bool { return s != Withdrawn }

// Try is a claim and what came of it.
type Try struct {
	Claim
	State  State
	Sum    uint64 // of the result, which may be dropped to make room
	Result []byte
}

// Finish is a try that ended with a result.
func Finish(c Claim, result []byte) Try {
	return Try{Claim: c, State: Finished, Sum: xxhash.Sum64(result), Result: append([]byte{}, result...)}
}

// Whole tells whether the result is the one that was entered.
func (t *Try) Whole() bool {
	return t.State != Finished || t.Result == nil || xxhash.Sum64(t.Result) == t.Sum
}

// Record is all that is known of a key. Its tries are in the order of claims.
type Record struct {
	Key   Key
	Until float64 // when it is forgotten, by its holder's clock; a copy is told how long that is off
	Tries []Try
}

// Live is the first try that stands in the way of another, nil where there is none.
func (r *Record) Live() *Try {
	if r == nil {
		return nil
	}
	for i := range r.Tries {
		if r.Tries[i].State.Live() {
			return &r.Tries[i]
		}
	}
	return nil
}

// Ended is the first try, in the order of claims, that ended with a result, nil where there is none.
func (r *Record) Ended() *Try {
	if r == nil {
		return nil
	}
	for i := range r.Tries {
		if r.Tries[i].State == Finished {
			return &r.Tries[i]
		}
	}
	return nil
}

// bytes is what a record takes, in bytes: measured with 100,000 of them, see BenchmarkStore.
func (r *Record) bytes() int {
	n := 240 + 72*len(r.Tries)
	for i := range r.Tries {
		n += len(r.Tries[i].Result)
	}
	return n
}

// put appends what all copies of a record have in common.
func (r *Record) put(b []byte) []byte {
	b = append(b, r.Key[:]...)
	for i := range r.Tries {
		t := &r.Tries[i]
		for _, n := range [...]uint64{uint64(t.At), t.Who, t.N, uint64(t.State), t.Sum} {
			b = binary.LittleEndian.AppendUint64(b, n)
		}
	}
	return b
}

// sum is the same for all copies that agree.
func (r *Record) sum(scratch []byte) uint64 { return xxhash.Sum64(r.put(scratch)) }

// check guards a record against bits that change where it is held.
func (r *Record) check(scratch []byte) uint32 {
	c := crc32.ChecksumIEEE(r.put(scratch))
	for i := range r.Tries {
		c = crc32.Update(c, crc32.IEEETable, r.Tries[i].Result)
	}
	return c
}
