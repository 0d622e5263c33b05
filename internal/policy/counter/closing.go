package counter

import (
	"maps"
	"slices"
)

const (
	// silentSeconds is how long a row must be without a report before it may be closed: twice
	// idleReportInterval, at which a running server reports.
	silentSeconds = 10.0
	// closeInterval is how often rows to be closed are looked for, in seconds.
	closeInterval = 1.0
	// maxClosedRows and maxClosedCells bound the rows closed in one round and their cells; the first row may
	// have more cells.
	maxClosedRows  = 32
	maxClosedCells = 2048
	// The rows of the aggregators' own servers are closed at intervals, as all aggregators may fail at once:
	// what is in the replicated log survives, because all servers have copies. The log grows with each closed
	// row. So the interval, in seconds, is renewalPerRow for each row, which bounds the growth for a large
	// fleet, and at least minRenewal.
	renewalPerRow = 0.6
	minRenewal    = 60.0
)

// ServerGone reports whether an incarnation of a server is over: its name belongs to another one or to none.
type ServerGone func(server string, incarnation uint64) bool

// closeRound is the state of closing rows whose servers are gone, at the leader's aggregator. It queries the
// others for what they have of the rows, which freezes the rows there.
type closeRound struct {
	lastSearch float64
	rows       []uint64        // IDs of the rows that the others were asked about, nil for none
	askedUnder Incarnations    // of the aggregators when they were asked
	confirmed  map[string]bool // the others that have replied
}

// closeRows begins to close the rows that may be closed. It returns the queries to the other aggregators or,
// if this one is a majority by itself, the rows.
func (a *Aggregator) closeRows(now float64, gone ServerGone) (queries []Envelope, toClose []RowReport) {
	query := &RowQuery{Number: a.queryNumber + 1}
	a.freezeAbandoned(now, gone, query)
	if a.closeRound.rows == nil {
		return nil, nil
	}
	a.queryNumber++
	clear(a.closeRound.confirmed)
	if a.majority == 1 {
		return nil, a.takeClosing()
	}
	a.closeRound.askedUnder = slices.Clone(a.incarnations)
	query.Aggregators = a.closeRound.askedUnder
	for _, name := range a.otherAggregators() {
		queries = append(queries, Envelope{To: name, Query: query})
	}
	return queries, nil
}

// freezeAbandoned freezes the rows that may be closed, up to maxClosedRows, and adds them to the query.
func (a *Aggregator) freezeAbandoned(now float64, gone ServerGone, query *RowQuery) {
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
		a.closeRound.rows = append(a.closeRound.rows, rowID)
		query.Rows = append(query.Rows, RowAck{RowID: rowID, Sequence: r.sequence})
	}
}

// mayClose reports whether a row is to be closed: it is frozen already, or it is old and its server is an
// aggregator, or its server is gone.
func (a *Aggregator) mayClose(now float64, r *row, gone ServerGone) bool {
	renewal := max(minRenewal, renewalPerRow*float64(len(a.rows)))
	if r.frozen || now >= r.firstHeard+renewal && slices.Contains(a.names, r.server) {
		return true
	}
	silent := r.onlyRelayed || now >= r.lastHeard+silentSeconds
	return silent && gone(r.server, r.incarnation)
}

// confirmClosing records that another aggregator has frozen the rows to close, and returns them
// once a majority has. A reply counts only while the incarnations of all aggregators are those of
// the query: one that restarted since has lost what it acknowledged.
func (a *Aggregator) confirmClosing(from string, reply *RowQueryReply) []RowReport {
	if reply.Recovering || a.closeRound.rows == nil || !slices.Equal(a.incarnations, a.closeRound.askedUnder) ||
		!slices.Equal(a.incarnations, reply.Aggregators) {
		return nil
	}
	a.closeRound.confirmed[from] = true
	if 1+len(a.closeRound.confirmed) < a.majority {
		return nil
	}
	return a.takeClosing()
}

// takeClosing ends the round and returns its rows as they are known now.
func (a *Aggregator) takeClosing() []RowReport {
	var list []RowReport
	for _, rowID := range a.closeRound.rows {
		if r := a.rows[rowID]; r != nil {
			list = append(list, r.report())
		}
	}
	a.closeRound.rows = nil
	return list
}
