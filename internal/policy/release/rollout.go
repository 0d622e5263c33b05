package release

import (
	"hash/crc32"
	"math"
	"slices"
)

// RolloutPolicy says how a rollout advances and halts without an operator.
type RolloutPolicy struct {
	// WaveSeconds is the least duration of a wave, from when all its servers act on the release.
	WaveSeconds float64

	// HaltConfidence is the HarmConfidence, from 0 to 1, above which a rollout is halted. Above 1,
	// nothing halts a rollout.
	HaltConfidence float64
}

// rolloutPosition returns a server's position in the rollout of an epoch: a hash, so that the order
// of the servers differs from one rollout to the next. Those with low positions are in the first
// waves.
func rolloutPosition(name string, epoch Epoch) uint32 {
	return crc32.ChecksumIEEE([]byte(epoch.String() + " " + name))
}

// waveLimit returns the highest rollout position in a wave of the given share of the registered
// servers, rounded up to at least one server. A larger share never has a lower limit.
func (l *Log) waveLimit(epoch Epoch, share float64) uint32 {
	if share >= 1 {
		return math.MaxUint32
	}
	positions := make([]uint32, 0, len(l.Members))
	for name := range l.Members {
		positions = append(positions, rolloutPosition(name, epoch))
	}
	if len(positions) == 0 {
		return uint32(share * math.MaxUint32)
	}
	slices.Sort(positions)
	waveSize := int(math.Ceil(share * float64(len(positions))))
	return positions[min(len(positions), max(1, waveSize))-1]
}

// release starts the rollout of a new version, or puts it in force at once if there are no waves.
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

// advanceRollout rolls the next version out to the next wave, and after the last wave puts it in
// force for all servers.
func (l *Log) advanceRollout() error {
	if l.Next == nil {
		return ErrNoRollout
	}
	l.WaveIndex++
	if l.WaveIndex < len(l.Waves) {
		// Servers that registered meanwhile may lower the limit of a share. It is kept, because no
		// server's version goes back.
		l.WaveLimit = max(l.WaveLimit, l.waveLimit(l.Next.Epoch, l.Waves[l.WaveIndex]))
		return nil
	}
	l.promote(*l.Next)
	l.clearRollout()
	return nil
}

// rollBack returns to the text that was in force before, under a new, higher epoch: epochs never
// decrease. During a rollout that is the current version; otherwise it is the previous one.
func (l *Log) rollBack(command *Command) error {
	outcome := outcomeRolledBack + command.Reason
	if l.Next == nil {
		return l.restorePrevious(command, outcome)
	}
	l.reissueCurrent(outcome, command.Author)
	l.Current.ReleasedAt = command.IssuedAt
	return nil
}

// restorePrevious puts the previous version in force again under a new epoch. The current one ends
// with the given outcome.
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

// bumpEpoch moves the current version to a higher cluster ID. It is for a server that was cut off
// while all voters lost their state, and that acts on a version of a lost group with a higher
// cluster ID than the present group has. Since no server's epoch decreases, that server would never
// take a version of the present group otherwise.
func (l *Log) bumpEpoch(command *Command) error {
	if command.Previous <= uint64(l.Current.Epoch.ClusterID()) || command.Previous > math.MaxUint32 {
		return ErrOutOfBounds
	}
	l.reissueCurrent(outcomeBumped, command.Author)
	l.Current.Epoch = NewEpoch(uint32(command.Previous), 1)
	l.Current.ReleasedAt = command.IssuedAt
	return nil
}

// promote puts a version in force for all servers.
func (l *Log) promote(next Version) {
	l.appendHistory(&l.Current, outcomeFollowedBy+next.Epoch.String())
	previous := l.Current
	l.Previous = &previous
	l.Current = next
}

// reissueCurrent puts the current version in force for all servers under the next epoch. A rollout
// in progress ends with the given outcome.
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

// appendHistory records a version that is no longer in force, in place of the oldest entry once the
// history is full. The zero epoch is of no version.
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
