package release

import (
	"maps"
	"slices"

	"swiftcourse/internal/policy/serving"
)

// Texts that BootstrapLog and Apply write into the log. They are replicated state, so voters of
// different builds have to write the same texts.
const (
	bootstrapAuthor   = "founding"
	rebootstrapAuthor = "the voters founded their group anew"

	outcomeLostGroup    = "lost with the voters that knew of it"
	outcomeBumped       = "lifted over what a lost group released"
	outcomeRolledBack   = "rolled back: " // followed by the reason
	outcomeFollowedBy   = "followed by "  // followed by the epoch
	outcomeReissuedWith = "again as "     // followed by the epoch
)

// Log is the state that results from the committed commands. It does not keep the commands
// themselves. Replicas that applied the same commands are equal.
type Log struct {
	AppliedCount uint64   `json:"Count"` // commands, applied or refused, membership changes and bootstraps
	Current      Version  `json:"Base"`  // version of all servers that the rollout has not reached
	Previous     *Version `json:"Prior"` // version before Current, for a rollback; nil if none is kept

	Next      *Version  // version being rolled out in waves, nil if no rollout is in progress
	Waves     []float64 // waves of Next as increasing fractions of the fleet
	WaveIndex int       `json:"Wave"` // index in Waves of the current wave
	WaveLimit uint32    `json:"Upto"` // greatest rollout position of the servers that run Next

	History        []HistoryEntry        `json:"Past"`  // latest versions no longer in force, oldest first
	Members        map[string]uint64     `json:"Holds"` // registered servers: incarnation by name
	Ejected        map[string]Ejection   `json:"Out"`   // ejected servers by name
	LastCommandIDs map[string]uint64     `json:"Done"`  // latest command ID by author, see Command.ID
	Voters         map[uint64]string     `json:"Seats"` // voter group: name by incarnation
	ClosedRows     []CounterRow          `json:"Over"`  // latest closed rows, without cells, oldest first
	ClosedTotals   []serving.CounterCell `json:"Sums"`  // totals of all closed rows, ordered by key
}

// BootstrapLog returns the first log of a newly bootstrapped voter group. known is the newest log
// that any of its voters has, the zero Log if none has one. A rollout in progress ends, and the
// current text is in force for all servers under a new epoch.
func BootstrapLog(known *Log, clusterID uint32, voters map[uint64]string) *Log {
	log := known.Clone()
	log.Voters = maps.Clone(voters)
	if log.Current.Digest == "" {
		log.Current.Digest = Digest("", "")
		log.Current.Author = bootstrapAuthor
	}
	log.reissueCurrent(outcomeLostGroup, rebootstrapAuthor)
	log.Current.Epoch = NewEpoch(clusterID, 1)
	// The lost group may have readmitted an ejected incarnation after the state of the known log,
	// so the incarnation may hold a lease. The new group decides again whether to eject it. An
	// operator's ejection, which applies to every incarnation of a name, stays.
	maps.DeleteFunc(log.Ejected, func(_ string, ejection Ejection) bool { return ejection.Incarnation != 0 })
	log.AppliedCount++
	return log
}

// Clone returns a deep copy in which no map is nil.
func (l *Log) Clone() *Log {
	clone := *l
	clone.Previous = cloneVersion(l.Previous)
	clone.Next = cloneVersion(l.Next)
	clone.Waves = slices.Clone(l.Waves)
	clone.History = slices.Clone(l.History)
	clone.Members = cloneMap(l.Members)
	clone.Ejected = cloneMap(l.Ejected)
	clone.LastCommandIDs = cloneMap(l.LastCommandIDs)
	clone.Voters = cloneMap(l.Voters)
	clone.ClosedRows = slices.Clone(l.ClosedRows)
	clone.ClosedTotals = slices.Clone(l.ClosedTotals)
	return &clone
}

func cloneVersion(version *Version) *Version {
	if version == nil {
		return nil
	}
	clone := *version
	return &clone
}

// cloneMap copies a map, and returns an empty one for nil.
func cloneMap[K comparable, V any](source map[K]V) map[K]V {
	if source == nil {
		return map[K]V{}
	}
	return maps.Clone(source)
}

// NewestEpoch returns the epoch of the version being rolled out, or of the current version if no
// rollout is in progress.
func (l *Log) NewestEpoch() Epoch {
	if l.Next != nil {
		return l.Next.Epoch
	}
	return l.Current.Epoch
}

// Position orders the states of the log over time, including over bootstraps.
type Position struct {
	ClusterID    uint32 // cluster ID of the current version
	AppliedCount uint64
}

// Position returns the log's present position.
func (l *Log) Position() Position {
	return Position{ClusterID: l.Current.Epoch.ClusterID(), AppliedCount: l.AppliedCount}
}

// After reports whether a log at position p is newer than a log at the other position. A log with a
// higher cluster ID, from a later bootstrap or epoch bump, is newer; with the same cluster ID, the
// log that applied more commands is newer.
func (p Position) After(other Position) bool {
	if p.ClusterID != other.ClusterID {
		return p.ClusterID > other.ClusterID
	}
	return p.AppliedCount > other.AppliedCount
}

// NewerThan reports whether the log's position is after the other log's position.
func (l *Log) NewerThan(other *Log) bool {
	return l.Position().After(other.Position())
}

// VersionFor returns the version that the named server has to run. No command decreases the epoch
// of a server's version.
func (l *Log) VersionFor(name string) *Version {
	if l.Next != nil && rolloutPosition(name, l.Next.Epoch) <= l.WaveLimit {
		return l.Next
	}
	return &l.Current
}

// FindVersion returns the version with the given epoch if it is the current one or the one being
// rolled out, otherwise nil.
func (l *Log) FindVersion(epoch Epoch) *Version {
	switch {
	case l.Next != nil && l.Next.Epoch == epoch:
		return l.Next
	case l.Current.Epoch == epoch:
		return &l.Current
	}
	return nil
}
