package release

import (
	"slices"

	"swiftcourse/internal/policy/serving"
)

// CounterRow is what one server counted, as it reported it under a sequence number. See
// internal/policy/counter.
type CounterRow struct {
	ID       uint64                `json:"Row"`
	Sequence uint64                `json:"Number"`
	Cells    []serving.CounterCell // none where only the numbers matter
}

// ClosedRow returns the sequence number under which a counter row was added up, and whether it was.
func (l *Log) ClosedRow(id uint64) (sequence uint64, closed bool) {
	for i := len(l.ClosedRows) - 1; i >= 0; i-- {
		if l.ClosedRows[i].ID == id {
			return l.ClosedRows[i].Sequence, true
		}
	}
	return 0, false
}

func (l *Log) closeRows(rows []CounterRow) {
	for _, row := range rows {
		l.closeRow(row)
	}
}

// closeRow adds a counter row to the totals, once.
func (l *Log) closeRow(row CounterRow) {
	if _, closed := l.ClosedRow(row.ID); closed {
		return
	}
	if len(l.ClosedRows) >= maxClosedRows {
		// The oldest belongs to a server that was gone for thousands of restarts: see docs/shared.md.
		l.ClosedRows = append(l.ClosedRows[:0], l.ClosedRows[1:]...)
	}
	l.ClosedRows = append(l.ClosedRows, CounterRow{ID: row.ID, Sequence: row.Sequence})
	for _, count := range row.Cells {
		l.addToTotals(count)
	}
}

// addToTotals adds one cell. Once there are too many cells, a new one goes into the zero cell,
// which is for the rest.
func (l *Log) addToTotals(count serving.CounterCell) {
	cell := count.CounterKey
	index, known := l.findTotal(cell)
	if !known && len(l.ClosedTotals) >= maxCounterCells {
		cell = serving.CounterKey{}
		index, known = l.findTotal(cell)
	}
	if !known {
		l.ClosedTotals = slices.Insert(l.ClosedTotals, index, serving.CounterCell{CounterKey: cell})
	}
	l.ClosedTotals[index].RequestCounts = l.ClosedTotals[index].Add(count.RequestCounts)
}

// findTotal returns the index of a cell's total, or the one at which it is to be inserted.
func (l *Log) findTotal(cell serving.CounterKey) (index int, known bool) {
	compare := func(total serving.CounterCell, cell serving.CounterKey) int {
		return total.Compare(cell)
	}
	return slices.BinarySearchFunc(l.ClosedTotals, cell, compare)
}
