package replicastore

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"
)

// ClaimID identifies one claim of a key. Of two competing claims the one with the lower ClaimID
// takes precedence. Safety does not depend on clocks: a wrong clock only affects which of two
// competing claims is granted.
type ClaimID struct {
	UnixMilli   int64  // time of the claim by the coordinator's clock, in ms since 1970
	Incarnation uint64 // incarnation of the coordinator's process
	Sequence    uint64 // unique within the incarnation
}

// Compare orders claims by time, then by incarnation and sequence number.
func (c ClaimID) Compare(other ClaimID) int {
	return cmp.Or(
		cmp.Compare(c.UnixMilli, other.UnixMilli),
		cmp.Compare(c.Incarnation, other.Incarnation),
		cmp.Compare(c.Sequence, other.Sequence),
	)
}

// AttemptState is the known state of an attempt. Merging copies of an attempt keeps the higher
// state.
type AttemptState uint8

// States of an attempt.
const (
	StateClaimed   AttemptState = iota // it may run or may have run
	StateWithdrawn                     // it did not run and never will
	StateFailed                        // it ran without a result
	StateFinished                      // it ran and returned a result
)

// String returns the name of the state, "unknown" for an undefined value.
func (s AttemptState) String() string {
	switch s {
	case StateClaimed:
		return "claimed"
	case StateWithdrawn:
		return "withdrawn"
	case StateFailed:
		return "failed"
	case StateFinished:
		return "finished"
	}
	return "unknown"
}

// Blocks reports whether an attempt in this state prevents other claims of its key from being
// granted.
func (s AttemptState) Blocks() bool { return s != StateWithdrawn }

// Attempt is one claim of a key and its outcome.
type Attempt struct {
	ClaimID
	State          AttemptState
	ResultChecksum uint64 // checksum of a finished attempt's result; kept when the result is dropped
	Result         []byte // nil if there is none or if it was dropped to free memory
}

// NewFinishedAttempt returns a finished attempt with a copy of the result.
func NewFinishedAttempt(id ClaimID, result []byte) Attempt {
	return Attempt{
		ClaimID:        id,
		State:          StateFinished,
		ResultChecksum: xxhash.Sum64(result),
		Result:         append([]byte{}, result...),
	}
}

// ResultMatchesChecksum reports whether the result, if present, matches its checksum.
func (a *Attempt) ResultMatchesChecksum() bool {
	return a.State != StateFinished || a.Result == nil || xxhash.Sum64(a.Result) == a.ResultChecksum
}

// Record lists the known attempts of a key.
type Record struct {
	Key       Key
	ExpiresAt float64   // in seconds, by the replica's own clock
	Attempts  []Attempt // in ascending order of ClaimID
}

// BlockingAttempt returns the first attempt that blocks other claims, or nil if there is none.
// It may be called on a nil record.
func (r *Record) BlockingAttempt() *Attempt {
	return r.firstAttempt(AttemptState.Blocks)
}

// FinishedAttempt returns the first finished attempt, or nil if there is none.
// It may be called on a nil record.
func (r *Record) FinishedAttempt() *Attempt {
	return r.firstAttempt(func(state AttemptState) bool { return state == StateFinished })
}

// firstAttempt returns the first attempt whose state matches, or nil if there is none.
func (r *Record) firstAttempt(matches func(AttemptState) bool) *Attempt {
	if r == nil {
		return nil
	}
	for i := range r.Attempts {
		if matches(r.Attempts[i].State) {
			return &r.Attempts[i]
		}
	}
	return nil
}

const (
	// A record takes recordOverheadBytes, plus attemptOverheadBytes for each attempt, plus its
	// results. The overheads include the share of the store's map and heap in a store of 100,000
	// records, as in BenchmarkStore.
	recordOverheadBytes  = 240
	attemptOverheadBytes = 72
)

// sizeInBytes returns the estimated memory that the record takes in a store.
func (r *Record) sizeInBytes() int {
	size := recordOverheadBytes + attemptOverheadBytes*len(r.Attempts)
	for i := range r.Attempts {
		size += len(r.Attempts[i].Result)
	}
	return size
}

// appendEncoding appends the part of the record that is equal in all replicas: the key and the
// attempts, without ExpiresAt and without the results, which a replica may drop.
func (r *Record) appendEncoding(buffer []byte) []byte {
	buffer = append(buffer, r.Key[:]...)
	for i := range r.Attempts {
		attempt := &r.Attempts[i]
		buffer = binary.LittleEndian.AppendUint64(buffer, uint64(attempt.UnixMilli))
		buffer = binary.LittleEndian.AppendUint64(buffer, attempt.Incarnation)
		buffer = binary.LittleEndian.AppendUint64(buffer, attempt.Sequence)
		buffer = binary.LittleEndian.AppendUint64(buffer, uint64(attempt.State))
		buffer = binary.LittleEndian.AppendUint64(buffer, attempt.ResultChecksum)
	}
	return buffer
}

// checksumOf returns the checksum of a record with the given encoding, which is combined into the
// checksum of its slot. Copies with equal attempts have equal checksums.
func checksumOf(encoding []byte) uint64 { return xxhash.Sum64(encoding) }

// crcOf returns the CRC that detects memory corruption. It covers the record's encoding and its
// results, but not ExpiresAt.
func (r *Record) crcOf(encoding []byte) uint32 {
	crc := crc32.ChecksumIEEE(encoding)
	for i := range r.Attempts {
		crc = crc32.Update(crc, crc32.IEEETable, r.Attempts[i].Result)
	}
	return crc
}
