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
	SuccessSeconds float64 // total duration of the successful calls
}

func (t *Tally) add(other Tally) {
	t.Succeeded += other.Succeeded
	t.Failed += other.Failed
	t.SuccessSeconds += other.SuccessSeconds
}

func (t *Tally) calls() int { return t.Succeeded + t.Failed }

// valid reports whether a tally received from another process is plausible.
func (t *Tally) valid() bool {
	return t.Succeeded >= 0 && t.Failed >= 0 && t.Succeeded <= maxPlausibleCalls && t.Failed <= maxPlausibleCalls &&
		t.SuccessSeconds >= 0 && !math.IsInf(t.SuccessSeconds, 0)
}

// Report contains the results of a server's calls in the last windowSeconds.
type Report struct {
	Server      string
	Zone        string // "" if zones are not used
	Incarnation uint64
	Sequence    uint64  // increases with each report of an incarnation
	AgeSeconds  float64 // time since it was created: the sum of the times that relaying servers held it
	Tally       Tally
}

const (
	// MaxReports bounds the reports held, one for each server. More votes would not change the
	// result.
	MaxReports = 128
	// maxPlausibleCalls is the largest plausible number of succeeded calls in a report, and that of
	// failed calls. It corresponds to more than a million calls a second.
	maxPlausibleCalls = 2e6
	// minReportCalls is the smallest number of calls with which a report is sent and has a vote.
	minReportCalls = 1
)

// receivedReport is another server's report with the time of its creation by the local clock.
type receivedReport struct {
	Report
	createdAt float64
}

func (r *receivedReport) expired(now float64) bool { return now > r.createdAt+windowSeconds }

// HandleReport stores another server's report and returns true. It ignores the report and returns
// false if the report is implausible or too old, is not newer than one held of the same
// incarnation, or comes from a further server while MaxReports reports are held.
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
	b.reports[report.Server] = &receivedReport{Report: report, createdAt: now - report.AgeSeconds}
	return true
}

// acceptable reports whether a report is plausible and recent. While the breaker is half open, a
// report created before it became half open is not acceptable.
func (b *Breaker) acceptable(now float64, report *Report) bool {
	if report.Server == "" || report.Server == b.server || !report.Tally.valid() {
		return false
	}
	if !(report.AgeSeconds >= 0 && report.AgeSeconds < windowSeconds) {
		return false
	}
	return b.state != HalfOpen || report.AgeSeconds <= now-b.stateSince
}

// expireReports removes reports that are too old to count.
func (b *Breaker) expireReports(now float64) {
	maps.DeleteFunc(b.reports, func(_ string, report *receivedReport) bool { return report.expired(now) })
}

// GossipReports returns the reports to send to other servers, at most maxReports: this server's own
// report, if calls ended in the window, and the newest reports of other servers.
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
		return cmp.Or(cmp.Compare(y.createdAt, x.createdAt), cmp.Compare(x.Server, y.Server))
	})
	for _, held := range others[:min(len(others), max(0, maxReports-len(list)))] {
		report := held.Report
		report.AgeSeconds = max(0, now-held.createdAt)
		list = append(list, report)
	}
	return list
}
