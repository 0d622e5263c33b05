package fleet

import (
	"fmt"
	"math"

	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
	wire "swiftcourse/internal/wire/fleet"
)

// releaseState is the release log as the process knows it, and its active version.
type releaseState struct {
	log          *release.Log // a copy, also at processes that don't vote
	lastLogFetch float64

	active           release.Version
	applyError       string  // why the assigned version could not be applied, "" if none failed
	lastVersionFetch float64 // time of the last request for the assigned version, or attempt to apply it

	stats    *serving.VersionStats // what the serving loop counts under the active version
	recorded recordedStats         // the part of stats that is in the audit trail
}

// recordedStats is the part of a version's statistics that the audit trail has already.
type recordedStats struct {
	batches  uint64
	requests uint64
}

const (
	versionFetchInterval     = 0.3  // seconds between two requests for the assigned version
	applyRetryInterval       = 1.0  // seconds before a version that failed is applied again
	logFetchInterval         = 2.0  // seconds between two requests for a newer log, if the process does not vote
	unjoinedLogFetchInterval = 0.25 // the same for a voter that has not joined, several times before it may bootstrap
	unjoinedLogFetchFanout   = 4    // how many others receive each request of such a voter
	leaderSkipOdds           = 4    // one in so many requests for a version goes to any voter, not the leader
	voterFetchOdds           = 8    // one in so many requests for the log goes to a voter, not any member
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

// fetchAssignedVersion applies the version that this server is assigned, or requests it while it is
// not known here.
func (a *Agent) fetchAssignedVersion(now float64) {
	assigned := a.lease.holder.AssignedEpoch()
	if assigned <= a.releases.active.Epoch {
		return
	}
	if version := a.releases.log.FindVersion(assigned); version != nil {
		a.applyVersion(now, version, reasonReleased)
		return
	}
	if now < a.releases.lastVersionFetch+versionFetchInterval {
		return
	}
	a.releases.lastVersionFetch = now
	name := a.lease.holder.Leader()
	if a.config.Voters[name] == "" || a.random.IntN(leaderSkipOdds) == 0 { // or whoever has it
		name = a.voterNames[a.random.IntN(len(a.voterNames))]
	}
	if name != a.config.Name {
		a.send(a.config.Voters[name], &wire.Envelope{VersionRequest: assigned})
	}
}

// applyVersion applies a version and activates it, if it is the assigned one, newer than the active
// one and undamaged.
func (a *Agent) applyVersion(now float64, version *release.Version, reason string) {
	state := &a.releases
	if version.Epoch != a.lease.holder.AssignedEpoch() || !a.isBehind() || !version.DigestMatches() {
		return
	}
	if state.applyError != "" && now < state.lastVersionFetch+applyRetryInterval {
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

// activate makes a version that was applied the active one, and has it gossiped soon.
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
	a.audits.urgentSummaries = urgentSummaryCount
	a.logger.Info("config_applied",
		"epoch", version.Epoch, "digest", version.Digest, "author", version.Author, "reason", reason)
}

// recordVersionStats adds what the serving loop counted under the active version to the audit
// trail.
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

// fetchReleaseLog requests a newer release log if the process has not joined the cluster of voters.
// Its copy tells which servers are registered, and a voter that has not joined may bootstrap a lost
// cluster from it. A request contains the state of the copy, so that only a newer log is sent.
func (a *Agent) fetchReleaseLog(now float64) {
	if a.hasJoinedCluster() || len(a.voterNames) == 0 {
		return
	}
	unjoinedVoter := a.voter != nil
	interval, fanout := logFetchInterval, 1
	if unjoinedVoter {
		interval, fanout = unjoinedLogFetchInterval, unjoinedLogFetchFanout
	}
	if now < a.releases.lastLogFetch+interval {
		return
	}
	a.releases.lastLogFetch = now
	request := a.releaseLogRequest()
	if !unjoinedVoter && a.fetchesLogFromVoter() {
		a.send(a.config.Voters[a.voterNames[a.random.IntN(len(a.voterNames))]], request)
		return
	}
	a.gossip(fanout, request)
}

// releaseLogRequest returns a request for a release log that is newer than this process's copy.
func (a *Agent) releaseLogRequest() *wire.Envelope {
	return &wire.Envelope{StateRequest: &wire.StateRequest{
		RequestID:    releaseLogOnly,
		Names:        []string{""},
		ClusterID:    a.releases.log.Current.Epoch.ClusterID(),
		AppliedCount: a.releases.log.AppliedCount,
	}}
}

// fetchesLogFromVoter reports whether to request the log from a voter: if a newer one is known to
// exist, and otherwise at random, now and then.
func (a *Agent) fetchesLogFromVoter() bool {
	newsExpected := a.lease.holder.AssignedEpoch() != a.releases.log.NewestEpoch()
	return newsExpected || a.random.IntN(voterFetchOdds) == 0
}

// observeReleaseLog adopts another process's release log if it is newer.
func (a *Agent) observeReleaseLog(log *release.Log) {
	switch {
	case log == nil || !log.NewerThan(a.releases.log):
	case a.voter == nil:
		a.releases.log = log
	default:
		a.voter.ObserveReleaseLog(log)
	}
}
