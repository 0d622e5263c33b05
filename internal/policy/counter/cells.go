package counter

import (
	"slices"

	"swiftcourse/internal/policy/serving"
)

const (
	// maxRowCells bounds the pairs of tenant and class that a row counts separately, for example 60
	// classes of each of 16 tenants. All further pairs share one cell with an empty key.
	maxRowCells = 1024
	// maxReportCells is maxRowCells plus the shared cell.
	maxReportCells = maxRowCells + 1
)

// cells maps pairs of tenant and class to their request counts.
type cells map[serving.CounterKey]serving.RequestCounts

// sorted returns the cells sorted by key.
func (c cells) sorted() []serving.CounterCell {
	list := make([]serving.CounterCell, 0, len(c))
	for key, counts := range c {
		list = append(list, serving.CounterCell{CounterKey: key, RequestCounts: counts})
	}
	slices.SortFunc(list, func(a, b serving.CounterCell) int { return a.Compare(b.CounterKey) })
	return list
}

// add adds counts to a cell.
func (c cells) add(key serving.CounterKey, counts serving.RequestCounts) {
	c[key] = c[key].Add(counts)
}

// addAll adds the counts of all cells of other.
func (c cells) addAll(other cells) {
	for key, counts := range other {
		c.add(key, counts)
	}
}

// minus returns the differences between the cells and those of other, which must not be larger. It
// omits differences of zero.
func (c cells) minus(other cells) cells {
	left := cells{}
	for key, counts := range c {
		counts = counts.Sub(other[key])
		if counts != (serving.RequestCounts{}) {
			left[key] = counts
		}
	}
	return left
}

// changedSince returns the cells that differ from those of earlier.
func (c cells) changedSince(earlier cells) cells {
	changed := cells{}
	for key, counts := range c {
		if counts != earlier[key] {
			changed[key] = counts
		}
	}
	return changed
}
