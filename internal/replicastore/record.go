package replicastore

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"
)

// ClaimID identifies one claim of a key. Of two competing claims the one with the lower
// ClaimID takes precedence. Safety does not depend on clocks: a wrong one only decides which of
// two competing claims is granted.
type ClaimID struct {
	UnixMilli   int64  // time of the claim by the coordinator's clock, in milliseconds since 1970
	Incarnation uint64 // of the coordinator's process
	Sequence    uint64 // used once by that incarnation
}

// Compare orders claims by time, then by incarnation and sequence number.
func (c ClaimID) Compare(other ClaimID) int {
	return cmp.Or(
		cmp.Compare(c.UnixMilli, other.UnixMilli),
		cmp.Compare(c.Incarnation, other.Incarnation),
		cmp.Compare(c.Sequence, other.Sequence),
	)
}

// AttemptState is what is known of an attempt. When copies are merged the higher state wins.
type AttemptState uint8

// The states of an attempt.
const (
	StateClaimed   AttemptState = iota // it may run, or may have run
	StateWithdrawn                     // it did not run and never will
	StateFailed                        // it ran and has no result
	StateFinished                      // it ran and has a result
)

// String returns the state's name.
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

// Blocks reports whether an attempt in this state keeps other claims of its key from being granted.
func (s AttemptState) Blocks() bool { return s != StateWithdrawn }

// Attempt is one claim of a key and its outcome.
type Attempt struct {
	ClaimID
	State          AttemptState
	ResultChecksum uint64 // of a finished attempt's result; stays when the result is dropped
	Result         []byte // nil where there is none, or where it was dropped to free memory
}

// NewFinishedAttempt returns an attempt that ended with a result, of which it keeps a copy.
func NewFinishedAttempt(id ClaimID, result []byte) Attempt {
	return Attempt{
		ClaimID:        id,
		State:          StateFinished,
		ResultChecksum: xxhash.Sum64(result),
		Result:         append([]byte{}, result...),
	}
}

// Intact reports whether the result, where there is one, matches its checksum.
func (a *Attempt) Intact() bool {
	return a.State != StateFinished || a.Result == nil || xxhash.Sum64(a.Result) == a.ResultChecksum
}

// Record is all that is known of a key.
type Record struct {
	Key       Key
	ExpiresAt float64   // seconds of the replica's own clock
	Attempts  []Attempt // in the order of their ClaimIDs
}

// BlockingAttempt returns the first attempt that blocks other claims, nil if there is none.
// It may be called on a nil record.
func (r *Record) BlockingAttempt() *Attempt {
	return r.firstAttempt(AttemptState.Blocks)
}

// FinishedAttempt returns the first attempt that ended with a result, nil if there is none.
// It may be called on a nil record.
func (r *Record) FinishedAttempt() *Attempt {
	return r.firstAttempt(func(state AttemptState) bool { return state == StateFinished })
}

// firstAttempt returns the first attempt whose state matches, nil if there is none.
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

// Memory in bytes that a record takes in addition to its results, as BenchmarkStore measured it
// with 100,000 records.
const (
	recordOverhead  = 240
	attemptOverhead = 72
)

// sizeInBytes returns the memory that the record takes in a store.
func (r *Record) sizeInBytes() int {
	size := recordOverhead + attemptOverhead*len(r.Attempts)
	for i := range r.Attempts {
		size += len(r.Attempts[i].Result)
	}
	return size
}

// appendEncoding appends the part of the record that is equal in all replicas' copies: the key
// and the attempts, without ExpiresAt and without the results, which a replica may drop.
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

// checksumOf returns the record's part of its slot's checksum, given its encoding. It is the same
// for all copies that agree.
func checksumOf(encoding []byte) uint64 { return xxhash.Sum64(encoding) }

// crcOf returns the CRC by which memory corruption is detected, over the record's encoding and its
// results. ExpiresAt is not covered.
func (r *Record) crcOf(encoding []byte) uint32 {
	crc := crc32.ChecksumIEEE(encoding)
	for i := range r.Attempts {
		crc = crc32.Update(crc, crc32.IEEETable, r.Attempts[i].Result)
	}
	return crc
}
