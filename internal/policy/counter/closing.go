package counter

import (
	"maps"
	"slices"
)

const (
	// minSilenceSeconds is the time since the last report after which the row of a server that is
	// gone may be closed. It is twice idleReportIntervalSeconds, the longest interval between
	// reports of a running server.
	minSilenceSeconds = 10.0
	// closeIntervalSeconds is the time between searches for rows to close.
	closeIntervalSeconds = 1.0
	// maxClosedRows and maxClosedCells bound the rows closed in one round and the cells of these
	// rows. The first row of a round may exceed maxClosedCells.
	maxClosedRows  = 32
	maxClosedCells = 2048
	// The rows of the servers that run the aggregators are closed regularly, and the servers
	// continue with new rows. If all aggregators fail at the same time, the counts in closed rows
	// survive in the replicated log, because all servers have copies of it. The log grows with each
	// closed row, so the interval, in seconds, is replacementSecondsPerRow times the number of
	// rows, which bounds the growth of the log in a large fleet, and at least
	// minReplacementSeconds.
	replacementSecondsPerRow = 0.6
	minReplacementSeconds    = 60.0
)

// ServerGone reports whether an incarnation of a server is gone: the server's name belongs to
// another incarnation or to none.
type ServerGone func(server string, incarnation uint64) bool

// closeRound is the state of one round of closing rows, at the leader's aggregator. In a round, the
// aggregator queries the others for their copies of the rows, and they freeze these rows.
type closeRound struct {
	lastSearchAt        float64         // when rows to close were last searched for
	rows                []uint64        // IDs of the rows to close, nil if no round is in progress
	queriedIncarnations Incarnations    // incarnations of the aggregators when the queries were created
	confirmed           map[string]bool // by name: the other aggregators that have frozen the rows
}

// closeRows starts a round that closes the rows that may be closed. It returns the queries to the
// other aggregators or, if this aggregator alone is a majority, the rows to close.
func (a *Aggregator) closeRows(now float64, gone ServerGone) (queries []Envelope, toClose []RowReport) {
	query := &RowQuery{Number: a.queryNumber + 1}
	a.freezeClosableRows(now, gone, query)
	if a.closeRound.rows == nil {
		return nil, nil
	}
	a.queryNumber++
	clear(a.closeRound.confirmed)
	if a.majority == 1 {
		return nil, a.finishCloseRound()
	}
	a.closeRound.queriedIncarnations = slices.Clone(a.incarnations)
	query.Aggregators = a.closeRound.queriedIncarnations
	for _, name := range a.otherAggregators() {
		queries = append(queries, Envelope{To: name, Query: query})
	}
	return queries, nil
}

// freezeClosableRows freezes the rows that may be closed, up to maxClosedRows and maxClosedCells,
// and adds them to the round and to the query.
func (a *Aggregator) freezeClosableRows(now float64, gone ServerGone, query *RowQuery) {
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

// mayClose reports whether a row may be closed: it is frozen already, or it belongs to an
// aggregator's own server and is old enough to be replaced, or its server is gone.
func (a *Aggregator) mayClose(now float64, r *row, gone ServerGone) bool {
	replacementAge := max(minReplacementSeconds, replacementSecondsPerRow*float64(len(a.rows)))
	if r.frozen || now >= r.addedAt+replacementAge && slices.Contains(a.names, r.server) {
		return true
	}
	silent := r.onlyRelayed || now >= r.lastReportAt+minSilenceSeconds
	return silent && gone(r.server, r.incarnation)
}

// confirmClosing records that another aggregator has frozen the rows to close. Once a majority,
// including this aggregator, has frozen them, it returns the rows. A reply counts only while all
// aggregators have the incarnations that they had at the time of the query, because an aggregator
// that restarted has lost the reports that it acknowledged.
func (a *Aggregator) confirmClosing(from string, reply *RowQueryReply) []RowReport {
	if reply.Recovering || a.closeRound.rows == nil ||
		!slices.Equal(a.incarnations, a.closeRound.queriedIncarnations) ||
		!slices.Equal(a.incarnations, reply.Aggregators) {
		return nil
	}
	a.closeRound.confirmed[from] = true
	if 1+len(a.closeRound.confirmed) < a.majority {
		return nil
	}
	return a.finishCloseRound()
}

// finishCloseRound ends the round and returns the current content of its rows.
func (a *Aggregator) finishCloseRound() []RowReport {
	var list []RowReport
	for _, rowID := range a.closeRound.rows {
		if r := a.rows[rowID]; r != nil {
			list = append(list, r.report())
		}
	}
	a.closeRound.rows = nil
	return list
}
