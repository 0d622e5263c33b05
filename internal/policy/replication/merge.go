package replication

import (
	"bytes"
	"slices"

	state "swiftcourse/internal/replicastore"
)

// maxAttempts bounds the tries of one key that a holder remembers. That one was withdrawn is remembered for its claim's sake, should it come late: one
// that is forgotten and does come then stands in the way, for nobody, until the key is forgotten.
const maxAttempts = 32

// Merge is what two copies of a record come to, whatever order they are merged in and however often: all tries of both, each in its higher state.
// A claim that one holder alone granted stays, so that a claimant who counted on it is never overlooked.
func Merge(a, b *state.Record) state.Record {
	if a == nil {
		a = b
	}
	if b == nil {
		b = a
	}
	m := state.Record{Key: a.Key, ExpiresAt: max(a.ExpiresAt, b.ExpiresAt), Attempts: make([]state.Attempt, 0, len(a.Attempts)+1)}
	i, j := 0, 0
	for i < len(a.Attempts) || j < len(b.Attempts) {
		switch {
		case j == len(b.Attempts) || i < len(a.Attempts) && a.Attempts[i].Compare(b.Attempts[j].ClaimID) < 0:
			m.Attempts = append(m.Attempts, a.Attempts[i])
			i++
		case i == len(a.Attempts) || b.Attempts[j].Compare(a.Attempts[i].ClaimID) < 0:
			m.Attempts = append(m.Attempts, b.Attempts[j])
			j++
		default:
			m.Attempts = append(m.Attempts, preferredAttempt(a.Attempts[i], b.Attempts[j]))
			i++
			j++
		}
	}
	return m
}

// preferredAttempt is the state that wins of one claim. Two results of one run can't be; should they be all the same, all copies settle on one.
func preferredAttempt(a, b state.Attempt) state.Attempt {
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

// HasConflictingResults tells whether a record has two runs with different results: the alarm that should never come. The first in the order of claims is the answer.
func HasConflictingResults(r *state.Record) bool {
	first := r.FinishedAttempt()
	return first != nil && slices.ContainsFunc(r.Attempts, func(t state.Attempt) bool {
		return t.State == state.StateFinished && t.ResultChecksum != first.ResultChecksum
	})
}

// sameAttempts tells whether two copies agree.
func sameAttempts(a, b *state.Record) bool {
	return a != nil && b != nil && slices.EqualFunc(a.Attempts, b.Attempts, func(x, y state.Attempt) bool {
		return x.ClaimID == y.ClaimID && x.State == y.State && x.ResultChecksum == y.ResultChecksum && (x.Result == nil) == (y.Result == nil)
	})
}
