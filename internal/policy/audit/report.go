package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
)

// maxReportAgeSeconds is how old the latest report of a server may be before the server counts as
// silent: the time of a few lease requests.
const maxReportAgeSeconds = 10

// The reasons of gaps and of lagging servers, as operators read them.
const (
	reasonNoAccount   = "nobody who answered has its account"
	reasonSilent      = "nothing was heard of it after this"
	reasonNotReported = "not heard since this leader leads"
	reasonNoHeartbeat = "absent or cut off"
	reasonApplying    = "on its way"
	ejectedPrefix     = "ejected: "
)

// Gap is a period for which there is no evidence.
type Gap struct {
	Name        string
	Incarnation uint64  `json:"Life"` // 0 where no incarnation is known
	From        float64 // Unix seconds; 0 for the start of the server
	To          float64 // Unix seconds; 0 where no end is known
	Reason      string  `json:"Why"`
}

// LaggingServer is a server that does not act on its assigned version.
type LaggingServer struct {
	Name          string
	Incarnation   uint64        `json:"Life"`
	ActiveEpoch   release.Epoch `json:"On"`
	AssignedEpoch release.Epoch `json:"Right"`
	LagSeconds    float64       `json:"For"` // as the leader saw it
	Reason        string        `json:"Why"`
	SilentSeconds float64       `json:"Absent"` // time without a report, where that is the reason
}

// Report is the result of an audit.
type Report struct {
	NewestEpoch release.Epoch   `json:"Newest"`
	Accounts    []Account       // by name, then by start
	Lagging     []LaggingServer `json:"Behind"`
	Gaps        []Gap           `json:"Holes"`
	Alarms      []string        // violations of an invariant, such as two digests of one epoch
}

// Evidence is what an audit compares.
type Evidence struct {
	Log      *release.Log
	Servers  []lease.ServerStatus // from the lease table of the leader
	Accounts []Account
	// Responding holds the incarnations that reported themselves just now.
	Responding map[uint64]bool
}

// NewReport compares the accounts with the release log and the lease table. Intervals under
// versions of epochs before since are left out.
func NewReport(evidence Evidence, since release.Epoch) Report {
	report := Report{NewestEpoch: evidence.Log.NewestEpoch()}
	trail := NewTrail("", 0, 0)
	for _, a := range evidence.Accounts {
		trail.Merge(a)
	}
	digests := digestTable{}
	digests.addLog(evidence.Log)
	for _, name := range slices.Sorted(maps.Keys(trail.others)) {
		incarnations := trail.others[name]
		slices.SortFunc(incarnations, byStart)
		for _, a := range incarnations {
			digests.addAccount(a)
		}
		report.addIncarnations(incarnations, evidence.Responding, since)
	}
	for _, server := range evidence.Servers {
		if !hasIncarnation(trail.others[server.Name], server.Incarnation) {
			report.Gaps = append(report.Gaps, Gap{
				Name:        server.Name,
				Incarnation: server.Incarnation,
				Reason:      reasonNoAccount,
			})
		}
		report.addIfLagging(server)
	}
	report.Alarms = digests.conflicts()
	return report
}

// addIncarnations adds the accounts of one server, which are in the order of their start, and their
// gaps.
func (r *Report) addIncarnations(accounts []Account, responding map[uint64]bool, since release.Epoch) {
	for index, a := range accounts {
		r.addDroppedGap(a)
		if !responding[a.Incarnation] {
			r.addSilentGap(a, accounts[index+1:])
		}
		r.addAccount(a, since)
	}
}

// byStart orders the incarnations of a server.
func byStart(a, b Account) int {
	return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.Incarnation, b.Incarnation))
}

func hasIncarnation(accounts []Account, incarnation uint64) bool {
	return slices.ContainsFunc(accounts, func(a Account) bool { return a.Incarnation == incarnation })
}

// addDroppedGap adds the time of the intervals that an account does not have any more.
func (r *Report) addDroppedGap(a Account) {
	if a.DroppedIntervals == 0 {
		return
	}
	end := a.LastSeen
	if len(a.Intervals) > 0 {
		end = a.Intervals[0].From
	}
	r.Gaps = append(r.Gaps, Gap{
		Name:        a.Name,
		Incarnation: a.Incarnation,
		From:        a.Started,
		To:          end,
		Reason:      fmt.Sprintf("%d intervals are not kept", a.DroppedIntervals),
	})
}

// addSilentGap adds the time after the last report of an incarnation, up to the start of the first
// later one.
func (r *Report) addSilentGap(a Account, later []Account) {
	gap := Gap{
		Name:        a.Name,
		Incarnation: a.Incarnation,
		From:        a.LastSeen,
		Reason:      reasonSilent,
	}
	if len(later) > 0 {
		gap.To = later[0].Started
	}
	r.Gaps = append(r.Gaps, gap)
}

// addAccount adds an account without its intervals of epochs before since.
func (r *Report) addAccount(a Account, since release.Epoch) {
	isBefore := func(interval Interval) bool { return interval.Epoch < since }
	a.Intervals = slices.DeleteFunc(a.Intervals, isBefore)
	r.Accounts = append(r.Accounts, a)
}

// addIfLagging adds a server that does not act on its assigned version, or is not known to.
func (r *Report) addIfLagging(server lease.ServerStatus) {
	lagging := LaggingServer{
		Name:          server.Name,
		Incarnation:   server.Incarnation,
		ActiveEpoch:   server.ActiveEpoch,
		AssignedEpoch: server.AssignedEpoch,
		LagSeconds:    server.SecondsBehind,
	}
	hasLag := server.ActiveEpoch != server.AssignedEpoch
	switch {
	case server.EjectionReason != "":
		lagging.Reason = ejectedPrefix + server.EjectionReason
	case !server.Reported:
		lagging.Reason = reasonNotReported
	case server.SecondsSinceHeard > maxReportAgeSeconds:
		lagging.Reason = reasonNoHeartbeat
		lagging.SilentSeconds = server.SecondsSinceHeard
	case hasLag && server.BlockedBy != "":
		lagging.Reason = server.BlockedBy
	case hasLag:
		lagging.Reason = reasonApplying
	default:
		return
	}
	r.Lagging = append(r.Lagging, lagging)
}
