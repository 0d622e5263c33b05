package replication

import "cmp"

// Term is a period in which a replica has not lost any grant. A replica begins a new, higher term
// when it starts and when it loses a record; grants of its earlier terms then no longer count.
type Term struct {
	Number      uint64
	Incarnation uint64 // incarnation of the replica's process
}

// Compare orders terms of one replica; the higher one began later.
func (t Term) Compare(other Term) int {
	return cmp.Or(cmp.Compare(t.Number, other.Number), cmp.Compare(t.Incarnation, other.Incarnation))
}

// TermTable holds the latest known term of each member, by member index.
type TermTable []Term

// Observe replaces the known terms of the given members by later ones, and reports whether any
// changed. terms[i] is the term of members[i]; missing terms are ignored.
func (t TermTable) Observe(members []int, terms []Term) (changed bool) {
	for i, member := range members {
		if i < len(terms) && terms[i].Compare(t[member]) > 0 {
			t[member] = terms[i]
			changed = true
		}
	}
	return changed
}

// Select returns the terms of the given members, in the same order.
func (t TermTable) Select(members []int) []Term {
	terms := make([]Term, len(members))
	for i, member := range members {
		terms[i] = t[member]
	}
	return terms
}
