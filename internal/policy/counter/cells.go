package counter

import (
	"slices"

	"swiftcourse/internal/policy/serving"
)

const (
	// maxRowCells bounds the tenants and classes that a row counts apart: there is room for sixty classes of
	// sixteen tenants. All others share one cell with an empty key.
	maxRowCells = 1024
	// maxReportCells is maxRowCells and the shared cell.
	maxReportCells = maxRowCells + 1
)

// cells are counts by tenant and class.
type cells map[serving.CounterKey]serving.RequestCounts

// sorted returns the cells in the order of their keys.
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

// addAll adds other cells.
func (c cells) addAll(other cells) {
	for key, counts := range other {
		c.add(key, counts)
	}
}

// minus returns the cells less other ones, none of which is larger, without those that become zero.
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

// changedSince returns the cells that differ from earlier ones.
func (c cells) changedSince(earlier cells) cells {
	changed := cells{}
	for key, counts := range c {
		if counts != earlier[key] {
			changed[key] = counts
		}
	}
	return changed
}
