package counter

import (
	"maps"
	"slices"
)

const (
	// silentSeconds is after how long a row that nobody reports may be closed, some times as long as a
	// living server takes to report again.
	silentSeconds = 10.0
	// closeInterval is how often rows to be closed are looked for, in seconds.
	closeInterval = 1.0
	// maxClosedRows, and cells of them, are closed at once.
	maxClosedRows  = 32
	maxClosedCells = 2048
	// Aggregators' own rows are closed now and then, as all aggregators may die at once: the replicated log,
	// of which all servers have copies, outlives them. It grows with each closed row, and is copied. So the
	// interval, in seconds, is renewalPerRow for each row, that a larger fleet has no more to copy, and
	// minRenewal at least.
	renewalPerRow = 0.6
	minRenewal    = 60.0
)

// Gone reports whether a server's name belongs to another incarnation by now, or to none.
type Gone func(server string, incarnation uint64) bool

// closing is how an aggregator that leads has rows closed whose servers are gone: the others are asked what
// they have of them, and accept no more of them from then on.
type closing struct {
	lastSearch float64
	rows       []uint64        // IDs of the rows that the others were asked about, nil for none
	askedUnder Incarnations    // as they were known then
	confirmed  map[string]bool // the others that have replied
}

// closeRows looks for rows to be closed. It returns the queries to the other aggregators; where it needs
// none of them for a majority, the rows themselves.
func (a *Aggregator) closeRows(now float64, gone Gone) (queries []Envelope, toClose []RowReport) {
	query := &RowQuery{Number: a.queryNumber + 1}
	a.freezeAbandoned(now, gone, query)
	if a.closing.rows == nil {
		return nil, nil
	}
	a.queryNumber++
	clear(a.closing.confirmed)
	if a.majority == 1 {
		return nil, a.takeClosing()
	}
	a.closing.askedUnder = slices.Clone(a.known)
	query.Aggregators = a.closing.askedUnder
	for _, name := range a.otherAggregators() {
		queries = append(queries, Envelope{To: name, Query: query})
	}
	return queries, nil
}

// freezeAbandoned freezes the rows that may be closed, as many as are closed at once, and adds them to the
// query.
func (a *Aggregator) freezeAbandoned(now float64, gone Gone, query *RowQuery) {
	cellCount := 0
	for _, rowID := range slices.Sorted(maps.Keys(a.rows)) {
		r := a.rows[rowID]
		if !a.mayClose(now, r, gone) {
			continue
		}
		cellCount += len(r.cells)
		if len(query.Rows) >= maxClosedRows || cellCount > maxClosedCells && len(query.Rows) > 0 {
			return
		}
		a.freeze(now, rowID)
		a.closing.rows = append(a.closing.rows, rowID)
		query.Rows = append(query.Rows, RowAck{RowID: rowID, Sequence: r.sequence})
	}
}

// mayClose reports whether a row is to be closed: it is frozen already, an aggregator's and old, or its
// server is gone.
func (a *Aggregator) mayClose(now float64, r *row, gone Gone) bool {
	renewal := max(minRenewal, renewalPerRow*float64(len(a.rows)))
	if r.closing || now >= r.firstHeard+renewal && slices.Contains(a.names, r.server) {
		return true
	}
	silent := r.relayed || now >= r.lastHeard+silentSeconds
	return silent && gone(r.server, r.incarnation)
}

// confirmClosing notes that another aggregator accepts no more of the rows that are to be closed, and
// returns them once a majority has. Aggregators' incarnations must be those under which it was asked: one
// that restarted meanwhile has forgotten what it accepted.
func (a *Aggregator) confirmClosing(from string, reply *RowQueryReply) []RowReport {
	if reply.Recovering || a.closing.rows == nil || !slices.Equal(a.known, a.closing.askedUnder) ||
		!slices.Equal(a.known, reply.Aggregators) {
		return nil
	}
	a.closing.confirmed[from] = true
	if 1+len(a.closing.confirmed) < a.majority {
		return nil
	}
	return a.takeClosing()
}

// takeClosing returns the rows to be closed, as they are known now.
func (a *Aggregator) takeClosing() []RowReport {
	var list []RowReport
	for _, rowID := range a.closing.rows {
		if r := a.rows[rowID]; r != nil {
			list = append(list, r.report())
		}
	}
	a.closing.rows = nil
	return list
}
