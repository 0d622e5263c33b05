package counter

const (
	// maxRequestsPerSecond is the largest plausible request rate of a server, and maxBurstRequests
	// the largest plausible number of requests beyond that rate. A report by which a row grows by
	// more than both together is rejected, see maxGrowth.
	maxRequestsPerSecond = 1e6
	maxBurstRequests     = 1e7
	// unknownRate marks a rate that is not known yet.
	unknownRate = -1.0
)

// row is an aggregator's copy of a server's row.
type row struct {
	id          uint64
	server      string
	incarnation uint64 // incarnation of the server
	sequence    uint64 // number of the last merged report, 0 before the first one
	cells       cells
	// frozen is set when the leader's aggregator begins to close the row. The row may have been
	// added to the totals already, so no number above frozenSequence is ever acknowledged. This
	// keeps the server from taking the next number.
	frozen         bool
	frozenSequence uint64

	addedAt      float64 // when the row was added here
	lastReportAt float64 // when its server last sent a report, addedAt if it has sent none
	lastGrowthAt float64 // when a report with a higher number last arrived, or addedAt
	rate         float64 // requests a second by the last such report; unknownRate if not known yet
	onlyRelayed  bool    // no report arrived from the server itself, only relayed ones
}

func newRow(id uint64, now float64) *row {
	return &row{
		id:           id,
		cells:        cells{},
		addedAt:      now,
		lastReportAt: now,
		lastGrowthAt: now,
		rate:         unknownRate,
		onlyRelayed:  true,
	}
}

// freeze freezes the row at its current sequence number, unless it is frozen already.
func (r *row) freeze() {
	if !r.frozen {
		r.freezeAt(r.sequence)
	}
}

// freezeAt freezes the row at a sequence number, or at a lower one if it is frozen there already.
func (r *row) freezeAt(sequence uint64) {
	if !r.frozen || sequence < r.frozenSequence {
		r.frozen = true
		r.frozenSequence = sequence
	}
}

// report returns the report by which the row is relayed to other aggregators.
func (r *row) report() RowReport {
	return RowReport{
		Server:         r.server,
		Incarnation:    r.incarnation,
		RowID:          r.id,
		Sequence:       r.sequence,
		Frozen:         r.frozen,
		FrozenSequence: r.frozenSequence,
		Cells:          r.cells.sorted(),
	}
}

// canMerge reports whether a report can be merged into the row: its sequence number is higher than
// the row's, its base sequence number is not, and any earlier reports of the row came from the same
// server and incarnation.
func (r *row) canMerge(report *RowReport) bool {
	known := r.sequence > 0
	if known && (report.Server != r.server || report.Incarnation != r.incarnation) {
		return false
	}
	return report.Sequence > r.sequence && report.BaseSequence <= r.sequence
}

// growth is the difference between a report and the aggregator's copy of the row.
type growth struct {
	cells    cells
	requests uint64 // requests received, summed over the cells
}

// growthBy returns the counts that a report adds to the row. The report is invalid if it has the
// same cell twice, lacks a cell of the row, has a smaller count than the row, or has more cells or
// requests than a server can count.
func (r *row) growthBy(now float64, report *RowReport) (added growth, valid bool) {
	added.cells = cells{}
	alreadyKnown := 0
	for _, cell := range report.Cells {
		before, known := r.cells[cell.CounterKey]
		if known {
			alreadyKnown++
		}
		if _, duplicate := added.cells[cell.CounterKey]; duplicate || !cell.Covers(before) {
			return growth{}, false
		}
		difference := cell.Sub(before)
		added.cells[cell.CounterKey] = difference
		added.requests += difference.Received
	}
	lacksCells := report.BaseSequence == 0 && alreadyKnown < len(r.cells)
	cellCount := len(r.cells) + len(added.cells) - alreadyKnown
	tooFast := r.sequence > 0 && float64(added.requests) > r.maxGrowth(now)
	return added, !lacksCells && cellCount <= maxReportCells && !tooFast
}

// maxGrowth returns the largest plausible number of requests that the server received since the row
// last grew.
func (r *row) maxGrowth(now float64) float64 {
	return maxBurstRequests + maxRequestsPerSecond*max(0, now-r.lastGrowthAt)
}

// grow updates the row with a report and the growth calculated from it.
func (r *row) grow(now float64, report *RowReport, added growth) {
	if r.growthIsRecent(report) {
		r.rate = float64(added.requests) / max(now-r.lastGrowthAt, reportIntervalSeconds)
	}
	r.cells.addAll(added.cells)
	r.sequence = report.Sequence
	r.lastGrowthAt = now
}

// growthIsRecent reports whether the counts that a report adds were counted since the last report.
// This is not the case if the first report that arrives here is not the first one of the row.
func (r *row) growthIsRecent(report *RowReport) bool { return r.sequence > 0 || report.Sequence == 1 }
