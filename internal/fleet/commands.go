package fleet

import (
	"cmp"
	"maps"
	"slices"

	"swiftcourse/internal/policy/release"
	wire "swiftcourse/internal/wire/fleet"
)

// pendingCommand is an operator's command whose result is not yet known.
type pendingCommand struct {
	command     *release.Command
	nextAttempt float64
	deadline    float64
	done        func(wire.CommandResult)
}

const (
	maxPendingCommands          = 64
	commandTimeoutSeconds       = 10.0 // after which a pending command is rejected
	commandRetryIntervalSeconds = 0.5
)

// SubmitCommand submits an operator's command, and calls done once with its result. A command without
// an expected epoch expects the newest epoch that this process knows.
func (a *Agent) SubmitCommand(now float64, command release.Command, done func(wire.CommandResult)) {
	if len(a.commands) >= maxPendingCommands {
		done(wire.CommandResult{RejectReason: reasonTooManyCommands})
		return
	}
	command.ID = a.random.Uint64() | 1
	command.IssuedAt = a.unixNow()
	if command.ExpectedEpoch == 0 {
		command.ExpectedEpoch = a.releases.log.NewestEpoch()
	}
	a.commands[command.ID] = &pendingCommand{command: &command, deadline: now + commandTimeoutSeconds, done: done}
}

// handleCommand accepts an operator's command that another process forwarded. It drops a command that
// is already pending or exceeds maxPendingCommands.
func (a *Agent) handleCommand(now float64, message *wire.Envelope) {
	command := message.Command
	if a.commands[command.ID] != nil || command.ID == 0 || len(a.commands) >= maxPendingCommands {
		return
	}
	request := *message
	a.commands[command.ID] = &pendingCommand{
		command:  command,
		deadline: now + commandTimeoutSeconds,
		done: func(result wire.CommandResult) {
			a.sendReply(&request, &wire.Envelope{CommandResult: &result})
		},
	}
}

func (a *Agent) handleCommandResult(_ float64, message *wire.Envelope) {
	a.finishCommand(*message.CommandResult)
}

// finishCommand removes a pending command and reports its result.
func (a *Agent) finishCommand(result wire.CommandResult) {
	if pending := a.commands[result.ID]; pending != nil {
		delete(a.commands, result.ID)
		pending.done(result)
	}
}

// retryCommands attempts pending commands again at intervals of commandRetryIntervalSeconds, and
// rejects those whose deadline has passed.
func (a *Agent) retryCommands(now float64) {
	for _, id := range slices.Sorted(maps.Keys(a.commands)) { // sorted to keep simulations deterministic
		pending := a.commands[id]
		switch {
		case now > pending.deadline:
			newest := a.releases.log.NewestEpoch()
			a.finishCommand(wire.CommandResult{ID: id, RejectReason: reasonNoMajority, NewestEpoch: newest})
		case now >= pending.nextAttempt:
			pending.nextAttempt = now + commandRetryIntervalSeconds
			a.attemptCommand(pending.command)
		}
	}
}

// attemptCommand proposes a command if this process is a joined voter. Otherwise it sends the command
// to the leader, or to a random voter if no leader is known.
func (a *Agent) attemptCommand(command *release.Command) {
	if a.hasJoinedCluster() {
		a.voter.Propose(command)
		return
	}
	if len(a.voterNames) == 0 {
		return
	}
	name := cmp.Or(a.lease.holder.Leader(), a.voterNames[a.random.IntN(len(a.voterNames))])
	a.send(a.config.Voters[name], &wire.Envelope{Command: command})
}
