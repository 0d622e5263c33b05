package circuitbreaker

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Tally is what became of calls.
type Tally struct {
	Succeeded, Failed int
	SuccessSeconds    float64 // that the successful ones took together
}

func (t *Tally) add(other Tally) {
	t.Succeeded += other.Succeeded
	t.Failed += other.Failed
	t.SuccessSeconds += other.SuccessSeconds
}

func (t *Tally) calls() int { return t.Succeeded + t.Failed }

// valid reports whether a tally from another process can be true.
func (t *Tally) valid() bool {
	return t.Succeeded >= 0 && t.Failed >= 0 && t.Succeeded <= maxCalls && t.Failed <= maxCalls &&
		t.SuccessSeconds >= 0 && !math.IsInf(t.SuccessSeconds, 0)
}

// Report is what a server reports about its calls of the last 0.8 s.
type Report struct {
	Server      string
	Zone        string // "" where zones aren't used
	Incarnation uint64
	Sequence    uint64  // grows with each report of an incarnation
	AgeSeconds  float64 // since it was made, as those who relayed it held it
	Tally       Tally
}

const (
	// MaxReports bounds the servers whose reports are held: more votes would say the same.
	MaxReports = 128
	// maxCalls is what a report may tell of: a million a second. More can't be true.
	maxCalls = 2e6
	// minReportCalls is how many calls a report must tell of to have a vote.
	minReportCalls = 1
)

// receivedReport is a report and when it was made, by the clock here.
type receivedReport struct {
	Report
	madeAt float64
}

func (r *receivedReport) expired(now float64) bool { return now > r.madeAt+windowSeconds }

// HandleReport takes another server's report, and returns whether it counts. One that is older than the
// one that is held, or can't be true, changes nothing.
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

// acceptable reports whether a report can be true, and is recent. One from before the breaker became half
// open tells of a time that is over.
func (b *Breaker) acceptable(now float64, report *Report) bool {
	if report.Server == "" || report.Server == b.server || !report.Tally.valid() {
		return false
	}
	if !(report.AgeSeconds >= 0 && report.AgeSeconds < windowSeconds) {
		return false
	}
	return b.state != HalfOpen || report.AgeSeconds <= now-b.since
}

// expireReports drops reports that are too old to count.
func (b *Breaker) expireReports(now float64) {
	maps.DeleteFunc(b.reports, func(_ string, report *receivedReport) bool { return report.expired(now) })
}

// GossipReports lists the reports to send to other servers, at most so many: this server's own, where it
// made calls recently, and the newest that others sent.
func (b *Breaker) GossipReports(now float64, incarnation uint64, most int) []Report {
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
	for _, held := range others[:min(len(others), max(0, most-len(list)))] {
		report := held.Report
		report.AgeSeconds = max(0, now-held.madeAt)
		list = append(list, report)
	}
	return list
}
