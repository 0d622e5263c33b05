package counter

import (
	"cmp"
	"maps"
	"slices"

	"swiftcourse/internal/policy/serving"
)

const (
	// lateSeconds is how long a server may report nothing new before a summary lists it.
	lateSeconds = 2 * idleReportInterval
	// maxLateReports bounds the late servers that a summary lists.
	maxLateReports = 64
)

// LateReport is a server that recently reported nothing. Its JSON keys are part of the control API.
type LateReport struct {
	Server            string  `json:"Name"`
	SilentSeconds     float64 `json:"Silent"`
	RequestsPerSecond float64 `json:"Rate"` // that it reported before
}

// Summary has the totals that an aggregator knows. They are a lower bound; how much they may lack is
// estimated. Its JSON keys are part of the control API.
type Summary struct {
	Total      []serving.CounterCell // since the fleet was bootstrapped
	LastMinute []serving.CounterCell `json:"Minute"` // reported in the last minute
	OpenRows   int                   `json:"Rows"`   // incarnations that reported, and whose rows aren't closed
	// LateReports are servers last heard of some seconds ago, the longest silent first.
	LateReports []LateReport `json:"Late"`
	// MaxMissing is how many requests servers may have counted since their last reports, at their rates.
	MaxMissing float64 `json:"Lacks"`
	// Recovering is true while the aggregator may lack rows that others have.
	Recovering bool `json:"Cold"`
	// IncompleteRecoveries is how many recoveries of this aggregator ended before enough others had sent all
	// of their rows. It is 1 at the fleet's first start.
	IncompleteRecoveries int `json:"Holes"`
	RejectedReports      int `json:"Refused"` // that no server can have counted
}

// Summary adds up what is known; closedTotals are the sums over closed rows.
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
			continue // it is among the closed totals
		}
		r := a.rows[rowID]
		summary.OpenRows++
		total.addAll(r.cells)
		missing.add(now, r)
		if now > r.lastGrowth+lateSeconds {
			summary.LateReports = append(summary.LateReports, r.lateReport(now))
		}
	}
	slices.SortStableFunc(summary.LateReports, func(x, y LateReport) int {
		return cmp.Compare(y.SilentSeconds, x.SilentSeconds)
	})
	summary.LateReports = summary.LateReports[:min(len(summary.LateReports), maxLateReports)]
	summary.MaxMissing = missing.total()
	summary.Total = total.sorted()
	summary.LastMinute = a.lastMinute(now).sorted()
	return summary
}

// lastMinute returns the sum over the window.
func (a *Aggregator) lastMinute(now float64) cells {
	sum := cells{}
	a.window.ForEach(now, func(bucket *cells) { sum.addAll(*bucket) })
	return sum
}

func (r *row) lateReport(now float64) LateReport {
	return LateReport{
		Server:            r.server,
		SilentSeconds:     now - r.lastGrowth,
		RequestsPerSecond: max(0, r.rate),
	}
}

// missingEstimate adds up what servers may have counted since their last reports.
type missingEstimate struct {
	requests       float64 // by rows whose rate is known
	rates          float64 // sum of those rates
	ratedRows      float64
	unratedSeconds float64 // since the last reports of all other rows
}

func (m *missingEstimate) add(now float64, r *row) {
	seconds := max(0, now-r.lastGrowth)
	if r.rate == unknownRate {
		m.unratedSeconds += seconds
		return
	}
	m.rates += r.rate
	m.ratedRows++
	m.requests += r.rate * seconds
}

// total returns the estimate; rows without a known rate count with the mean rate of the others.
func (m *missingEstimate) total() float64 {
	return m.requests + m.unratedSeconds*m.rates/max(1, m.ratedRows)
}
