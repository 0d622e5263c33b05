package replica

import (
	"bytes"
	"slices"

	state "swiftcourse/internal/replica"
)

// maxTries bounds the tries of one key that a holder remembers. That one was withdrawn is remembered for its claim's sake, should it come late: one
// that is forgotten and does come then stands in the way, for nobody, until the key is forgotten.
const maxTries = 32

// Merge is what two copies of a record come to, whatever order they are merged in and however often: all tries of both, each in its higher state.
// A claim that one holder alone granted stays, so that a claimant who counted on it is never overlooked.
func Merge(a, b *state.Record) state.Record {
	if a == nil {
		a = b
	}
	if b == nil {
		b = a
	}
	m := state.Record{Key: a.Key, Until: max(a.Until, b.Until), Tries: make([]state.Try, 0, len(a.Tries)+1)}
	i, j := 0, 0
	for i < len(a.Tries) || j < len(b.Tries) {
		switch {
		case j == len(b.Tries) || i < len(a.Tries) && a.Tries[i].Compare(b.Tries[j].Claim) < 0:
			m.Tries = append(m.Tries, a.Tries[i])
			i++
		case i == len(a.Tries) || b.Tries[j].Compare(a.Tries[i].Claim) < 0:
			m.Tries = append(m.Tries, b.Tries[j])
			j++
		default:
			m.Tries = append(m.Tries, higher(a.Tries[i], b.Tries[j]))
			i++
			j++
		}
	}
	return m
}

// higher is the state that wins of one claim. Two results of one run can't be; should they be all the same, all copies settle on one.
func higher(a, b state.Try) state.Try {
	switch {
	case a.State != b.State:
		if a.State > b.State {
			return a
		}
		return b
	case a.Sum != b.Sum:
		if a.Sum > b.Sum {
			return a
		}
		return b
	case a.Result == nil || b.Result != nil && bytes.Compare(a.Result, b.Result) < 0:
		return b
	}
	return a
}

// Two tells whether a record has two runs with different results: the alarm that should never come. The first in the order of claims is the answer.
func Two(r *state.Record) bool {
	first := r.Ended()
	return first != nil && slices.ContainsFunc(r.Tries, func(t state.Try) bool { return t.State == state.Finished && t.Sum != first.Sum })
}

// same tells whether two copies agree.
func same(a, b *state.Record) bool {
	return a != nil && b != nil && slices.EqualFunc(a.Tries, b.Tries, func(x, y state.Try) bool {
		return x.Claim == y.Claim && x.State == y.State && x.Sum == y.Sum && (x.Result == nil) == (y.Result == nil)
	})
}
