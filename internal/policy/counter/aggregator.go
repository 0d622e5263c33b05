package counter

import (
	"maps"
	"slices"

	"swiftcourse/internal/timewindow"
)

const (
	// maxRows bounds the rows of an aggregator: one for each server of the largest fleet, and as many of
	// earlier incarnations. Reports of further rows are refused.
	maxRows = 8192
	// windowBucketSeconds times windowBuckets is the window of Summary.LastMinute.
	windowBucketSeconds = 5.0
	windowBuckets       = 12
)

// ClosedRowLookup returns the sequence number under which a row was closed, and whether it was closed.
type ClosedRowLookup func(rowID uint64) (sequence uint64, closed bool)

// Aggregator collects the rows of all running servers. Each voter has one.
type Aggregator struct {
	names        []string // of all aggregators, in order
	selfIndex    int      // index in names
	incarnations Incarnations
	majority     int // aggregators, itself among them
	closedRow    ClosedRowLookup
	rows         map[uint64]*row
	window       *timewindow.Buckets[cells]

	queryNumber uint64 // of the last query to the others
	recovery    recovery
	closeRound  closeRound

	rejectedReports      int
	incompleteRecoveries int
}

// NewAggregator returns an aggregator without rows, which recovers those of the others. Its
// incarnation should be higher than its earlier ones; learnIncarnations corrects one that a clock
// behind made too low.
func NewAggregator(
	name string, aggregators []string, incarnation uint64, closedRow ClosedRowLookup, now float64,
) *Aggregator {
	names := slices.Sorted(slices.Values(aggregators))
	a := &Aggregator{
		names:        names,
		selfIndex:    slices.Index(names, name),
		incarnations: make(Incarnations, len(aggregators)),
		majority:     len(aggregators)/2 + 1,
		closedRow:    closedRow,
		rows:         map[uint64]*row{},
		window:       timewindow.NewBuckets[cells](windowBuckets, windowBucketSeconds, now),
		queryNumber:  incarnation, // so that no reply to an earlier incarnation is one to this
	}
	a.incarnations[a.selfIndex] = incarnation
	a.beginRecovery(now)
	return a
}

// learnIncarnations merges incarnations of aggregators that a message carried. If they have a later
// one of this aggregator, it started with a clock that is behind: it takes a higher incarnation and
// recovers again.
func (a *Aggregator) learnIncarnations(now float64, received Incarnations) {
	own := a.incarnations[a.selfIndex]
	a.incarnations.merge(received)
	if latest := a.incarnations[a.selfIndex]; latest != own {
		a.incarnations[a.selfIndex] = latest + 1
		a.beginRecovery(now)
	}
}

// IncompleteRecoveries returns how many recoveries ended before enough other aggregators had sent their rows.
func (a *Aggregator) IncompleteRecoveries() int { return a.incompleteRecoveries }

// HandleReport merges a server's report into its row, unless that is frozen or closed, and returns the reply.
func (a *Aggregator) HandleReport(now float64, report *RowReport) RowAck {
	a.learnIncarnations(now, report.Aggregators)
	ack := RowAck{RowID: report.RowID, Aggregators: slices.Clone(a.incarnations)}
	ack.Sequence, ack.Closed = a.closedRow(report.RowID)
	if ack.Closed {
		delete(a.rows, report.RowID)
		return ack
	}
	r := a.rows[report.RowID]
	if r == nil || !r.frozen {
		r = a.mergeReport(now, report)
	}
	if r == nil {
		return ack
	}
	r.lastHeard = now
	r.onlyRelayed = false
	switch {
	case a.Recovering(): // the row may be frozen at others, which is not known here yet: acknowledge nothing
	case r.frozen:
		ack.Sequence = r.frozenSequence
	default:
		ack.Sequence = r.sequence
	}
	return ack
}

// mergeReport merges a report into its row, if its sequence number is higher than the row's. It returns the
// row, nil if the row is new and refused.
func (a *Aggregator) mergeReport(now float64, report *RowReport) *row {
	target := a.rows[report.RowID]
	if target == nil {
		if !a.acceptsRow(report) {
			return nil
		}
		target = a.addRow(now, report.RowID)
	}
	if !target.continues(report) {
		return target
	}
	target.server = report.Server
	target.incarnation = report.Incarnation
	added, valid := target.growthBy(now, report)
	if !valid {
		a.rejectedReports++
		return target
	}
	if target.growthIsRecent(report) {
		a.currentBucket(now).addAll(added.cells)
	}
	target.grow(now, report, added)
	return target
}

// acceptsRow reports whether a report may add a row that is not known here.
func (a *Aggregator) acceptsRow(report *RowReport) bool {
	return report.BaseSequence == 0 && report.Sequence != 0 && report.Server != "" &&
		len(a.rows) < maxRows && len(report.Cells) <= maxReportCells
}

// currentBucket returns the cells of the window's bucket for now.
func (a *Aggregator) currentBucket(now float64) cells {
	bucket := a.window.Current(now)
	if *bucket == nil {
		*bucket = cells{}
	}
	return *bucket
}

// addRow adds an empty row.
func (a *Aggregator) addRow(now float64, rowID uint64) *row {
	added := newRow(rowID, now)
	a.rows[rowID] = added
	return added
}

// freeze freezes a row at its sequence number here. A row that is not known is added first.
func (a *Aggregator) freeze(now float64, rowID uint64) *row {
	r := a.rows[rowID]
	if r == nil {
		r = a.addRow(now, rowID)
	}
	r.freeze()
	return r
}

// Maintain does the periodic work: a recovering aggregator queries the others for their rows, and
// the leader's looks for rows whose servers are gone. It returns the queries to send and, like
// HandleQueryReply, the rows to close now.
func (a *Aggregator) Maintain(now float64, isLeader bool, gone ServerGone) (queries []Envelope, toClose []RowReport) {
	if a.Recovering() {
		return a.recoveryQueries(now), nil
	}
	if now < a.closeRound.lastSearch+closeInterval {
		return nil, nil
	}
	a.closeRound.lastSearch = now
	maps.DeleteFunc(a.rows, func(rowID uint64, _ *row) bool { return a.isClosed(rowID) })
	a.closeRound.rows = nil
	if !isLeader {
		return nil, nil
	}
	return a.closeRows(now, gone)
}

// isClosed reports whether a row is closed.
func (a *Aggregator) isClosed(rowID uint64) bool {
	_, closed := a.closedRow(rowID)
	return closed
}

// NextWakeup returns when Maintain is to be called, in seconds.
func (a *Aggregator) NextWakeup() float64 {
	if a.Recovering() {
		return min(a.recovery.lastQuery+recoveryQueryInterval, a.recovery.began+maxRecoverySeconds)
	}
	return a.closeRound.lastSearch + closeInterval
}

// otherAggregators returns the names of all aggregators but this one.
func (a *Aggregator) otherAggregators() []string {
	return slices.Delete(slices.Clone(a.names), a.selfIndex, a.selfIndex+1)
}
