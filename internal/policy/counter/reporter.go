package counter

import (
	"slices"

	"swiftcourse/internal/policy/serving"
)

const (
	// reportInterval is the least time between reports of changes, in seconds: each report costs some
	// hundred bytes to each aggregator.
	reportInterval = 2.0
	// minRetryInterval is how soon, in seconds, a report is repeated to aggregators that did not acknowledge
	// it. The interval doubles each time, up to maxRetryInterval.
	minRetryInterval = 0.4
	maxRetryInterval = 6.0
	// idleReportInterval is how often, in seconds, a server reports that nothing changed, so that aggregators
	// know that they lack nothing.
	idleReportInterval = 5.0
	// never is a time after all others.
	never = 1e18
)

// Reporter counts the requests of a server and reports them to the aggregators. Each server has one.
type Reporter struct {
	server      string
	incarnation uint64
	aggregators []string
	majority    int

	counted    cells // since the incarnation began
	closedRows cells // the part of counted that is in closed rows of this incarnation
	rowCount   uint64

	sequence               uint64 // under which the row was reported last
	reported               cells  // the row as it is under that number
	previouslyReported     cells  // and under the number before, which a majority had
	acks                   map[string]RowAck
	aggregatorIncarnations Incarnations // of the aggregators
	unreported             bool         // something was counted since

	nextReport    float64
	nextRetry     float64
	retryInterval float64

	// Unaccounted is the most requests that the totals may lack: those in rows that were closed under a
	// lower number than a majority had acknowledged, as aggregators that restarted had lost the higher one.
	Unaccounted uint64
}

// NewReporter returns the reporter of an incarnation with an empty row. Incarnations must be random, so that
// rows of two of them never have the same ID.
func NewReporter(server string, incarnation uint64, aggregators []string, now float64) *Reporter {
	return &Reporter{
		server:                 server,
		incarnation:            incarnation,
		aggregators:            aggregators,
		majority:               len(aggregators)/2 + 1,
		counted:                cells{},
		closedRows:             cells{},
		reported:               cells{},
		previouslyReported:     cells{},
		acks:                   map[string]RowAck{},
		aggregatorIncarnations: make(Incarnations, len(aggregators)),
		nextReport:             now,
	}
}

// rowID returns the ID of the current row.
func (r *Reporter) rowID() uint64 { return r.incarnation + r.rowCount }

// Add counts requests.
func (r *Reporter) Add(counts []serving.CounterCell) {
	for _, cell := range counts {
		key := cell.CounterKey
		if _, known := r.counted[key]; !known && len(r.counted) >= maxRowCells {
			key = serving.CounterKey{}
		}
		r.counted.add(key, cell.RequestCounts)
		r.unreported = true
	}
}

// acknowledged reports whether a majority has acknowledged the latest sequence number.
func (r *Reporter) acknowledged() bool {
	if r.sequence == 0 {
		return true
	}
	count := 0
	for _, name := range r.aggregators {
		if r.acknowledgedBy(name) {
			count++
		}
	}
	return count >= r.majority
}

// acknowledgedBy reports whether an aggregator has acknowledged the latest sequence number under the
// incarnations of the aggregators that are known here.
func (r *Reporter) acknowledgedBy(aggregator string) bool {
	ack, found := r.acks[aggregator]
	return found && ack.Sequence >= r.sequence && slices.Equal(ack.Aggregators, r.aggregatorIncarnations)
}

// DueReports returns the reports that are due now, one for each aggregator that has not
// acknowledged the latest sequence number.
func (r *Reporter) DueReports(now float64) []Envelope {
	switch {
	case r.acknowledged() && now >= r.reportDueAt():
		r.nextSequence(now)
	case r.sequence > 0 && now >= r.nextRetry:
		r.retryInterval = min(2*r.retryInterval, maxRetryInterval)
	default:
		return nil
	}
	r.nextRetry = now + r.retryInterval
	var list []Envelope
	for _, name := range r.aggregators {
		if !r.acknowledgedBy(name) {
			list = append(list, Envelope{To: name, Report: r.report(r.acks[name].Sequence)})
		}
	}
	return list
}

// nextSequence takes the next sequence number for the row as it is now.
func (r *Reporter) nextSequence(now float64) {
	r.unreported = false
	r.nextReport = now + reportInterval
	r.previouslyReported = r.reported
	r.reported = r.counted.minus(r.closedRows)
	r.sequence++
	r.retryInterval = minRetryInterval
}

// reportDueAt returns when the next sequence number is due, provided that a majority has
// acknowledged the last.
func (r *Reporter) reportDueAt() float64 {
	switch {
	case r.unreported:
		return r.nextReport
	case r.sequence > 0:
		return r.nextReport + idleReportInterval - reportInterval
	}
	return never // nothing was counted
}

// report returns the report for an aggregator that has acknowledged the given sequence number, 0
// for none: the cells that changed since, if it is the last or the one before, or else the whole
// row.
func (r *Reporter) report(acknowledged uint64) *RowReport {
	report := &RowReport{
		Server:      r.server,
		Incarnation: r.incarnation,
		RowID:       r.rowID(),
		Sequence:    r.sequence,
		Aggregators: slices.Clone(r.aggregatorIncarnations),
	}
	content := r.reported
	if acknowledged > 0 && acknowledged >= r.sequence-1 {
		report.BaseSequence = r.sequence - 1
		content = r.reported.changedSince(r.previouslyReported)
	}
	report.Cells = content.sorted()
	return report
}

// HandleAck processes an aggregator's reply. If the row was closed, another one begins with what was counted
// beyond the sequence number under which it was closed.
func (r *Reporter) HandleAck(now float64, from string, ack *RowAck) {
	if ack.RowID != r.rowID() || ack.Sequence > r.sequence || !slices.Contains(r.aggregators, from) {
		return
	}
	if ack.Closed {
		r.beginRow(now, ack.Sequence)
		return
	}
	r.aggregatorIncarnations.merge(ack.Aggregators)
	r.acks[from] = *ack
}

// beginRow begins another row after the current one was closed under closedSequence.
func (r *Reporter) beginRow(now float64, closedSequence uint64) {
	closed := r.reported
	if closedSequence < r.sequence {
		closed = r.previouslyReported
	}
	if closedSequence+1 < r.sequence { // a majority had acknowledged the next one, and lost it
		for _, counts := range r.previouslyReported {
			r.Unaccounted += counts.Received
		}
	}
	r.closedRows.addAll(closed)
	r.rowCount++
	r.sequence = 0
	r.reported = cells{}
	r.previouslyReported = cells{}
	r.unreported = true
	r.nextReport = now
	clear(r.acks)
}

// NextWakeup returns when DueReports is to be called, in seconds.
func (r *Reporter) NextWakeup() float64 {
	next := never
	if r.acknowledged() {
		next = r.reportDueAt()
	}
	if r.sequence > 0 && slices.ContainsFunc(r.aggregators, func(name string) bool { return !r.acknowledgedBy(name) }) {
		next = min(next, r.nextRetry)
	}
	return next
}

// CurrentRow returns what was counted in the current row, and whether a majority has acknowledged all of it.
func (r *Reporter) CurrentRow() (row []serving.CounterCell, acknowledged bool) {
	return r.counted.minus(r.closedRows).sorted(), r.acknowledged() && !r.unreported
}
