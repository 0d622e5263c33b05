package counter

const (
	// maxRequestRate is what a server may count in a second, and maxRequestBurst what it may count at
	// once after a pause: a report of more can't be true.
	maxRequestRate  = 1e6
	maxRequestBurst = 1e7
)

// row is a server's row at an aggregator.
type row struct {
	id          uint64
	server      string
	incarnation uint64 // of the server
	sequence    uint64 // 0 where nothing of the row is known
	cells       cells
	// closing is set once the row is to be closed. It may have been added to the totals already: no number
	// above frozenSequence is ever acknowledged, so that its server doesn't go on to another one. Whichever
	// aggregator leads sees to it that the row is closed.
	closing        bool
	frozenSequence uint64

	firstHeard float64
	lastHeard  float64 // from its server
	lastGrowth float64 // when a higher number came
	rate       float64 // requests a second at that time, negative as long as it isn't known
	relayed    bool    // only other aggregators reported it
}

func newRow(id uint64, now float64) *row {
	return &row{id: id, cells: cells{}, firstHeard: now, lastHeard: now, lastGrowth: now, rate: -1, relayed: true}
}

// freeze marks the row as to be closed, under its present number.
func (r *row) freeze() {
	if !r.closing {
		r.freezeAt(r.sequence)
	}
}

// freezeAt marks the row as to be closed, under no higher number than that.
func (r *row) freezeAt(sequence uint64) {
	if !r.closing || sequence < r.frozenSequence {
		r.closing = true
		r.frozenSequence = sequence
	}
}

// report is the row as it is relayed to other aggregators.
func (r *row) report() RowReport {
	return RowReport{
		Server:         r.server,
		Incarnation:    r.incarnation,
		RowID:          r.id,
		Sequence:       r.sequence,
		Closing:        r.closing,
		FrozenSequence: r.frozenSequence,
		Cells:          r.cells.sorted(),
	}
}

// continues reports whether a report brings the row to a higher number.
func (r *row) continues(report *RowReport) bool {
	known := r.sequence > 0
	if known && (report.Server != r.server || report.Incarnation != r.incarnation) {
		return false
	}
	return report.Sequence > r.sequence && report.BaseSequence <= r.sequence
}

// growth is what a report adds to a row.
type growth struct {
	cells    cells
	requests uint64 // sum over the cells
}

// growthBy checks a report against the row and returns what it adds. A report is refused, with false, if
// it has a cell twice, lacks one, has a smaller count than the row, or more than a server can count.
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
	return added, !lacksCells && cellCount <= maxCells+1 && !tooFast
}

// maxGrowth is how many requests a server can have counted since the row grew last.
func (r *row) maxGrowth(now float64) float64 {
	return maxRequestBurst + maxRequestRate*max(0, now-r.lastGrowth)
}

// grow adds what a report added.
func (r *row) grow(now float64, report *RowReport, added growth) {
	if r.growthIsRecent(report) {
		r.rate = float64(added.requests) / max(now-r.lastGrowth, reportInterval)
	}
	r.cells.addAll(added.cells)
	r.sequence = report.Sequence
	r.lastGrowth = now
}

// growthIsRecent reports whether what a report adds was counted since the row was heard of. It isn't where
// a row that has gone on for a while is reported here for the first time.
func (r *row) growthIsRecent(report *RowReport) bool { return r.sequence > 0 || report.Sequence == 1 }
