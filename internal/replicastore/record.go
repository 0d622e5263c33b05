// Package replicastore is what a server holds of the fleet's state: who claimed which key, and what came of it. It is a plain structure with bounds on
// entries and bytes; what goes in, and which copy wins, is decided by internal/judge/replica.
package replicastore

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"
)

// SlotCount divide the keys: all keys of one have the same holders. 256 spread evenly over the tens of holders that a fleet has, and a list of one
// sum for each is 2 KB.
const SlotCount = 256

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

// ClaimID tells one try at running a key from all others. The order of claims is that of these numbers: it settles who gives way, so a clock that is
// off costs its server or the others a race, and nothing else.
type ClaimID struct {
	UnixMilli   int64  // milliseconds of the claimant's clock
	Incarnation uint64 // its life
	Sequence    uint64 // a number that it gave once
}

// Compare orders claims.
func (c ClaimID) Compare(o ClaimID) int {
	return cmp.Or(cmp.Compare(c.UnixMilli, o.UnixMilli), cmp.Compare(c.Incarnation, o.Incarnation), cmp.Compare(c.Sequence, o.Sequence))
}

// State is what is known of a claim. A higher one replaces a lower.
type State uint8

const (
	StateClaimed   State = iota // it may run, or have run
	StateWithdrawn              // it never ran, and never will
	StateFailed                 // it ran, and has no result
	StateFinished               // it ran, with a result
)

func (s State) String() string {
	return [...]string{"claimed", "withdrawn", "spoilt", "finished", "?"}[min(s, 4)]
}

// Blocks tells whether it stands in the way of another claim.
func (s State) Blocks() bool { return s != StateWithdrawn }

// Attempt is a claim and what came of it.
type Attempt struct {
	ClaimID
	State          State
	ResultChecksum uint64 // of the result, which may be dropped to make room
	Result         []byte
}

// NewFinishedAttempt is a try that ended with a result.
func NewFinishedAttempt(c ClaimID, result []byte) Attempt {
	return Attempt{ClaimID: c, State: StateFinished, ResultChecksum: xxhash.Sum64(result), Result: append([]byte{}, result...)}
}

// Intact tells whether the result is the one that was entered.
func (t *Attempt) Intact() bool {
	return t.State != StateFinished || t.Result == nil || xxhash.Sum64(t.Result) == t.ResultChecksum
}

// Record is all that is known of a key. Its tries are in the order of claims.
type Record struct {
	Key       Key
	ExpiresAt float64 // when it is forgotten, by its holder's clock; a copy is told how long that is off
	Attempts  []Attempt
}

// BlockingAttempt is the first try that stands in the way of another, nil where there is none.
func (r *Record) BlockingAttempt() *Attempt {
	if r == nil {
		return nil
	}
	for i := range r.Attempts {
		if r.Attempts[i].State.Blocks() {
			return &r.Attempts[i]
		}
	}
	return nil
}

// FinishedAttempt is the first try, in the order of claims, that ended with a result, nil where there is none.
func (r *Record) FinishedAttempt() *Attempt {
	if r == nil {
		return nil
	}
	for i := range r.Attempts {
		if r.Attempts[i].State == StateFinished {
			return &r.Attempts[i]
		}
	}
	return nil
}

// sizeInBytes is what a record takes, in bytes: measured with 100,000 of them, see BenchmarkStore.
func (r *Record) sizeInBytes() int {
	n := 240 + 72*len(r.Attempts)
	for i := range r.Attempts {
		n += len(r.Attempts[i].Result)
	}
	return n
}

// appendEncoding appends what all copies of a record have in common.
func (r *Record) appendEncoding(b []byte) []byte {
	b = append(b, r.Key[:]...)
	for i := range r.Attempts {
		t := &r.Attempts[i]
		for _, n := range [...]uint64{uint64(t.UnixMilli), t.Incarnation, t.Sequence, uint64(t.State), t.ResultChecksum} {
			b = binary.LittleEndian.AppendUint64(b, n)
		}
	}
	return b
}

// checksum is the same for all copies that agree.
func (r *Record) checksum(scratch []byte) uint64 { return xxhash.Sum64(r.appendEncoding(scratch)) }

// corruptionCheck guards a record against bits that change where it is held.
func (r *Record) corruptionCheck(scratch []byte) uint32 {
	c := crc32.ChecksumIEEE(r.appendEncoding(scratch))
	for i := range r.Attempts {
		c = crc32.Update(c, crc32.IEEETable, r.Attempts[i].Result)
	}
	return c
}
