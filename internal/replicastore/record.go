package replicastore

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"
)

// ClaimID identifies one claim of a key. Its order settles which of two competing claims
// gives way, so a clock that is off costs a server a race and nothing else.
type ClaimID struct {
	UnixMilli   int64  // time of the claim by the coordinator's clock, in milliseconds
	Incarnation uint64 // of the coordinator
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

// State is what is known of an attempt. When copies are merged the higher state wins.
type State uint8

// The states of an attempt.
const (
	StateClaimed   State = iota // it may run, or may have run
	StateWithdrawn              // it did not run and never will
	StateFailed                 // it ran and has no result
	StateFinished               // it ran and has a result
)

// String returns the state's name.
func (s State) String() string {
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
func (s State) Blocks() bool { return s != StateWithdrawn }

// Attempt is one claim of a key and its outcome.
type Attempt struct {
	ClaimID
	State          State
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

// FinishedAttempt returns the first attempt that ended with a result, nil if there is none.
// It may be called on a nil record.
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

// Memory that a record takes beside its results, in bytes: measured with 100,000 records,
// see BenchmarkStore.
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

// appendEncoding appends what all replicas' copies of the record have in common: not when it
// expires, and not the results, which a replica may drop.
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

// checksum returns a sum that is the same for all copies that agree. It overwrites scratch.
func (r *Record) checksum(scratch []byte) uint64 {
	return xxhash.Sum64(r.appendEncoding(scratch[:0]))
}

// corruptionCheck returns a sum over all of the record, the results too, by which a change in
// memory is found. It overwrites scratch.
func (r *Record) corruptionCheck(scratch []byte) uint32 {
	crc := crc32.ChecksumIEEE(r.appendEncoding(scratch[:0]))
	for i := range r.Attempts {
		crc = crc32.Update(crc, crc32.IEEETable, r.Attempts[i].Result)
	}
	return crc
}
