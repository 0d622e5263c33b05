package counter

import (
	"maps"
	"slices"

	"swiftcourse/internal/timewindow"
)

const (
	// maxRows bounds the rows of an aggregator: those of the largest fleet, and as many incarnations that
	// are over. What is reported beyond that is refused.
	maxRows = 8192
	// windowBucketSeconds and windowBuckets make up the window of a minute.
	windowBucketSeconds = 5.0
	windowBuckets       = 12
)

// ClosedRow returns the number under which a row was closed, and whether it was.
type ClosedRow func(rowID uint64) (sequence uint64, closed bool)

// Aggregator is a voter's side: it holds the rows of all servers that are there.
type Aggregator struct {
	names     []string // of all aggregators, in order
	self      int      // index in names
	known     Incarnations
	majority  int // aggregators, itself among them
	closedRow ClosedRow
	rows      map[uint64]*row
	window    *timewindow.Buckets[cells]

	queryNumber uint64 // of the last query to the others
	recovery    recovery
	closing     closing

	rejectedReports      int
	incompleteRecoveries int
}

// NewAggregator returns an aggregator that has just started and knows nothing. Its incarnation must be
// higher than its earlier ones, as far as clocks allow.
func NewAggregator(
	name string, aggregators []string, incarnation uint64, closedRow ClosedRow, now float64,
) *Aggregator {
	names := slices.Sorted(slices.Values(aggregators))
	a := &Aggregator{
		names:       names,
		self:        slices.Index(names, name),
		known:       make(Incarnations, len(aggregators)),
		majority:    len(aggregators)/2 + 1,
		closedRow:   closedRow,
		rows:        map[uint64]*row{},
		window:      timewindow.New[cells](windowBuckets, windowBucketSeconds, now),
		queryNumber: incarnation, // so that no reply to an earlier incarnation is one to this
	}
	a.known[a.self] = incarnation
	a.beginRecovery(now)
	return a
}

// learnIncarnations takes over later incarnations of aggregators. Where somebody knows a later one of its
// own, this one began with a clock that is behind, and recovers anew under a number above that.
func (a *Aggregator) learnIncarnations(now float64, told Incarnations) {
	mine := a.known[a.self]
	a.known.merge(told)
	if latest := a.known[a.self]; latest != mine {
		a.known[a.self] = latest + 1
		a.beginRecovery(now)
	}
}

// IncompleteRecoveries counts how often it took itself for recovered without having heard enough others.
func (a *Aggregator) IncompleteRecoveries() int { return a.incompleteRecoveries }

// HandleReport takes a server's report and returns the reply.
func (a *Aggregator) HandleReport(now float64, report *RowReport) RowAck {
	a.learnIncarnations(now, report.Aggregators)
	ack := RowAck{RowID: report.RowID, Aggregators: slices.Clone(a.known)}
	ack.Sequence, ack.Closed = a.closedRow(report.RowID)
	if ack.Closed {
		delete(a.rows, report.RowID)
		return ack
	}
	r := a.rows[report.RowID]
	if r == nil || !r.closing {
		r = a.merge(now, report)
	}
	if r == nil {
		return ack
	}
	r.lastHeard = now
	r.relayed = false
	switch {
	case a.Recovering(): // that the row is closing may not be known here yet
	case r.closing:
		ack.Sequence = r.frozenSequence
	default:
		ack.Sequence = r.sequence
	}
	return ack
}

// merge takes a report into its row, which it returns; nil where the row is new and refused. Of two reports
// the one with the higher number is the later.
func (a *Aggregator) merge(now float64, report *RowReport) *row {
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

// acceptsRow reports whether a report of a row that isn't known here can be taken.
func (a *Aggregator) acceptsRow(report *RowReport) bool {
	return report.BaseSequence == 0 && report.Sequence != 0 && report.Server != "" &&
		len(a.rows) < maxRows && len(report.Cells) <= maxCells+1
}

// currentBucket is that of the window in which now falls.
func (a *Aggregator) currentBucket(now float64) cells {
	bucket := a.window.Current(now)
	if *bucket == nil {
		*bucket = cells{}
	}
	return *bucket
}

// addRow adds a row of which nothing is known.
func (a *Aggregator) addRow(now float64, rowID uint64) *row {
	added := newRow(rowID, now)
	a.rows[rowID] = added
	return added
}

// freeze has a row closed as it is here, also one of which nothing is known.
func (a *Aggregator) freeze(now float64, rowID uint64) *row {
	r := a.rows[rowID]
	if r == nil {
		r = a.addRow(now, rowID)
	}
	r.freeze()
	return r
}

// Maintain does what is due: a recovering aggregator asks the others for their rows; one that leads looks
// for rows whose servers are gone, and returns those to be closed now, as HandleQueryReply does. gone
// reports whether a name belongs to another incarnation by now, or to none.
func (a *Aggregator) Maintain(now float64, leads bool, gone Gone) (queries []Envelope, toClose []RowReport) {
	if a.Recovering() {
		return a.recoveryQueries(now), nil
	}
	if now < a.closing.lastSearch+closeInterval {
		return nil, nil
	}
	a.closing.lastSearch = now
	maps.DeleteFunc(a.rows, func(rowID uint64, _ *row) bool { return a.isClosed(rowID) })
	a.closing.rows = nil
	if !leads {
		return nil, nil
	}
	return a.closeRows(now, gone)
}

// isClosed reports whether a row is closed.
func (a *Aggregator) isClosed(rowID uint64) bool {
	_, closed := a.closedRow(rowID)
	return closed
}

// NextWakeup is when Maintain is to be called, in seconds.
func (a *Aggregator) NextWakeup() float64 {
	if a.Recovering() {
		return min(a.recovery.lastQuery+recoveryQueryInterval, a.recovery.began+maxRecoverySeconds)
	}
	return a.closing.lastSearch + closeInterval
}

// otherAggregators lists the names of all but this one.
func (a *Aggregator) otherAggregators() []string {
	return slices.Delete(slices.Clone(a.names), a.self, a.self+1)
}
