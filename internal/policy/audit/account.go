package audit

import (
	"cmp"
	"slices"

	"swiftcourse/internal/policy/release"
)

// Interval is a period in which a server ran one version.
type Interval struct {
	Index    uint64        `json:"N"` // number of earlier intervals of the same incarnation
	Epoch    release.Epoch // 0 while the server runs its own settings file, with no version assigned
	Digest   string
	From     float64 // Unix seconds
	To       float64 // Unix seconds; for the latest interval, the time of its last update
	Batches  uint64  // decision batches in the interval, see serving.VersionStats
	Requests uint64  `json:"Tasks"` // requests in these batches
	Reason   string  `json:"Why"`   // why the interval began
}

// Account is the report of one incarnation of a server on the versions that it ran.
type Account struct {
	Name             string
	Incarnation      uint64  `json:"Life"`
	Started          float64 // Unix seconds
	LastSeen         float64 `json:"Seen"`    // end of the reported time, in Unix seconds
	DroppedIntervals uint64  `json:"Dropped"` // number of older intervals that are not included
	Intervals        []Interval
}

// latest returns a copy of the account with only the latest intervals, at most count.
func (a Account) latest(count int) Account {
	if excess := len(a.Intervals) - count; excess > 0 {
		a.DroppedIntervals += uint64(excess)
		a.Intervals = a.Intervals[excess:]
	}
	a.Intervals = slices.Clone(a.Intervals)
	return a
}

// isOrdered reports whether the intervals are ordered by Index.
func (a Account) isOrdered() bool {
	return slices.IsSortedFunc(a.Intervals, func(x, y Interval) int { return cmp.Compare(x.Index, y.Index) })
}

// mergeAccounts combines two reports of one incarnation. The result has every interval that is in
// either report, in its latest reported state. It depends neither on the order of the reports nor
// on how often a report is merged.
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

// mergeIntervals merges two ordered lists. If both lists have an interval, it keeps the one that
// ends later, or the one from the newer report if both end at the same time.
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
			latest := newer[0]
			if older[0].To > latest.To {
				latest = older[0]
			}
			merged = append(merged, latest)
			older = older[1:]
			newer = newer[1:]
		}
	}
	merged = append(merged, older...)
	return append(merged, newer...)
}
