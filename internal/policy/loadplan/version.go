package loadplan

import "cmp"

// Version is the version of a plan. Versions are ordered by cluster ID, then by the leadership term in
// that cluster, then by the sequence number of the plan in that term.
type Version struct {
	ClusterID uint32 `json:"Founding"`
	Term      uint64 `json:"Term"`
	Sequence  uint64 `json:"Seq"`
}

// Compare returns -1 if v is before other, 0 if they are equal, and +1 if v is after other.
func (v Version) Compare(other Version) int {
	return cmp.Or(
		cmp.Compare(v.ClusterID, other.ClusterID),
		cmp.Compare(v.Term, other.Term),
		cmp.Compare(v.Sequence, other.Sequence),
	)
}
