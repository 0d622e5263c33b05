package lease

import "swiftcourse/internal/policy/release"

// settledWaveFraction is the fraction of a wave's servers that have to run the release for the wave
// to be settled. It is below 1 because some servers of a large fleet may be unreachable.
const settledWaveFraction = 0.9

// rolloutProgress records the current wave of a rollout and the time since which it has been
// settled.
type rolloutProgress struct {
	epoch        release.Epoch
	wave         int
	settledSince float64
}

// waveStatus summarizes the servers that sent a request within the last lease duration.
type waveStatus struct {
	assigned int // servers whose assigned version is the next version
	active   int // servers among them that run the next version
	// next and current tally the requests of the servers that run the next and the current version.
	next    release.ErrorTally
	current release.ErrorTally
}

// advanceRollout returns the command that rolls the release back or moves the rollout to its next
// wave, or nil if neither is due. A wave ends once it has been settled for policy.WaveSeconds.
func (g *Grantor) advanceRollout(
	now float64, releaseLog *release.Log, policy release.RolloutPolicy,
) []release.Command {
	if releaseLog.Next == nil {
		g.rollout.epoch = 0
		return nil
	}
	epoch := releaseLog.Next.Epoch
	if g.rollout.epoch != epoch || g.rollout.wave != releaseLog.WaveIndex {
		g.rollout = rolloutProgress{epoch: epoch, wave: releaseLog.WaveIndex, settledSince: now}
	}
	status := g.currentWaveStatus(now, releaseLog)
	if release.RegressionConfidence(status.next, status.current) > policy.HaltConfidence {
		return g.commands.propose(now, subjectRelease, release.Command{
			Kind:          release.KindRollback,
			ExpectedEpoch: epoch,
			Reason:        reasonHarmful,
		})
	}
	if float64(status.active) < settledWaveFraction*float64(status.assigned) {
		g.rollout.settledSince = now
		return nil
	}
	if now < g.rollout.settledSince+policy.WaveSeconds {
		return nil
	}
	return g.commands.propose(now, subjectRelease, release.Command{
		Kind:          release.KindAdvanceRollout,
		ExpectedEpoch: epoch,
	})
}

// currentWaveStatus returns the status of the current wave; a rollout must be in progress.
func (g *Grantor) currentWaveStatus(now float64, releaseLog *release.Log) waveStatus {
	next := releaseLog.Next.Epoch
	var status waveStatus
	for name, record := range g.servers {
		if releaseLog.Members[name] != record.incarnation || now > record.lastRequestAt+g.config.LeaseSeconds {
			continue
		}
		switch record.activeEpoch {
		case next:
			status.next = status.next.Add(record.errorTally)
		case releaseLog.Current.Epoch:
			status.current = status.current.Add(record.errorTally)
		}
		if releaseLog.VersionFor(name).Epoch != next {
			continue
		}
		status.assigned++
		if record.activeEpoch == next {
			status.active++
		}
	}
	return status
}
