package counter

import (
	"maps"
	"slices"
)

// maxReplyCells go in one reply: some tens of kilobytes.
const maxReplyCells = 1024

// HandleQuery replies to another aggregator.
func (a *Aggregator) HandleQuery(now float64, query *RowQuery) *RowQueryReply {
	a.learnIncarnations(now, query.Aggregators)
	reply := &RowQueryReply{
		Number:      query.Number,
		Recovering:  a.Recovering(),
		Aggregators: slices.Clone(a.known),
	}
	builder := &replyBuilder{reply: reply, cellsLeft: maxReplyCells}
	if query.All {
		a.addAllRows(builder, query.After)
	} else {
		a.freezeRows(now, builder, query.Rows)
	}
	return reply
}

// replyBuilder fills a reply up to its size.
type replyBuilder struct {
	reply     *RowQueryReply
	cellsLeft int
}

// add appends a row and returns true, or notes that there are more and returns false. The first row always
// has room.
func (b *replyBuilder) add(r *row) bool {
	b.cellsLeft -= 1 + len(r.cells)
	if b.cellsLeft < 0 && len(b.reply.Rows) > 0 {
		b.reply.More = true
		return false
	}
	b.reply.Rows = append(b.reply.Rows, r.report())
	return true
}

// addAllRows adds the rows after that ID, in order, to a reply.
func (a *Aggregator) addAllRows(builder *replyBuilder, after uint64) {
	for _, rowID := range slices.Sorted(maps.Keys(a.rows)) {
		if rowID > after && !builder.add(a.rows[rowID]) {
			return
		}
	}
}

// freezeRows freezes rows that another aggregator is about to close, and adds to the reply those of which
// this one knows more.
func (a *Aggregator) freezeRows(now float64, builder *replyBuilder, rows []RowAck) {
	for _, asked := range rows {
		if a.isClosed(asked.RowID) {
			continue
		}
		if a.Recovering() || len(a.rows) >= maxRows {
			builder.reply.Recovering = true
			continue
		}
		r := a.freeze(now, asked.RowID)
		if r.sequence > asked.Sequence && !builder.add(r) {
			builder.reply.Recovering = true // it isn't all: the other one has to ask again
			return
		}
	}
}

// HandleQueryReply takes another aggregator's reply. It returns the rows that are to be closed now, none
// as long as too few have replied.
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
		a.noteRecovered(from, reply)
		return nil
	}
	return a.confirmClosing(from, reply)
}

// mergeRelayed takes a row that another aggregator has, and whether it is frozen there.
func (a *Aggregator) mergeRelayed(now float64, report *RowReport) {
	r := a.rows[report.RowID]
	if report.Sequence > 0 {
		r = a.merge(now, report)
	} else if r == nil && report.Closing && len(a.rows) < maxRows {
		r = a.addRow(now, report.RowID)
	}
	if r != nil && report.Closing {
		r.freezeAt(report.FrozenSequence)
	}
}
