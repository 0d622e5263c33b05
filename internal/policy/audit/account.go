package audit

import (
	"cmp"
	"slices"

	"swiftcourse/internal/policy/release"
)

// Interval is a period in which a server acted on one version.
type Interval struct {
	Index    uint64        `json:"N"` // number of earlier intervals of the same incarnation
	Epoch    release.Epoch // 0 for the server's own file, before it was assigned a version
	Digest   string
	From     float64 // Unix seconds
	To       float64 // Unix seconds; of the latest interval, when it was last known to last
	Batches  uint64  // decision batches under the version
	Requests uint64  `json:"Tasks"` // requests read in these batches
	Reason   string  `json:"Why"`   // why the interval began
}

// Account is what one incarnation of a server reports of itself.
type Account struct {
	Name             string
	Incarnation      uint64  `json:"Life"`
	Started          float64 // Unix seconds
	LastSeen         float64 `json:"Seen"`    // Unix seconds up to which it reports
	DroppedIntervals uint64  `json:"Dropped"` // older intervals that are not kept
	Intervals        []Interval
}

// latest returns a copy of the account with at most count intervals, the latest ones.
func (a Account) latest(count int) Account {
	if excess := len(a.Intervals) - count; excess > 0 {
		a.DroppedIntervals += uint64(excess)
		a.Intervals = a.Intervals[excess:]
	}
	a.Intervals = slices.Clone(a.Intervals)
	return a
}

// isOrdered reports whether the intervals are in the order in which they happened.
func (a Account) isOrdered() bool {
	return slices.IsSortedFunc(a.Intervals, func(x, y Interval) int { return cmp.Compare(x.Index, y.Index) })
}

// mergeAccounts combines two reports of one incarnation: every interval that one of them has, as it
// was reported last. The result does not depend on the order of the reports, nor on how often one
// of them is merged.
func mergeAccounts(a, b Account) Account {
	older, newer := a, b
	if newer.LastSeen < older.LastSeen {
		older, newer = newer, older
	}
	merged := Account{
		Name:        newer.Name,
		Incarnation: newer.Incarnation,
		Started:     newer.Started,
		LastSeen:    newer.LastSeen,
		Intervals:   mergeIntervals(older.Intervals, newer.Intervals),
	}
	if count := len(merged.Intervals); count > 0 {
		merged.DroppedIntervals = merged.Intervals[count-1].Index + 1 - uint64(count)
	}
	return merged.latest(maxIntervals)
}

// mergeIntervals merges two ordered lists. Of an interval that both have, the one that ends later
// is kept, and the newer report's if they end at the same time.
func mergeIntervals(older, newer []Interval) []Interval {
	var merged []Interval
	for len(older) > 0 && len(newer) > 0 {
		switch {
		case older[0].Index < newer[0].Index:
			merged = append(merged, older[0])
			older = older[1:]
		case newer[0].Index < older[0].Index:
			merged = append(merged, newer[0])
			newer = newer[1:]
		default:
			longest := newer[0]
			if older[0].To > longest.To {
				longest = older[0]
			}
			merged = append(merged, longest)
			older = older[1:]
			newer = newer[1:]
		}
	}
	merged = append(merged, older...)
	return append(merged, newer...)
}
