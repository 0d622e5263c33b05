package fleet

import (
	"fmt"
	"math"

	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
	wire "swiftcourse/internal/wire/fleet"
)

// releaseState contains the process's copy of the release log, and its active version.
type releaseState struct {
	log          *release.Log // a copy; processes that do not vote have one as well
	lastLogFetch float64      // time of the last request for a newer log

	active           release.Version
	applyError       string  // error of applying the assigned version, "" if it has not failed
	lastVersionFetch float64 // time of the last request for the assigned version or attempt to apply it

	stats    *serving.VersionStats // updated by the serving loop while the version is active
	recorded recordedStats         // the part of stats that has been added to the audit trail
}

// recordedStats is the part of a version's statistics that has been added to the audit trail.
type recordedStats struct {
	batches  uint64
	requests uint64
}

const (
	versionFetchIntervalSeconds = 0.3 // between two requests for the assigned version
	applyRetryIntervalSeconds   = 1.0 // until a version that could not be applied is applied again
	logFetchIntervalSeconds     = 2.0 // between two requests for a newer log, at a process that does not vote
	// A voter that has not joined a cluster requests the log every unjoinedLogFetchIntervalSeconds
	// from unjoinedLogFetchFanout members, so that it does so several times before it may bootstrap.
	unjoinedLogFetchIntervalSeconds = 0.25
	unjoinedLogFetchFanout          = 4
	// On average, one in leaderSkipOdds requests for a version goes to a random voter instead of the
	// leader, and one in voterFetchOdds requests for the log to a voter instead of any member.
	leaderSkipOdds = 4
	voterFetchOdds = 8
)

// Reasons in the audit trail and the log.
const (
	reasonStarted  = "started"
	reasonReleased = "released"
	reasonCaughtUp = "caught up"
)

func (a *Agent) startReleases() {
	a.releases.log = (&release.Log{}).Clone()
	a.releases.stats = &serving.VersionStats{}
	a.registerHandler(a.handleVersionRequest, wire.KindVersionRequest)
	a.registerHandler(a.handleVersion, wire.KindVersion)
	a.registerHandler(a.handleCommand, wire.KindCommand)
	a.registerHandler(a.handleCommandResult, wire.KindCommandResult)
}

func (a *Agent) handleVersionRequest(_ float64, message *wire.Envelope) {
	if version := a.releases.log.FindVersion(message.VersionRequest); version != nil {
		a.sendReply(message, &wire.Envelope{Version: version})
	}
}

func (a *Agent) handleVersion(now float64, message *wire.Envelope) {
	a.applyVersion(now, message.Version, reasonCaughtUp)
}

// fetchAssignedVersion applies the version assigned to this server if the process's release log
// contains it, and requests it from a voter otherwise.
func (a *Agent) fetchAssignedVersion(now float64) {
	assigned := a.lease.holder.AssignedEpoch()
	if assigned <= a.releases.active.Epoch {
		return
	}
	if version := a.releases.log.FindVersion(assigned); version != nil {
		a.applyVersion(now, version, reasonReleased)
		return
	}
	if now < a.releases.lastVersionFetch+versionFetchIntervalSeconds {
		return
	}
	a.releases.lastVersionFetch = now
	name := a.lease.holder.Leader()
	if a.config.Voters[name] == "" || a.random.IntN(leaderSkipOdds) == 0 { // any voter may have the version
		name = a.voterNames[a.random.IntN(len(a.voterNames))]
	}
	if name != a.config.Name {
		a.send(a.config.Voters[name], &wire.Envelope{VersionRequest: assigned})
	}
}

// applyVersion applies and activates a version if it is the assigned one, is newer than the active
// one and matches its digest.
func (a *Agent) applyVersion(now float64, version *release.Version, reason string) {
	state := &a.releases
	if version.Epoch != a.lease.holder.AssignedEpoch() || !a.isBehind() || !version.DigestMatches() {
		return
	}
	if state.applyError != "" && now < state.lastVersionFetch+applyRetryIntervalSeconds {
		return
	}
	state.lastVersionFetch = now
	if err := a.applyText(version); err != nil {
		if state.applyError != err.Error() {
			a.logger.Info("config_apply_failed", "epoch", version.Epoch, "err", err)
		}
		state.applyError = err.Error()
		a.lease.holder.SetActiveEpoch(state.active.Epoch, state.applyError)
		return
	}
	a.activate(now, version, reason)
}

