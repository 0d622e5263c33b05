package lease

import (
	"cmp"
	"slices"

	"swiftcourse/internal/policy/release"
)

// ServerStatus is a leader's view of the owner of one name, for operators. The control API encodes
// it with the keys in the tags.
type ServerStatus struct {
	Name        string
	Incarnation uint64 `json:"Life"`
	// ActiveEpoch is the version that the server runs, AssignedEpoch the version that it has to
	// run.
	ActiveEpoch   release.Epoch `json:"Epoch"`
	AssignedEpoch release.Epoch `json:"Right"`
	// SecondsSinceRequest is the age of the server's latest request.
	SecondsSinceRequest float64 `json:"Heard"`
	// LaggingSeconds is the time for which the server has been lagging, 0 if it is not lagging.
	LaggingSeconds float64 `json:"Behind"`
	BlockedBy      string  `json:"Stuck"`
	// EjectionReason is the reason why the server is ejected, "" if it is not ejected.
	EjectionReason string `json:"Out"`
	Build          string
	// Reported says whether the server sent a request in this leader's term. If it did not, only
	// Name, Incarnation, AssignedEpoch and EjectionReason are set.
	Reported bool `json:"Known"`
}

// ServerStatuses returns the status of each registered name, ordered by name.
func (g *Grantor) ServerStatuses(now float64, releaseLog *release.Log) []ServerStatus {
	statuses := make([]ServerStatus, 0, len(releaseLog.Members))
	for name, incarnation := range releaseLog.Members {
		statuses = append(statuses, g.serverStatus(now, releaseLog, name, incarnation))
	}
	slices.SortFunc(statuses, func(a, b ServerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return statuses
}

func (g *Grantor) serverStatus(
	now float64, releaseLog *release.Log, name string, incarnation uint64,
) ServerStatus {
	status := ServerStatus{
		Name:          name,
		Incarnation:   incarnation,
		AssignedEpoch: releaseLog.VersionFor(name).Epoch,
	}
	if ejection, ejected := ejectionOf(releaseLog, name, incarnation); ejected {
		status.EjectionReason = ejection.Reason
	}
	record := g.servers[name]
	if record == nil || record.incarnation != incarnation {
		return status
	}
	status.Reported = true
	status.ActiveEpoch = record.activeEpoch
	status.SecondsSinceRequest = now - record.lastRequestAt
	status.BlockedBy = record.blockedBy
	status.Build = record.build
	if record.lagging() {
		status.LaggingSeconds = now - record.laggingSince
	}
	return status
}
