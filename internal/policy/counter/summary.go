package counter

import (
	"cmp"
	"maps"
	"slices"

	"swiftcourse/internal/policy/serving"
)

const (
	// lateSeconds is how long a row may go without a new report before a summary lists its server
	// as late.
	lateSeconds = 2 * idleReportIntervalSeconds
	// maxLateReports bounds the late servers that a summary lists.
	maxLateReports = 64
)

// LateReport describes a server that has sent no new report for over lateSeconds. Its JSON keys are
// part of the control API.
type LateReport struct {
	Server            string  `json:"Name"`
	SilentSeconds     float64 `json:"Silent"` // time since its last new report
	RequestsPerSecond float64 `json:"Rate"`   // rate by its last report
}

// Summary has the totals that an aggregator knows. They are a lower bound; EstimatedMissing estimates how
// many requests they lack. Its JSON keys are part of the control API.
type Summary struct {
	Total      []serving.CounterCell // counts since the fleet was bootstrapped
	LastMinute []serving.CounterCell `json:"Minute"` // counts reported in the last minute
	OpenRows   int                   `json:"Rows"`   // rows not closed, one per reporting incarnation
	// LateReports are the servers without a recent report, those silent longest first.
	LateReports []LateReport `json:"Late"`
	// EstimatedMissing estimates how many requests the servers counted after their last reports, by the
	// rates of these reports.
	EstimatedMissing float64 `json:"Lacks"`
	// Recovering is true while the aggregator may lack rows that other aggregators have.
	Recovering bool `json:"Cold"`
	// IncompleteRecoveries is how many recoveries of this aggregator ended before enough other
	// aggregators had sent all of their rows. It is 1 after the first start of a fleet.
	IncompleteRecoveries int `json:"Holes"`
	RejectedReports      int `json:"Refused"` // reports with implausible counts
}

// Summary returns the sums over the open rows and closedTotals, which are the sums over closed
// rows.
func (a *Aggregator) Summary(now float64, closedTotals []serving.CounterCell) *Summary {
	summary := &Summary{
		Recovering:           a.Recovering(),
		IncompleteRecoveries: a.incompleteRecoveries,
		RejectedReports:      a.rejectedReports,
	}
	total := cells{}
	for _, cell := range closedTotals {
		total[cell.CounterKey] = cell.RequestCounts
	}
	missing := missingEstimate{}
	for _, rowID := range slices.Sorted(maps.Keys(a.rows)) {
		if a.isClosed(rowID) {
			continue // closedTotals includes it
		}
		r := a.rows[rowID]
		summary.OpenRows++
		total.addAll(r.cells)
		missing.add(now, r)
		if now > r.lastGrowthAt+lateSeconds {
			summary.LateReports = append(summary.LateReports, r.lateReport(now))
		}
	}
	slices.SortStableFunc(summary.LateReports, func(x, y LateReport) int {
		return cmp.Compare(y.SilentSeconds, x.SilentSeconds)
	})
	summary.LateReports = summary.LateReports[:min(len(summary.LateReports), maxLateReports)]
	summary.EstimatedMissing = missing.total()
	summary.Total = total.sorted()
	summary.LastMinute = a.lastMinute(now).sorted()
	return summary
}

// lastMinute returns the sum over the window's buckets.
func (a *Aggregator) lastMinute(now float64) cells {
	sum := cells{}
	a.window.ForEach(now, func(bucket *cells) { sum.addAll(*bucket) })
	return sum
}

func (r *row) lateReport(now float64) LateReport {
	return LateReport{
		Server:            r.server,
		SilentSeconds:     now - r.lastGrowthAt,
		RequestsPerSecond: max(0, r.rate),
	}
}

// missingEstimate estimates how many requests servers counted after their last reports.
type missingEstimate struct {
	requests       float64 // estimate for the rows whose rate is known
	rates          float64 // sum of those rates
	ratedRows      float64 // number of those rows
	unratedSeconds float64 // times since the last reports of all other rows, added up
}

func (m *missingEstimate) add(now float64, r *row) {
	seconds := max(0, now-r.lastGrowthAt)
	if r.rate == unknownRate {
		m.unratedSeconds += seconds
		return
	}
	m.rates += r.rate
	m.ratedRows++
	m.requests += r.rate * seconds
}

// total returns the estimate. Rows without a known rate count with the mean rate of the others.
func (m *missingEstimate) total() float64 {
	return m.requests + m.unratedSeconds*m.rates/max(1, m.ratedRows)
}