// applyText puts a version's text into effect, unless the active version has the same text.
func (a *Agent) applyText(version *release.Version) error {
	if version.Build != "" && version.Build != a.config.Build {
		return fmt.Errorf("it is meant for build %s, this is %s", version.Build, a.config.Build)
	}
	if version.Text == a.releases.active.Text && a.releases.active.Epoch != 0 {
		return nil
	}
	return a.config.Apply(version.Text)
}

// activate makes an applied version the active one, and schedules urgent account summaries.
func (a *Agent) activate(now float64, version *release.Version, reason string) {
	a.recordVersionStats()
	a.releases.active = *version
	a.releases.applyError = ""
	a.releases.stats = &serving.VersionStats{}
	a.releases.recorded = recordedStats{}
	a.audits.trail.BeginInterval(a.unixNow(), version.Epoch, version.Digest, reason)
	a.lease.holder.SetActiveEpoch(version.Epoch, "")
	if a.quotas != nil {
		a.quotas.applyConfig(now)
	}
	a.audits.lastSummary = math.Inf(-1)
	a.audits.urgentSummariesLeft = urgentSummaryCount
	a.logger.Info("config_applied",
		"epoch", version.Epoch, "digest", version.Digest, "author", version.Author, "reason", reason)
}

// recordVersionStats adds the serving loop's counts under the active version to the audit trail, and
// reports its error tally with the next lease request.
func (a *Agent) recordVersionStats() {
	stats := a.releases.stats
	recorded := &a.releases.recorded
	batches := stats.Batches.Load()
	requests := stats.Requests.Load()
	a.audits.trail.Record(a.unixNow(), batches-recorded.batches, requests-recorded.requests)
	*recorded = recordedStats{batches: batches, requests: requests}
	completed := stats.Completed.Load()
	failed := min(stats.Failed.Load(), stats.Completed.Load())
	a.lease.holder.SetErrorTally(release.ErrorTally{Completed: float64(completed), Failed: float64(failed)})
}

// fetchReleaseLog requests a newer release log unless the process is a joined voter. The copy lists
// the registered servers, and a voter that has not joined may bootstrap a lost cluster from it. The
// request states how recent the copy is, so that only a newer log is sent.
func (a *Agent) fetchReleaseLog(now float64) {
	if a.hasJoinedCluster() || len(a.voterNames) == 0 {
		return
	}
	unjoinedVoter := a.voter != nil
	interval, fanout := logFetchIntervalSeconds, 1
	if unjoinedVoter {
		interval, fanout = unjoinedLogFetchIntervalSeconds, unjoinedLogFetchFanout
	}
	if now < a.releases.lastLogFetch+interval {
		return
	}
	a.releases.lastLogFetch = now
	request := a.releaseLogRequest()
	if !unjoinedVoter && a.shouldFetchLogFromVoter() {
		a.send(a.config.Voters[a.voterNames[a.random.IntN(len(a.voterNames))]], request)
		return
	}
	a.gossip(fanout, request)
}

// releaseLogRequest returns a request for a release log newer than this process's copy.
func (a *Agent) releaseLogRequest() *wire.Envelope {
	return &wire.Envelope{StateRequest: &wire.StateRequest{
		RequestID:    releaseLogOnly,
		Names:        []string{""},
		ClusterID:    a.releases.log.Current.Epoch.ClusterID(),
		AppliedCount: a.releases.log.AppliedCount,
	}}
}

// shouldFetchLogFromVoter reports whether to request the log from a voter. This is the case if the
// assigned epoch differs from the newest in the log, as the log may then be outdated. Otherwise it is
// the case in one of voterFetchOdds calls on average.
func (a *Agent) shouldFetchLogFromVoter() bool {
	mayBeOutdated := a.lease.holder.AssignedEpoch() != a.releases.log.NewestEpoch()
	return mayBeOutdated || a.random.IntN(voterFetchOdds) == 0
}

// observeReleaseLog adopts another process's release log if it is newer. A voter passes the log to
// its consensus.Voter instead, which bootstraps a lost cluster from the newest log.
func (a *Agent) observeReleaseLog(log *release.Log) {
	switch {
	case log == nil || !log.NewerThan(a.releases.log):
	case a.voter == nil:
		a.releases.log = log
	default:
		a.voter.ObserveReleaseLog(log)
	}
}
