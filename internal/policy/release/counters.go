package release

import (
	"slices"

	"swiftcourse/internal/policy/serving"
)

// CounterRow holds the request counts that one server reported under a sequence number. See
// internal/policy/counter.
type CounterRow struct {
	ID       uint64                `json:"Row"`
	Sequence uint64                `json:"Number"`
	Cells    []serving.CounterCell // nil in Log.ClosedRows
}

// ClosedRow reports whether a counter row was added to the totals, and with which sequence number.
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

// closeRow adds a counter row to the totals unless a row with the same ID was added before.
func (l *Log) closeRow(row CounterRow) {
	if _, closed := l.ClosedRow(row.ID); closed {
		return
	}
	if len(l.ClosedRows) >= maxClosedRows {
		// A row whose ID is dropped could be added a second time. This does not happen in practice:
		// maxClosedRows rows were closed later, so the server that reported the row no longer runs.
		l.ClosedRows = slices.Delete(l.ClosedRows, 0, 1)
	}
	l.ClosedRows = append(l.ClosedRows, CounterRow{ID: row.ID, Sequence: row.Sequence})
	for _, cell := range row.Cells {
		l.addToTotals(cell)
	}
}

// addToTotals adds one cell to the total of its key. Once there are maxCounterCells totals, a cell
// with a new key is added to the total of the zero key.
func (l *Log) addToTotals(cell serving.CounterCell) {
	key := cell.CounterKey
	index, known := l.findTotal(key)
	if !known && len(l.ClosedTotals) >= maxCounterCells {
		key = serving.CounterKey{}
		index, known = l.findTotal(key)
	}
	if !known {
		l.ClosedTotals = slices.Insert(l.ClosedTotals, index, serving.CounterCell{CounterKey: key})
	}
	l.ClosedTotals[index].RequestCounts = l.ClosedTotals[index].Add(cell.RequestCounts)
}

// findTotal returns the index of a key's total if there is one, otherwise the index at which to
// insert it.
func (l *Log) findTotal(key serving.CounterKey) (index int, known bool) {
	compare := func(total serving.CounterCell, key serving.CounterKey) int {
		return total.Compare(key)
	}
	return slices.BinarySearchFunc(l.ClosedTotals, key, compare)
}
