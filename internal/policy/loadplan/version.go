package loadplan

import "cmp"

// Version orders plans: by the cluster identity, by the leadership term in it, and by the plans of
// that term.
type Version struct {
	ClusterID uint32 `json:"Founding"`
	Term      uint64 `json:"Term"`
	Sequence  uint64 `json:"Seq"`
}

// Compare returns -1, 0 or +1 as v is before, equal to or after other.
func (v Version) Compare(other Version) int {
	return cmp.Or(
		cmp.Compare(v.ClusterID, other.ClusterID),
		cmp.Compare(v.Term, other.Term),
		cmp.Compare(v.Sequence, other.Sequence),
	)
}
