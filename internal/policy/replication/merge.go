package replication

import (
	"bytes"
	"slices"

	"swiftcourse/internal/replicastore"
)

// maxAttemptsPerRecord bounds the attempts in the record of one key. Withdrawn attempts are kept
// because their ClaimRequest may arrive late: if it arrives after the attempt was removed, it is
// granted and blocks the key until the record expires.
const maxAttemptsPerRecord = 32

// Merge returns the union of two copies of a record: the attempts of both, each in the higher of
// its two states. Merge is commutative, associative and idempotent. A claim that only one replica
// granted is kept, because its coordinator may have counted that grant. One of the copies may be
// nil.
func Merge(a, b *replicastore.Record) replicastore.Record {
	if a == nil {
		a = b
	}
	if b == nil {
		b = a
	}
	merged := replicastore.Record{
		Key:       a.Key,
		ExpiresAt: max(a.ExpiresAt, b.ExpiresAt),
		Attempts:  make([]replicastore.Attempt, 0, len(a.Attempts)+1),
	}
	i, j := 0, 0
	for i < len(a.Attempts) && j < len(b.Attempts) {
		order := a.Attempts[i].Compare(b.Attempts[j].ClaimID)
		switch {
		case order < 0:
			merged.Attempts = append(merged.Attempts, a.Attempts[i])
			i++
		case order > 0:
			merged.Attempts = append(merged.Attempts, b.Attempts[j])
			j++
		default:
			merged.Attempts = append(merged.Attempts, preferredAttempt(a.Attempts[i], b.Attempts[j]))
			i++
			j++
		}
	}
	merged.Attempts = append(merged.Attempts, a.Attempts[i:]...)
	merged.Attempts = append(merged.Attempts, b.Attempts[j:]...)
	return merged
}

// preferredAttempt returns the copy of an attempt that Merge keeps: the one in the higher state, or
// else one that still has its result. One attempt can't have two results; if a fault produces them,
// the order by checksum and then by bytes makes every replica choose the same one.
func preferredAttempt(a, b replicastore.Attempt) replicastore.Attempt {
	switch {
	case a.State != b.State:
		if a.State > b.State {
			return a
		}
		return b
	case a.ResultChecksum != b.ResultChecksum:
		if a.ResultChecksum > b.ResultChecksum {
			return a
		}
		return b
	case a.Result == nil || b.Result != nil && bytes.Compare(a.Result, b.Result) < 0:
		return b
	}
	return a
}

// hasConflictingResults reports whether two attempts of a record finished with different results,
// which violates the invariant that no key runs twice. Clients get the result of the attempt with
// the lowest ClaimID.
func hasConflictingResults(record *replicastore.Record) bool {
	first := record.FinishedAttempt()
	if first == nil {
		return false
	}
	return slices.ContainsFunc(record.Attempts, func(attempt replicastore.Attempt) bool {
		return attempt.State == replicastore.StateFinished && attempt.ResultChecksum != first.ResultChecksum
	})
}

// sameAttempts reports whether two copies of a record have equal attempts and have dropped the same
// results.
func sameAttempts(a, b *replicastore.Record) bool {
	return slices.EqualFunc(a.Attempts, b.Attempts, func(x, y replicastore.Attempt) bool {
		return x.ClaimID == y.ClaimID &&
			x.State == y.State &&
			x.ResultChecksum == y.ResultChecksum &&
			(x.Result == nil) == (y.Result == nil)
	})
}
