package fleet

import (
	"errors"
	"fmt"

	"swiftcourse/internal/policy/consensus"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	wire "swiftcourse/internal/wire/fleet"
)

// startVoter starts the consensus voter if this process is one of the voters.
func (a *Agent) startVoter(now float64) {
	if _, votes := a.config.Voters[a.config.Name]; !votes {
		return
	}
	a.voter = consensus.NewVoter(consensus.Config{
		Name:       a.config.Name,
		VoterNames: a.voterNames,
		Seed:       int64(a.random.Uint64() >> 1),
		Codec:      wire.ReleaseCodec{},
	}, now, a.unixNow())
	a.registerHandler(a.handleConsensus, wire.KindConsensus)
}

func (a *Agent) handleConsensus(now float64, message *wire.Envelope) {
	a.voter.HandleMessage(now, message.Consensus)
}

// isConfirmedLeader reports whether this process is the leader and a majority has confirmed it within
// the last lease.LeaderConfirmationWindowSeconds seconds.
func (a *Agent) isConfirmedLeader(now float64) bool {
	return a.voter != nil && a.voter.IsLeader(now-lease.LeaderConfirmationWindowSeconds)
}

// hasJoinedCluster reports whether this process is a voter of a bootstrapped cluster.
func (a *Agent) hasJoinedCluster() bool { return a.voter != nil && a.voter.Joined() }

// runVoter adopts the voter's release log, handles the results of commands, and maintains the leases
// of servers while this process is the leader.
func (a *Agent) runVoter(now float64) {
	a.releases.log = a.voter.ReleaseLog()
	if newest := a.releases.log.NewestEpoch(); a.isNewEpoch(newest) {
		a.lease.newestObservedEpoch = newest
		a.lease.holder.ScheduleRequestBy(now)
	}
	leads := a.isConfirmedLeader(now)
	a.updateLeadership(now, leads)
	for _, result := range a.voter.TakeResults() {
		a.handleCommandOutcome(result)
	}
	if leads && a.lease.grantor != nil {
		a.propose(a.lease.grantor.Maintain(now, a.releases.log, a.config.Rollout))
	}
}

// updateLeadership starts and stops the grantors and the planner, which only a leader runs. A leader
// whose confirmation has expired keeps its grantors until it knows that it is no longer the leader.
func (a *Agent) updateLeadership(now float64, leads bool) {
	switch {
	case leads && a.lease.grantor == nil:
		a.lease.grantor = lease.NewGrantor(a.config.Lease.Terms, a.config.Voters, now)
		a.logger.Info("leader_elected", "newest_epoch", a.releases.log.NewestEpoch())
	case !leads && a.lease.grantor != nil && a.voter.Leader() != a.config.Name:
		a.lease.grantor = nil
		a.logger.Info("leader_lost", "leader", a.voter.Leader())
	}
	if a.quotas != nil {
		a.quotas.updateLeadership(now)
	}
	if a.loadPlan != nil {
		a.loadPlan.updateLeadership(now)
	}
}

// handleCommandOutcome handles the outcome of a command that the voters applied or rejected.
func (a *Agent) handleCommandOutcome(outcome consensus.CommandResult) {
	command := outcome.Command
	if a.lease.grantor != nil {
		a.lease.grantor.HandleCommandResult(command)
	}
	failed := outcome.Err != nil && !errors.Is(outcome.Err, release.ErrNameTaken)
	if failed || command.Kind != release.KindRegister { // registrations are too frequent to log each
		a.logCommandOutcome(outcome)
	}
	if command.ID == 0 {
		return
	}
	result := wire.CommandResult{ID: command.ID, NewestEpoch: a.releases.log.NewestEpoch()}
	if outcome.Err != nil {
		result.RejectReason = outcome.Err.Error()
	}
	a.finishCommand(result)
}

func (a *Agent) logCommandOutcome(outcome consensus.CommandResult) {
	command := outcome.Command
	a.logger.Info("command_finished",
		"command", command.Kind,
		"author", command.Author,
		"name", command.Name,
		"reason", command.Reason,
		"newest_epoch", a.releases.log.NewestEpoch(),
		"rejected", fmt.Sprint(outcome.Err))
}

// propose proposes commands that this process issues itself as the leader.
func (a *Agent) propose(commands []release.Command) {
	for i := range commands {
		commands[i].IssuedAt = a.unixNow()
		_ = a.voter.ProposeAsLeader(&commands[i]) // on an error the current leader proposes it again
	}
}

// sendVoterMessages sends the voter's queued messages to the other voters.
func (a *Agent) sendVoterMessages() {
	if a.voter == nil {
		return
	}
	for _, outgoing := range a.voter.TakeOutbox() {
		a.send(a.config.Voters[outgoing.VoterName], &wire.Envelope{Consensus: &outgoing.Message})
	}
}
