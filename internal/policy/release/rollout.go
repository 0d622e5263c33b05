package release

import (
	"hash/crc32"
	"math"
	"slices"
)

// RolloutPolicy sets when a rollout advances or is rolled back without an operator.
type RolloutPolicy struct {
	// WaveSeconds is the time for which enough servers of a wave have to run the release before the
	// next wave begins.
	WaveSeconds float64

	// HaltConfidence is the RegressionConfidence, from 0 to 1, above which a release is rolled back. With
	// 1 or more, no release is rolled back automatically.
	HaltConfidence float64
}

// rolloutPosition returns a server's position in the rollout of an epoch. Servers with low
// positions are in the first waves. The position is a hash of epoch and name, so that the order of
// the servers differs between rollouts.
func rolloutPosition(name string, epoch Epoch) uint32 {
	return crc32.ChecksumIEEE([]byte(epoch.String() + " " + name))
}

// waveLimit returns the greatest rollout position in a wave of the given fraction of the registered
// servers, rounded up and at least one server. The limit never decreases with a larger fraction.
func (l *Log) waveLimit(epoch Epoch, fraction float64) uint32 {
	if fraction >= 1 {
		return math.MaxUint32
	}
	positions := make([]uint32, 0, len(l.Members))
	for name := range l.Members {
		positions = append(positions, rolloutPosition(name, epoch))
	}
	if len(positions) == 0 {
		return uint32(fraction * math.MaxUint32)
	}
	slices.Sort(positions)
	waveSize := int(math.Ceil(fraction * float64(len(positions))))
	return positions[min(len(positions), max(1, waveSize))-1]
}

// release starts the rollout of a new version. Without waves it puts the version in force for all
// servers at once.
func (l *Log) release(command *Command) error {
	switch {
	case l.Next != nil:
		return ErrRolloutInProgress
	case command.Digest != Digest(command.Text, command.Build):
		return ErrDigestMismatch
	}
	next := Version{
		Epoch:      l.NewestEpoch() + 1,
		Digest:     command.Digest,
		Author:     command.Author,
		ReleasedAt: command.IssuedAt,
		Text:       command.Text,
		Build:      command.Build,
	}
	if len(command.Waves) == 0 || command.Waves[0] >= 1 {
		l.promote(next)
		return nil
	}
	l.Next = &next
	l.Waves = slices.Clone(command.Waves)
	l.WaveIndex = 0
	l.WaveLimit = l.waveLimit(next.Epoch, l.Waves[0])
	return nil
}

// advanceRollout moves the rollout to its next wave. After the last wave it puts the version in
// force for all servers.
func (l *Log) advanceRollout() error {
	if l.Next == nil {
		return ErrNoRollout
	}
	l.WaveIndex++
	if l.WaveIndex < len(l.Waves) {
		// Servers that registered during the rollout may lower the limit for a fraction. The log
		// keeps the higher limit, because the epoch of a server's version never decreases.
		l.WaveLimit = max(l.WaveLimit, l.waveLimit(l.Next.Epoch, l.Waves[l.WaveIndex]))
		return nil
	}
	l.promote(*l.Next)
	l.clearRollout()
	return nil
}

// rollBack returns to an earlier text: during a rollout to the text of the current version,
// otherwise to that of the previous version. The text gets a new, higher epoch, as epochs never
// decrease.
func (l *Log) rollBack(command *Command) error {
	outcome := outcomeRolledBack + command.Reason
	if l.Next == nil {
		return l.restorePrevious(command, outcome)
	}
	l.reissueCurrent(outcome, command.Author)
	l.Current.ReleasedAt = command.IssuedAt
	return nil
}

// restorePrevious puts the previous version in force again under a new epoch. The history records
// the given outcome for the current version.
func (l *Log) restorePrevious(command *Command, outcome string) error {
	if l.Previous == nil {
		return ErrNoRollout
	}
	reissued := *l.Previous
	reissued.Epoch = l.Current.Epoch + 1
	reissued.Author = command.Author
	reissued.ReleasedAt = command.IssuedAt
	l.promote(reissued)
	l.History[len(l.History)-1].Outcome = outcome
	return nil
}

// bumpEpoch reissues the current version with a higher cluster ID. It is needed if a server was
// isolated while all voters lost their state, and runs a version of the lost group with a higher
// cluster ID than the present group has. As a server's epoch never decreases, that server would
// otherwise never run a version of the present group.
func (l *Log) bumpEpoch(command *Command) error {
	if command.Previous <= uint64(l.Current.Epoch.ClusterID()) || command.Previous > math.MaxUint32 {
		return ErrOutOfBounds
	}
	l.reissueCurrent(outcomeBumped, command.Author)
	l.Current.Epoch = NewEpoch(uint32(command.Previous), 1)
	l.Current.ReleasedAt = command.IssuedAt
	return nil
}

// promote puts a version in force for all servers. The current version becomes the previous one.
func (l *Log) promote(next Version) {
	l.appendHistory(&l.Current, outcomeFollowedBy+next.Epoch.String())
	previous := l.Current
	l.Previous = &previous
	l.Current = next
}

// reissueCurrent puts the current version in force for all servers under the next epoch. It ends a
// rollout in progress and records the given outcome for it in the history.
func (l *Log) reissueCurrent(rolloutOutcome, author string) {
	epoch := l.NewestEpoch() + 1
	if l.Next != nil {
		l.appendHistory(l.Next, rolloutOutcome)
		l.clearRollout()
	}
	l.appendHistory(&l.Current, outcomeReissuedWith+epoch.String())
	l.Current.Epoch = epoch
	l.Current.Author = author
}

func (l *Log) clearRollout() {
	l.Next = nil
	l.Waves = nil
	l.WaveIndex = 0
	l.WaveLimit = 0
}

// appendHistory records a version that is no longer in force. If the history is full, it drops the
// oldest entry. It ignores the zero epoch, which belongs to no version.
func (l *Log) appendHistory(version *Version, outcome string) {
	if version.Epoch == 0 {
		return
	}
	if len(l.History) >= maxHistory {
		l.History = slices.Delete(l.History, 0, 1)
	}
	l.History = append(l.History, HistoryEntry{
		Epoch:      version.Epoch,
		Digest:     version.Digest,
		Author:     version.Author,
		ReleasedAt: version.ReleasedAt,
		Outcome:    outcome,
	})
}
