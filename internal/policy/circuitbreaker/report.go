package circuitbreaker

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Tally counts the results of calls.
type Tally struct {
	Succeeded      int
	Failed         int
	SuccessSeconds float64 // total duration of the successful ones
}

func (t *Tally) add(other Tally) {
	t.Succeeded += other.Succeeded
	t.Failed += other.Failed
	t.SuccessSeconds += other.SuccessSeconds
}

func (t *Tally) calls() int { return t.Succeeded + t.Failed }

// valid reports whether a tally from another process is plausible.
func (t *Tally) valid() bool {
	return t.Succeeded >= 0 && t.Failed >= 0 && t.Succeeded <= maxCalls && t.Failed <= maxCalls &&
		t.SuccessSeconds >= 0 && !math.IsInf(t.SuccessSeconds, 0)
}

// Report is a server's report of its calls in the last windowSeconds.
type Report struct {
	Server      string
	Zone        string // "" if zones are not used
	Incarnation uint64
	Sequence    uint64  // grows with each report of an incarnation
	AgeSeconds  float64 // since it was made, as measured by the servers that relayed it
	Tally       Tally
}

const (
	// MaxReports bounds the servers whose reports are held: more votes would not change the result.
	MaxReports = 128
	// maxCalls is the most calls of a plausible report: over a million a second.
	maxCalls = 2e6
	// minReportCalls is how many calls a report must count to be sent and to have a vote.
	minReportCalls = 1
)

// receivedReport is a report of another server, and when it was made by the local clock.
type receivedReport struct {
	Report
	madeAt float64
}

func (r *receivedReport) expired(now float64) bool { return now > r.madeAt+windowSeconds }

// HandleReport stores another server's report and reports whether it did. It ignores a report that
// is not plausible or recent, one that is not newer than that held for the server, and one that
// there is no room for.
func (b *Breaker) HandleReport(now float64, report Report) bool {
	if !b.acceptable(now, &report) {
		return false
	}
	held := b.reports[report.Server]
	if held != nil && held.Incarnation == report.Incarnation && report.Sequence <= held.Sequence {
		return false
	}
	if held == nil && len(b.reports) >= MaxReports {
		b.expireReports(now)
		if len(b.reports) >= MaxReports {
			return false
		}
	}
	b.reports[report.Server] = &receivedReport{Report: report, madeAt: now - report.AgeSeconds}
	return true
}

// acceptable reports whether a report is plausible and recent. While the breaker is half open, reports from
// before that don't count.
func (b *Breaker) acceptable(now float64, report *Report) bool {
	if report.Server == "" || report.Server == b.server || !report.Tally.valid() {
		return false
	}
	if !(report.AgeSeconds >= 0 && report.AgeSeconds < windowSeconds) {
		return false
	}
	return b.state != HalfOpen || report.AgeSeconds <= now-b.stateSince
}

// expireReports drops reports that are too old to count.
func (b *Breaker) expireReports(now float64) {
	maps.DeleteFunc(b.reports, func(_ string, report *receivedReport) bool { return report.expired(now) })
}

// GossipReports returns the reports to send to other servers, at most maxReports of them: this
// server's own, if it made calls recently, and the newest of others.
func (b *Breaker) GossipReports(now float64, incarnation uint64, maxReports int) []Report {
	var list []Report
	if own := b.ownCalls(now); own.calls() >= minReportCalls {
		b.sequence++
		list = append(list, Report{
			Server:      b.server,
			Zone:        b.zone,
			Incarnation: incarnation,
			Sequence:    b.sequence,
			Tally:       own,
		})
	}
	b.expireReports(now)
	others := slices.SortedFunc(maps.Values(b.reports), func(x, y *receivedReport) int {
		return cmp.Or(cmp.Compare(y.madeAt, x.madeAt), cmp.Compare(x.Server, y.Server))
	})
	for _, held := range others[:min(len(others), max(0, maxReports-len(list)))] {
		report := held.Report
		report.AgeSeconds = max(0, now-held.madeAt)
		list = append(list, report)
	}
	return list
}
