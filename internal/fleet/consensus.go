package fleet

import (
	"errors"
	"fmt"

	"swiftcourse/internal/policy/consensus"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	wire "swiftcourse/internal/wire/fleet"
)

// startVoter starts the voter of a process that votes.
func (a *Agent) startVoter(now float64) {
	if _, votes := a.config.Voters[a.config.Name]; !votes {
		return
	}
	a.voter = consensus.NewVoter(consensus.Config{
		Name:   a.config.Name,
		Voters: a.voterNames,
		Seed:   int64(a.random.Uint64() >> 1),
		Codec:  wire.ReleaseCodec{},
	}, now, a.unixNow())
	a.handle(a.handleConsensus, wire.KindConsensus)
}

func (a *Agent) handleConsensus(now float64, message *wire.Envelope) {
	a.voter.HandleMessage(now, message.Consensus)
}

// isConfirmedLeader reports whether this process leads, as a majority confirmed lately.
func (a *Agent) isConfirmedLeader(now float64) bool {
	return a.voter != nil && a.voter.IsLeader(now-lease.LeaderConfirmationWindow)
}

// hasJoinedCluster reports whether this process votes in a cluster that was bootstrapped.
func (a *Agent) hasJoinedCluster() bool { return a.voter != nil && a.voter.Joined() }

// runVoter applies what the voter decided, and does the leader's work.
func (a *Agent) runVoter(now float64) {
	a.releases.log = a.voter.ReleaseLog()
	if newest := a.releases.log.NewestEpoch(); a.isNewEpoch(newest) {
		a.lease.newestHeard = newest
		a.lease.holder.RequestBy(now)
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

// updateLeadership starts and ends what only a leader has. A leader that lost its confirmation
// alone keeps it until another one is known.
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

// handleCommandOutcome handles the result of a command that was applied or rejected.
func (a *Agent) handleCommandOutcome(outcome consensus.CommandResult) {
	command := outcome.Command
	if a.lease.grantor != nil {
		a.lease.grantor.HandleCommandResult(command)
	}
	failed := outcome.Err != nil && !errors.Is(outcome.Err, release.ErrNameTaken)
	if failed || command.Kind != release.KindRegister { // servers register all the time
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

// propose proposes commands of the leader itself.
func (a *Agent) propose(commands []release.Command) {
	for i := range commands {
		commands[i].IssuedAt = a.unixNow()
		_ = a.voter.ProposeAsLeader(&commands[i]) // the present leader proposes it again
	}
}

// sendVoterMessages sends what the voter has for the others.
func (a *Agent) sendVoterMessages() {
	if a.voter == nil {
		return
	}
	for _, outgoing := range a.voter.TakeOutbox() {
		a.send(a.config.Voters[outgoing.VoterName], &wire.Envelope{Consensus: &outgoing.Message})
	}
}
