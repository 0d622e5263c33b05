package fleet

import (
	"fmt"
	"math"

	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
	wire "swiftcourse/internal/wire/fleet"
)

// releaseState is the release log as the process knows it, and the version on which it acts.
type releaseState struct {
	log          *release.Log // a copy, also at processes that don't vote
	lastLogFetch float64

	active           release.Version
	applyError       string // why the assigned version could not be applied, "" if none failed
	lastVersionFetch float64

	stats    *serving.VersionStats // that the serving loop counts under the active version
	recorded recordedStats         // of them, what the audit trail has
}

// recordedStats is the part of a version's statistics that is in the audit trail already.
type recordedStats struct {
	batches  uint64
	requests uint64
}

const (
	versionFetchInterval = 0.3  // seconds between two requests for the assigned version
	applyRetryInterval   = 1.0  // seconds before a version that failed is applied again
	logFetchInterval     = 2.0  // seconds between two requests for a newer log, at who does not vote
	coldLogFetchInterval = 0.25 // at a voter that has not joined: some times before it can bootstrap
	coldLogFetchFanout   = 4    // so many others receive each request
	leaderSkipOdds       = 4    // one in so many requests for a version goes to any voter, not the leader
	voterFetchOdds       = 8    // one in so many requests for the log goes to a voter, not any member
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
	a.handle(a.handleVersionRequest, wire.KindVersionRequest)
	a.handle(a.handleVersion, wire.KindVersion)
	a.handle(a.handleCommand, wire.KindCommand)
	a.handle(a.handleCommandResult, wire.KindCommandResult)
}

func (a *Agent) handleVersionRequest(_ float64, message *wire.Envelope) {
	if version := a.releases.log.FindVersion(message.VersionRequest); version != nil {
		a.reply(message, &wire.Envelope{Version: version})
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

// applyVersion acts on a version if it is the assigned one, newer than the active one and
// undamaged.
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

// applyText has the server act on a version's text, unless it does already.
func (a *Agent) applyText(version *release.Version) error {
	if version.Build != "" && version.Build != a.config.Build {
		return fmt.Errorf("it is meant for build %s, this is %s", version.Build, a.config.Build)
	}
	if version.Text == a.releases.active.Text && a.releases.active.Epoch != 0 {
		return nil
	}
	return a.config.Apply(version.Text)
}

// activate switches to a version that the server acts on from now on, and gossips it at once.
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

// fetchReleaseLog keeps a copy of the release log, by which others' messages are judged and a lost
// cluster of voters is bootstrapped: a voter that has not joined requests those of some others. The
// request says what is known, so that only a newer log costs more than a few bytes.
func (a *Agent) fetchReleaseLog(now float64) {
	joined := a.hasJoinedCluster()
	if joined || len(a.voterNames) == 0 {
		return
	}
	cold := a.voter != nil
	interval, fanout := logFetchInterval, 1
	if cold {
		interval, fanout = coldLogFetchInterval, coldLogFetchFanout
	}
	if now < a.releases.lastLogFetch+interval {
		return
	}
	a.releases.lastLogFetch = now
	request := &wire.Envelope{StateRequest: &wire.StateRequest{
		RequestID:    releaseLogOnly,
		Names:        []string{""},
		ClusterID:    a.releases.log.Current.Epoch.ClusterID(),
		AppliedCount: a.releases.log.AppliedCount,
	}}
	if !cold && a.fetchesLogFromVoter() {
		a.send(a.config.Voters[a.voterNames[a.random.IntN(len(a.voterNames))]], request)
		return
	}
	a.gossip(fanout, request)
}

// fetchesLogFromVoter reports whether a copy of the log is to come from a voter: where news is
// known to be there, and now and then.
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
