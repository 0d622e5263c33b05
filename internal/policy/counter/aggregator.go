package counter

import (
	"maps"
	"slices"

	"swiftcourse/internal/timewindow"
)

const (
	// maxRows bounds the rows of an aggregator: one for each server of the largest fleet, and the
	// same number for earlier incarnations. Reports of further rows are ignored.
	maxRows = 8192
	// windowBucketSeconds times windowBuckets is the length of the window of Summary.LastMinute.
	windowBucketSeconds = 5.0
	windowBuckets       = 12
)

// ClosedRowLookup reports whether a row was closed, and returns the sequence number under which it
// was closed.
type ClosedRowLookup func(rowID uint64) (sequence uint64, closed bool)

// Aggregator collects the rows of all running servers. Each voter runs one.
type Aggregator struct {
	names        []string // names of all aggregators, sorted
	selfIndex    int      // index of this aggregator in names
	incarnations Incarnations
	majority     int // number of aggregators that form a majority, including this one
	closedRow    ClosedRowLookup
	rows         map[uint64]*row
	window       *timewindow.Buckets[cells]

	queryNumber uint64 // number of the last query to the other aggregators
	recovery    recovery
	closeRound  closeRound

	rejectedReports      int
	incompleteRecoveries int
}

// NewAggregator returns an aggregator without rows, which starts to recover the rows of the other
// aggregators. incarnation should be higher than those of earlier starts; learnIncarnations raises
// one that is too low because the clock was behind.
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
		queryNumber:  incarnation, // replies to an earlier incarnation never have this number
	}
	a.incarnations[a.selfIndex] = incarnation
	a.beginRecovery(now)
	return a
}

// learnIncarnations merges the aggregators' incarnations from a received message. If the message
// has a higher incarnation of this aggregator, this aggregator started with a clock that was
// behind. It then takes a still higher incarnation and recovers again.
func (a *Aggregator) learnIncarnations(now float64, received Incarnations) {
	own := a.incarnations[a.selfIndex]
	a.incarnations.merge(received)
	if latest := a.incarnations[a.selfIndex]; latest != own {
		a.incarnations[a.selfIndex] = latest + 1
		a.beginRecovery(now)
	}
}

// IncompleteRecoveries returns how many recoveries ended before enough other aggregators had sent
// all of their rows.
func (a *Aggregator) IncompleteRecoveries() int { return a.incompleteRecoveries }

// HandleReport merges a server's report into its row, unless the row is frozen or closed, and
// returns the reply.
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
	r.lastReportAt = now
	r.onlyRelayed = false
	switch {
	case a.Recovering(): // other aggregators may have frozen the row, so nothing is acknowledged
	case r.frozen:
		ack.Sequence = r.frozenSequence
	default:
		ack.Sequence = r.sequence
	}
	return ack
}

// mergeReport merges a report into its row if the report has a higher sequence number. It returns
// the row, or nil if there is no such row and the report may not add it.
func (a *Aggregator) mergeReport(now float64, report *RowReport) *row {
	target := a.rows[report.RowID]
	if target == nil {
		if !a.acceptsRow(report) {
			return nil
		}
		target = a.addRow(now, report.RowID)
	}
	if !target.canMerge(report) {
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

// acceptsRow reports whether a report may add a row that this aggregator does not have.
func (a *Aggregator) acceptsRow(report *RowReport) bool {
	return report.BaseSequence == 0 && report.Sequence != 0 && report.Server != "" &&
		len(a.rows) < maxRows && len(report.Cells) <= maxReportCells
}

// currentBucket returns the cells of the window's bucket that contains now.
func (a *Aggregator) currentBucket(now float64) cells {
	bucket := a.window.Current(now)
	if *bucket == nil {
		*bucket = cells{}
	}
	return *bucket
}

// addRow adds an empty row and returns it.
func (a *Aggregator) addRow(now float64, rowID uint64) *row {
	added := newRow(rowID, now)
	a.rows[rowID] = added
	return added
}

// freeze freezes a row at this aggregator's sequence number of it. It adds the row first if there
// is none.
func (a *Aggregator) freeze(now float64, rowID uint64) *row {
	r := a.rows[rowID]
	if r == nil {
		r = a.addRow(now, rowID)
	}
	r.freeze()
	return r
}

// Maintain does the periodic work: a recovering aggregator queries the others for their rows, and
// the leader's aggregator looks for rows whose servers are gone. It returns the queries to send
// and, like HandleQueryReply, the rows to close now.
func (a *Aggregator) Maintain(now float64, isLeader bool, gone ServerGone) (queries []Envelope, toClose []RowReport) {
	if a.Recovering() {
		return a.recoveryQueries(now), nil
	}
	if now < a.closeRound.lastSearchAt+closeIntervalSeconds {
		return nil, nil
	}
	a.closeRound.lastSearchAt = now
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

// NextWakeup returns the time, in seconds, at which Maintain should be called next.
func (a *Aggregator) NextWakeup() float64 {
	if a.Recovering() {
		return min(a.recovery.lastQueryAt+recoveryQueryIntervalSeconds, a.recovery.beganAt+maxRecoverySeconds)
	}
	return a.closeRound.lastSearchAt + closeIntervalSeconds
}

// otherAggregators returns the names of the other aggregators.
func (a *Aggregator) otherAggregators() []string {
	return slices.Delete(slices.Clone(a.names), a.selfIndex, a.selfIndex+1)
}
