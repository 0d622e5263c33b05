package counter

const (
	// maxRequestRate is the most requests that a server may count in a second, and maxRequestBurst the most
	// beyond that rate: a report of more is refused.
	maxRequestRate  = 1e6
	maxRequestBurst = 1e7
	// unknownRate stands for a rate that is not known yet.
	unknownRate = -1.0
)

// row is an aggregator's copy of a server's row.
type row struct {
	id          uint64
	server      string
	incarnation uint64 // of the server
	sequence    uint64 // 0 if no report of it came yet
	cells       cells
	// closing is set once the row is to be closed, which the leader's aggregator does. It may have
	// been added to the totals already, so no number above frozenSequence is ever acknowledged: its
	// server can't take the next one.
	frozen         bool
	frozenSequence uint64

	firstHeard  float64
	lastHeard   float64 // from its server
	lastGrowth  float64 // when a higher number came
	rate        float64 // requests a second then, unknownRate before it is known
	onlyRelayed bool    // no report came from its server itself
}

func newRow(id uint64, now float64) *row {
	return &row{
		id:          id,
		cells:       cells{},
		firstHeard:  now,
		lastHeard:   now,
		lastGrowth:  now,
		rate:        unknownRate,
		onlyRelayed: true,
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

// report returns the row as it is relayed to other aggregators.
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

// continues reports whether a report can bring the row to a higher sequence number.
func (r *row) continues(report *RowReport) bool {
	known := r.sequence > 0
	if known && (report.Server != r.server || report.Incarnation != r.incarnation) {
		return false
	}
	return report.Sequence > r.sequence && report.BaseSequence <= r.sequence
}

// growth is the difference that a report makes to a row.
type growth struct {
	cells    cells
	requests uint64 // sum over the cells
}

// growthBy returns what a report adds to the row. The report is invalid if it has a cell twice,
// lacks a cell of the row, has a smaller count than the row, or more cells or requests than a
// server can count.
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

// maxGrowth returns how many requests a server can have counted since the row last grew.
func (r *row) maxGrowth(now float64) float64 {
	return maxRequestBurst + maxRequestRate*max(0, now-r.lastGrowth)
}

// grow adds the growth by a report to the row.
func (r *row) grow(now float64, report *RowReport, added growth) {
	if r.growthIsRecent(report) {
		r.rate = float64(added.requests) / max(now-r.lastGrowth, reportInterval)
	}
	r.cells.addAll(added.cells)
	r.sequence = report.Sequence
	r.lastGrowth = now
}

// growthIsRecent reports whether what a report adds was counted since the last one here. It is not if the row
// has grown for a while and is reported here for the first time.
func (r *row) growthIsRecent(report *RowReport) bool { return r.sequence > 0 || report.Sequence == 1 }
