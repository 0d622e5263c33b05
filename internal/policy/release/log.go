package release

import (
	"maps"
	"slices"

	"swiftcourse/internal/policy/serving"
)

// Texts that BootstrapLog and Apply write into the log. They are replicated state: voters of
// different builds have to write the same ones.
const (
	bootstrapAuthor   = "founding"
	rebootstrapAuthor = "the voters founded their group anew"

	outcomeLostGroup    = "lost with the voters that knew of it"
	outcomeBumped       = "lifted over what a lost group released"
	outcomeRolledBack   = "rolled back: " // and the reason
	outcomeFollowedBy   = "followed by "  // and the epoch
	outcomeReissuedWith = "again as "     // and the epoch
)

// Log is the state that results from the committed commands; it does not keep the commands
// themselves. Copies that applied the same commands are equal.
type Log struct {
	AppliedCount uint64   `json:"Count"` // commands applied, refused ones too, over all bootstraps
	Current      Version  `json:"Base"`  // in force for all servers that the rollout did not reach
	Previous     *Version `json:"Prior"` // in force before Current, for rolling back; nil if none is kept

	Next      *Version  // being rolled out in waves, nil if none is
	Waves     []float64 // of Next: rising shares of the fleet
	WaveIndex int       `json:"Wave"` // the wave that Next has reached
	WaveLimit uint32    `json:"Upto"` // servers whose rollout position is at most this act on Next

	History        []HistoryEntry        `json:"Past"`  // the latest versions that are no longer in force, oldest first
	Members        map[string]uint64     `json:"Holds"` // registered servers: name to incarnation
	Ejected        map[string]Ejection   `json:"Out"`   // ejected servers by name
	LastCommandIDs map[string]uint64     `json:"Done"`  // the latest command of each author, see Command.ID
	Voters         map[uint64]string     `json:"Seats"` // the voter group: incarnation to name
	ClosedRows     []CounterRow          `json:"Over"`  // the latest closed counter rows, without cells, oldest first
	ClosedTotals   []serving.CounterCell `json:"Sums"`  // totals of all closed rows, ordered by cell
}

// BootstrapLog returns the first log of a newly bootstrapped voter group, made from the newest log
// that any of its voters knows (the zero Log if none has one). An unfinished rollout ends; the
// current text is in force for all servers again, under a new epoch.
func BootstrapLog(known *Log, clusterID uint32, voters map[uint64]string) *Log {
	log := known.Clone()
	log.Voters = maps.Clone(voters)
	if log.Current.Digest == "" {
		log.Current.Digest = Digest("", "")
		log.Current.Author = bootstrapAuthor
	}
	log.reissueCurrent(outcomeLostGroup, rebootstrapAuthor)
	log.Current.Epoch = NewEpoch(clusterID, 1)
	// The lost group may have readmitted an ejected incarnation later than the known log tells, and
	// its server may act. The new group decides anew whether to eject it. An operator's ejection of
	// every incarnation stays.
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

// NewestEpoch returns the epoch of the newest version: the one being rolled out, or the current one.
func (l *Log) NewestEpoch() Epoch {
	if l.Next != nil {
		return l.Next.Epoch
	}
	return l.Current.Epoch
}

// Position orders the states that logs have been in, over all bootstraps.
type Position struct {
	ClusterID    uint32 // of the current version
	AppliedCount uint64
}

// Position returns the position that the log has reached.
func (l *Log) Position() Position {
	return Position{ClusterID: l.Current.Epoch.ClusterID(), AppliedCount: l.AppliedCount}
}

// After reports whether a log at the position is newer than one at the other: it is of a later
// bootstrap or epoch bump, or applied more commands.
func (p Position) After(other Position) bool {
	if p.ClusterID != other.ClusterID {
		return p.ClusterID > other.ClusterID
	}
	return p.AppliedCount > other.AppliedCount
}

// NewerThan reports whether the log is at a later position than another one.
func (l *Log) NewerThan(other *Log) bool {
	return l.Position().After(other.Position())
}

// VersionFor returns the version on which the named server has to act. Its epoch never decreases
// from one command to the next.
func (l *Log) VersionFor(name string) *Version {
	if l.Next != nil && rolloutPosition(name, l.Next.Epoch) <= l.WaveLimit {
		return l.Next
	}
	return &l.Current
}

// FindVersion returns the version with the epoch if it is current or being rolled out, otherwise
// nil.
func (l *Log) FindVersion(epoch Epoch) *Version {
	switch {
	case l.Next != nil && l.Next.Epoch == epoch:
		return l.Next
	case l.Current.Epoch == epoch:
		return &l.Current
	}
	return nil
}
