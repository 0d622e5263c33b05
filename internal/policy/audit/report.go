package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
)

// maxRequestAgeSeconds is the age of a server's latest lease request above which the report lists
// the server as unreachable. Several lease requests are due in that time.
const maxRequestAgeSeconds = 10

// Reasons in the report for gaps and lagging servers.
const (
	reasonNoAccount   = "nobody who answered has its account"
	reasonSilent      = "nothing was heard of it after this"
	reasonNotReported = "not heard since this leader leads"
	reasonUnreachable = "absent or cut off"
	reasonApplying    = "on its way"
	ejectedPrefix     = "ejected: "
)

// Gap is a period for which no account of a server exists.
type Gap struct {
	Name        string
	Incarnation uint64  `json:"Life"` // 0 if unknown
	From        float64 // Unix seconds; 0 for the start of the server
	To          float64 // Unix seconds; 0 if no end is known
	Reason      string  `json:"Why"`
}

// LaggingServer is a server that is ejected or is not known to run its assigned version.
type LaggingServer struct {
	Name          string
	Incarnation   uint64        `json:"Life"`
	ActiveEpoch   release.Epoch `json:"On"`
	AssignedEpoch release.Epoch `json:"Right"`
	LagSeconds    float64       `json:"For"` // by the leader's clock
	Reason        string        `json:"Why"`
	// SilentSeconds is the time since the latest lease request if Reason is reasonUnreachable, else 0.
	SilentSeconds float64 `json:"Absent"`
}

// Report is the result of an audit.
type Report struct {
	NewestEpoch release.Epoch   `json:"Newest"`
	Accounts    []Account       // ordered by name, then by start
	Lagging     []LaggingServer `json:"Behind"`
	Gaps        []Gap           `json:"Holes"`
	Alarms      []string        // violated invariants, such as two digests for one epoch
}

// Evidence is the input of NewReport.
type Evidence struct {
	Log      *release.Log
	Servers  []lease.ServerStatus // from the leader's lease table
	Accounts []Account
	// Responding holds the incarnations that answered the request for their account.
	Responding map[uint64]bool
}

// NewReport compares the accounts with the release log and the lease table. The report omits
// intervals with an epoch before since.
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
		slices.SortFunc(incarnations, compareByStart)
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

// addIncarnations adds the accounts of one server and their gaps. The accounts must be ordered by
// start.
func (r *Report) addIncarnations(accounts []Account, responding map[uint64]bool, since release.Epoch) {
	for index, a := range accounts {
		r.addDroppedGap(a)
		if !responding[a.Incarnation] {
			r.addSilentGap(a, accounts[index+1:])
		}
		r.addAccount(a, since)
	}
}

// compareByStart orders the accounts of a server by start.
func compareByStart(a, b Account) int {
	return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.Incarnation, b.Incarnation))
}

func hasIncarnation(accounts []Account, incarnation uint64) bool {
	return slices.ContainsFunc(accounts, func(a Account) bool { return a.Incarnation == incarnation })
}

// addDroppedGap adds a gap for the intervals that were dropped from an account.
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

// addSilentGap adds a gap from the last report of an incarnation to the start of the next
// incarnation, or without an end if there is no later one.
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

// addAccount adds an account without its intervals with an epoch before since.
func (r *Report) addAccount(a Account, since release.Epoch) {
	isBefore := func(interval Interval) bool { return interval.Epoch < since }
	a.Intervals = slices.DeleteFunc(a.Intervals, isBefore)
	r.Accounts = append(r.Accounts, a)
}

// addIfLagging adds a server that is ejected or is not known to run its assigned version.
func (r *Report) addIfLagging(server lease.ServerStatus) {
	lagging := LaggingServer{
		Name:          server.Name,
		Incarnation:   server.Incarnation,
		ActiveEpoch:   server.ActiveEpoch,
		AssignedEpoch: server.AssignedEpoch,
		LagSeconds:    server.LaggingSeconds,
	}
	hasLag := server.ActiveEpoch != server.AssignedEpoch
	switch {
	case server.EjectionReason != "":
		lagging.Reason = ejectedPrefix + server.EjectionReason
	case !server.Reported:
		lagging.Reason = reasonNotReported
	case server.SecondsSinceRequest > maxRequestAgeSeconds:
		lagging.Reason = reasonUnreachable
		lagging.SilentSeconds = server.SecondsSinceRequest
	case hasLag && server.BlockedBy != "":
		lagging.Reason = server.BlockedBy
	case hasLag:
		lagging.Reason = reasonApplying
	default:
		return
	}
	r.Lagging = append(r.Lagging, lagging)
}
