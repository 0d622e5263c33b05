package replication

import "cmp"

// Term is a period in which a replica has lost none of its grants. A replica begins a new, higher
// term when it starts and when it loses a record; grants of earlier terms then no longer count.
type Term struct {
	Number      uint64
	Incarnation uint64 // of the replica's process
}

// Compare orders terms; the higher is the later, in whatever order servers hear of them.
func (t Term) Compare(other Term) int {
	return cmp.Or(cmp.Compare(t.Number, other.Number), cmp.Compare(t.Incarnation, other.Incarnation))
}

// TermTable holds the latest term that a server knows of each member, by member index.
type TermTable []Term

// Observe adopts those of the members' terms that are later than the known ones, and reports
// whether there were any. Terms are in the order of members.
func (t TermTable) Observe(members []int, terms []Term) (changed bool) {
	for i, member := range members {
		if i < len(terms) && terms[i].Compare(t[member]) > 0 {
			t[member] = terms[i]
			changed = true
		}
	}
	return changed
}

// Select returns the terms of some members, in their order.
func (t TermTable) Select(members []int) []Term {
	terms := make([]Term, len(members))
	for i, member := range members {
		terms[i] = t[member]
	}
	return terms
}
