package counter

import (
	"slices"

	"swiftcourse/internal/policy/serving"
)

const (
	// reportIntervalSeconds is the shortest time between reports of changes. It limits the traffic:
	// each report is a few hundred bytes to each aggregator.
	reportIntervalSeconds = 2.0
	// minRetryIntervalSeconds is the time until a report is first repeated to aggregators that have
	// not acknowledged it. It doubles with each repetition, up to maxRetryIntervalSeconds.
	minRetryIntervalSeconds = 0.4
	maxRetryIntervalSeconds = 6.0
	// idleReportIntervalSeconds is the time between reports while counts don't change. Such reports
	// tell the aggregators that they have all counts.
	idleReportIntervalSeconds = 5.0
	// neverSeconds is the time of an event that is not due at all, later than any other time.
	neverSeconds = 1e18
)

// Reporter counts the requests of a server and reports them to the aggregators. Each server has
// one.
type Reporter struct {
	server      string
	incarnation uint64
	aggregators []string
	majority    int

	counted    cells  // all counts since the incarnation began
	closedRows cells  // the part of counted that is in closed rows of this incarnation
	rowCount   uint64 // number of closed rows of this incarnation

	sequence               uint64            // number of the last report, 0 before the first one
	reported               cells             // the row's content under sequence
	previouslyReported     cells             // the row's content under sequence-1, acknowledged by a majority
	acks                   map[string]RowAck // the last one of each aggregator, by name
	aggregatorIncarnations Incarnations
	unreported             bool // whether counts were added after the last report

	nextReportAt         float64
	nextRetryAt          float64
	retryIntervalSeconds float64

	// UnaccountedRequests is an upper bound on the requests that the totals lack: those in rows that were
	// closed under a lower number than a majority had acknowledged. This happens if aggregators
	// that acknowledged the higher number restarted and lost it.
	UnaccountedRequests uint64
}

// NewReporter returns the reporter of a server's incarnation, with an empty row. Incarnations must
// be random so that rows of two incarnations never have the same ID.
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
		nextReportAt:           now,
	}
}

// rowID returns the ID of the current row. The rows of an incarnation have consecutive IDs.
func (r *Reporter) rowID() uint64 { return r.incarnation + r.rowCount }

// Add adds request counts to the current row.
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

// acknowledgedBy reports whether an aggregator has acknowledged the latest sequence number. The
// acknowledgement counts only if it carries the aggregators' incarnations that this reporter knows.
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
	case r.sequence > 0 && now >= r.nextRetryAt:
		r.retryIntervalSeconds = min(2*r.retryIntervalSeconds, maxRetryIntervalSeconds)
	default:
		return nil
	}
	r.nextRetryAt = now + r.retryIntervalSeconds
	var list []Envelope
	for _, name := range r.aggregators {
		if !r.acknowledgedBy(name) {
			list = append(list, Envelope{To: name, Report: r.report(r.acks[name].Sequence)})
		}
	}
	return list
}

// nextSequence assigns the next sequence number to the current content of the row.
func (r *Reporter) nextSequence(now float64) {
	r.unreported = false
	r.nextReportAt = now + reportIntervalSeconds
	r.previouslyReported = r.reported
	r.reported = r.counted.minus(r.closedRows)
	r.sequence++
	r.retryIntervalSeconds = minRetryIntervalSeconds
}

// reportDueAt returns when a report with the next sequence number is due, provided that a majority
// has acknowledged the last number.
func (r *Reporter) reportDueAt() float64 {
	switch {
	case r.unreported:
		return r.nextReportAt
	case r.sequence > 0:
		return r.nextReportAt + idleReportIntervalSeconds - reportIntervalSeconds
	}
	return neverSeconds // nothing was counted
}

// report returns the report for an aggregator that has acknowledged the given sequence number, 0
// for none. If that is r.sequence or r.sequence-1, the report has the cells that changed between
// these two numbers; otherwise it has the whole row.
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

// HandleAck processes an aggregator's reply. If the row was closed, HandleAck begins a new row with
// the counts that are not in the closed row.
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

// beginRow begins a new row after the current row was closed under closedSequence.
func (r *Reporter) beginRow(now float64, closedSequence uint64) {
	closed := r.reported
	if closedSequence < r.sequence {
		closed = r.previouslyReported
	}
	if closedSequence+1 < r.sequence { // a majority had acknowledged a higher number that was lost
		for _, counts := range r.previouslyReported {
			r.UnaccountedRequests += counts.Received
		}
	}
	r.closedRows.addAll(closed)
	r.rowCount++
	r.sequence = 0
	r.reported = cells{}
	r.previouslyReported = cells{}
	r.unreported = true
	r.nextReportAt = now
	clear(r.acks)
}

// NextWakeup returns the time, in seconds, at which DueReports should be called next.
func (r *Reporter) NextWakeup() float64 {
	next := neverSeconds
	if r.acknowledged() {
		next = r.reportDueAt()
	}
	if r.sequence > 0 && slices.ContainsFunc(r.aggregators, func(name string) bool { return !r.acknowledgedBy(name) }) {
		next = min(next, r.nextRetryAt)
	}
	return next
}

// CurrentRow returns the counts in the current row, and whether a majority has acknowledged all of
// them.
func (r *Reporter) CurrentRow() (row []serving.CounterCell, acknowledged bool) {
	return r.counted.minus(r.closedRows).sorted(), r.acknowledged() && !r.unreported
}
