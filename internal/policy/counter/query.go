package counter

import (
	"maps"
	"slices"
)

// maxReplyCells bounds the cells of one reply, unless its first row has more. It keeps a reply at a
// few tens of kilobytes.
const maxReplyCells = 1024

// HandleQuery returns the reply to another aggregator's query.
func (a *Aggregator) HandleQuery(now float64, query *RowQuery) *RowQueryReply {
	a.learnIncarnations(now, query.Aggregators)
	reply := &RowQueryReply{
		Number:      query.Number,
		Recovering:  a.Recovering(),
		Aggregators: slices.Clone(a.incarnations),
	}
	builder := &replyBuilder{reply: reply, cellsLeft: maxReplyCells}
	if query.AllRows {
		a.addAllRows(builder, query.AfterRowID)
	} else {
		a.freezeRows(now, builder, query.Rows)
	}
	return reply
}

// replyBuilder fills a reply with rows up to maxReplyCells.
type replyBuilder struct {
	reply     *RowQueryReply
	cellsLeft int
}

// add appends a row to the reply and returns true. If there is no room for it, add sets More and
// returns false. There is always room for the first row.
func (b *replyBuilder) add(r *row) bool {
	b.cellsLeft -= 1 + len(r.cells)
	if b.cellsLeft < 0 && len(b.reply.Rows) > 0 {
		b.reply.More = true
		return false
	}
	b.reply.Rows = append(b.reply.Rows, r.report())
	return true
}

// addAllRows adds the rows with IDs greater than after to a reply, in the order of their IDs.
func (a *Aggregator) addAllRows(builder *replyBuilder, after uint64) {
	for _, rowID := range slices.Sorted(maps.Keys(a.rows)) {
		if rowID > after && !builder.add(a.rows[rowID]) {
			return
		}
	}
}

// freezeRows freezes rows that another aggregator wants to close. It adds to the reply the rows of
// which this aggregator has a higher sequence number. If it can't freeze or add all of them, it
// sets Recovering, so that the other aggregator doesn't count the reply as a confirmation.
func (a *Aggregator) freezeRows(now float64, builder *replyBuilder, rows []RowAck) {
	for _, requestedRow := range rows {
		if a.isClosed(requestedRow.RowID) {
			continue
		}
		if a.Recovering() || len(a.rows) >= maxRows {
			builder.reply.Recovering = true // this row is not frozen here, so the reply must not count
			continue
		}
		r := a.freeze(now, requestedRow.RowID)
		if r.sequence > requestedRow.Sequence && !builder.add(r) {
			builder.reply.Recovering = true // the reply lacks rows: the sender has to ask again
			return
		}
	}
}

// HandleQueryReply processes another aggregator's reply. It returns the rows to close now, nil
// until a majority has frozen them.
func (a *Aggregator) HandleQueryReply(now float64, from string, reply *RowQueryReply) []RowReport {
	a.learnIncarnations(now, reply.Aggregators)
	if reply.Number != a.queryNumber || !slices.Contains(a.names, from) {
		return nil
	}
	for i := range reply.Rows {
		if !a.isClosed(reply.Rows[i].RowID) {
			a.mergeRelayed(now, &reply.Rows[i])
		}
	}
	if a.Recovering() {
		a.recordRecoveryReply(from, reply)
		return nil
	}
	return a.confirmClosing(from, reply)
}

// mergeRelayed merges a row relayed by another aggregator, and freezes it if the other one has
// frozen it.
func (a *Aggregator) mergeRelayed(now float64, report *RowReport) {
	r := a.rows[report.RowID]
	if report.Sequence > 0 {
		r = a.mergeReport(now, report)
	} else if r == nil && report.Frozen && len(a.rows) < maxRows {
		r = a.addRow(now, report.RowID)
	}
	if r != nil && report.Frozen {
		r.freezeAt(report.FrozenSequence)
	}
}
