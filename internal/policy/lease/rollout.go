package lease

import "swiftcourse/internal/policy/release"

// settledFraction is the part of a wave's servers that have to act on the release before the next
// wave begins: not all, as one of many may be absent.
const settledFraction = 0.9

// rolloutProgress tells since when the present wave of a rollout has been settled.
type rolloutProgress struct {
	epoch        release.Epoch
	wave         int
	settledSince float64
}

// waveStatus sums up the servers that have a lease during a rollout.
type waveStatus struct {
	assigned int // servers that have to act on the next version
	active   int // those of them that do
	// next and current tally the requests of the servers on the next and on the current version.
	next    release.ErrorTally
	current release.ErrorTally
}

// advanceRollout returns the command that a rollout needs: to the next wave, back, or none.
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
	status := g.waveStatus(now, releaseLog)
	if release.HarmConfidence(status.next, status.current) > policy.HaltConfidence {
		return g.commands.propose(now, subjectRelease, release.Command{
			Kind:          release.KindRollback,
			ExpectedEpoch: epoch,
			Reason:        reasonHarmful,
		})
	}
	if float64(status.active) < settledFraction*float64(status.assigned) {
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

// waveStatus looks at the servers that were heard within a lease.
func (g *Grantor) waveStatus(now float64, releaseLog *release.Log) waveStatus {
	next := releaseLog.Next.Epoch
	var status waveStatus
	for name, record := range g.servers {
		if releaseLog.Members[name] != record.incarnation || now > record.heardAt+g.config.Duration {
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
