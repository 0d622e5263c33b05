package counter

import (
	"slices"

	"swiftcourse/internal/policy/serving"
)

const (
	// reportInterval is how often a row's change is reported, in seconds: each change costs some hundred
	// bytes to each aggregator.
	reportInterval = 2.0
	// minRetryInterval is after how long a report is repeated to aggregators that didn't acknowledge it,
	// doubled each time up to maxRetryInterval.
	minRetryInterval, maxRetryInterval = 0.4, 6.0
	// idleReportInterval is how often a server reports that nothing changed, so that aggregators know
	// that they lack nothing.
	idleReportInterval = 5.0
	// never is a time after all others.
	never = 1e18
)

// Reporter is a server's side: it counts and reports to the aggregators.
type Reporter struct {
	server      string
	incarnation uint64
	aggregators []string
	majority    int

	counted    cells // since the incarnation began
	closedRows cells // of it, in rows of this incarnation that are closed
	rowCount   uint64

	sequence   uint64 // under which the row was reported last
	reported   cells  // the row as it is under that number
	previous   cells  // and under the number before, which a majority had
	acks       map[string]RowAck
	known      Incarnations // of the aggregators
	unreported bool         // something was counted since

	nextReport    float64
	nextRetry     float64
	retryInterval float64

	// Unaccounted is the number of requests, at most, in rows that were closed under a number from which
	// most aggregators had forgotten the next. They may be missing from the totals.
	Unaccounted uint64
}

// NewReporter begins the first row of an incarnation. Incarnations are random, so that rows of two of
// them never have the same ID.
func NewReporter(server string, incarnation uint64, aggregators []string, now float64) *Reporter {
	return &Reporter{
		server:      server,
		incarnation: incarnation,
		aggregators: aggregators,
		majority:    len(aggregators)/2 + 1,
		counted:     cells{},
		closedRows:  cells{},
		reported:    cells{},
		previous:    cells{},
		acks:        map[string]RowAck{},
		known:       make(Incarnations, len(aggregators)),
		nextReport:  now,
	}
}

// rowID is that of the present row.
func (r *Reporter) rowID() uint64 { return r.incarnation + r.rowCount }

// Add counts requests.
func (r *Reporter) Add(counts []serving.CounterCell) {
	for _, cell := range counts {
		key := cell.CounterKey
		if _, known := r.counted[key]; !known && len(r.counted) >= maxCells {
			key = serving.CounterKey{}
		}
		r.counted.add(key, cell.RequestCounts)
		r.unreported = true
	}
}

// acknowledged reports whether a majority has the row as it was reported last.
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

// acknowledgedBy reports whether an aggregator acknowledged the row as it was reported last, and knew the
// aggregators' incarnations as they are known now.
func (r *Reporter) acknowledgedBy(aggregator string) bool {
	ack, found := r.acks[aggregator]
	return found && ack.Sequence >= r.sequence && slices.Equal(ack.Aggregators, r.known)
}

// DueReports returns the reports that are due now, one for each aggregator that lacks something.
func (r *Reporter) DueReports(now float64) []Envelope {
	switch {
	case r.acknowledged() && now >= r.reportDue():
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

// nextSequence puts what was counted under the next number.
func (r *Reporter) nextSequence(now float64) {
	r.unreported = false
	r.nextReport = now + reportInterval
	r.previous = r.reported
	r.reported = r.counted.minus(r.closedRows)
	r.sequence++
	r.retryInterval = minRetryInterval
}

// reportDue is when the next number is due, as long as a majority has the last.
func (r *Reporter) reportDue() float64 {
	switch {
	case r.unreported:
		return r.nextReport
	case r.sequence > 0:
		return r.nextReport + idleReportInterval - reportInterval
	}
	return never // nothing was counted
}

// report is the row for an aggregator that has it under that number.
func (r *Reporter) report(acknowledged uint64) *RowReport {
	report := &RowReport{
		Server:      r.server,
		Incarnation: r.incarnation,
		RowID:       r.rowID(),
		Sequence:    r.sequence,
		Aggregators: slices.Clone(r.known),
	}
	content := r.reported
	if acknowledged > 0 && acknowledged >= r.sequence-1 {
		report.BaseSequence = r.sequence - 1
		content = r.reported.changedSince(r.previous)
	}
	report.Cells = content.sorted()
	return report
}

// HandleAck takes an aggregator's reply. A row that was closed while its server lived continues as
// another row, with what was counted beyond the number under which it was closed.
func (r *Reporter) HandleAck(now float64, from string, ack *RowAck) {
	if ack.RowID != r.rowID() || ack.Sequence > r.sequence || !slices.Contains(r.aggregators, from) {
		return
	}
	if ack.Closed {
		r.beginRow(now, ack.Sequence)
		return
	}
	r.known.merge(ack.Aggregators)
	r.acks[from] = *ack
}

// beginRow begins another row after the present one was closed under that number.
func (r *Reporter) beginRow(now float64, closedSequence uint64) {
	closed := r.reported
	if closedSequence < r.sequence {
		closed = r.previous
	}
	if closedSequence+1 < r.sequence { // a majority had the number after, and lost it
		for _, counts := range r.previous {
			r.Unaccounted += counts.Received
		}
	}
	r.closedRows.addAll(closed)
	r.rowCount++
	r.sequence = 0
	r.reported = cells{}
	r.previous = cells{}
	r.unreported = true
	r.nextReport = now
	clear(r.acks)
}

// NextWakeup is when DueReports is to be called, in seconds.
func (r *Reporter) NextWakeup() float64 {
	next := never
	if r.acknowledged() {
		next = r.reportDue()
	}
	if r.sequence > 0 && slices.ContainsFunc(r.aggregators, func(name string) bool { return !r.acknowledgedBy(name) }) {
		next = min(next, r.nextRetry)
	}
	return next
}

// CurrentRow is what was counted in the present row, and whether a majority has acknowledged all of it.
func (r *Reporter) CurrentRow() (row []serving.CounterCell, acknowledged bool) {
	return r.counted.minus(r.closedRows).sorted(), r.acknowledged() && !r.unreported
}
