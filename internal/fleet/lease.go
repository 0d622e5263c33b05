package fleet

import (
	"swiftcourse/internal/policy/audit"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	wire "swiftcourse/internal/wire/fleet"
)

// leaseState contains the holder of the process's own lease and, at the leader, the grantor of the
// leases of all servers.
type leaseState struct {
	holder              *lease.Holder
	grantor             *lease.Grantor // nil unless this process is the leader
	nextVoter           int            // index of the voter to ask next while no leader is known
	newestObservedEpoch release.Epoch  // newest epoch seen in the release log or in gossip
}

const (
	// A leader with more than maxUnansweredRequests unanswered requests counts as unreachable, and the
	// next requests go to other voters.
	maxUnansweredRequests = 2
	// leaseRequestJitterSeconds is the maximum random delay of a request after a new release. A
	// thousand servers that learn of the release at once then send 5,000 requests a second, a
	// thousandth of the leader's capacity.
	leaseRequestJitterSeconds = 0.2
)

func (a *Agent) startLease(now float64) {
	c := &a.config
	a.lease.holder = lease.NewHolder(lease.HolderConfig{
		Name:         c.Name,
		Incarnation:  a.incarnation,
		Addr:         c.ListenAddr,
		Build:        c.Build,
		Fallback:     c.Lease.Fallback,
		LeaseSeconds: c.Lease.Terms.LeaseSeconds,
	}, now)
	a.registerHandler(a.handleLeaseRequest, wire.KindLeaseRequest)
	a.registerHandler(a.handleLeaseReply, wire.KindLeaseReply)
}

// requestLease requests a lease from the leader, or from the next voter if no leader is known.
func (a *Agent) requestLease(now float64) {
	holder := a.lease.holder
	request := holder.NewRequest(now)
	name := holder.Leader()
	if _, votes := a.config.Voters[name]; !votes {
		name = a.nextVoterName()
	} else if holder.UnansweredRequests() > maxUnansweredRequests {
		holder.HandleLeaderUnreachable(now)
	}
	if name != "" {
		a.sendToVoter(now, name, &wire.Envelope{LeaseRequest: &request})
	}
}

// nextVoterName returns the name of the next voter in round-robin order, "" if there are no voters.
func (a *Agent) nextVoterName() string {
	if len(a.voterNames) == 0 {
		return ""
	}
	name := a.voterNames[a.lease.nextVoter%len(a.voterNames)]
	a.lease.nextVoter++
	return name
}

// handleLeaseRequest replies to a request for a lease. A process that is not the leader returns
// VerdictRetry and the name of the leader, if known.
func (a *Agent) handleLeaseRequest(now float64, message *wire.Envelope) {
	request := message.LeaseRequest
	reply := lease.Reply{
		Incarnation: request.Incarnation,
		Number:      request.Number,
		Verdict:     lease.VerdictRetry,
	}
	if a.voter != nil {
		a.voter.ObserveClusterID(request.ActiveEpoch.ClusterID())
		reply.Leader = a.voter.Leader()
	}
	if a.isConfirmedLeader(now) && a.lease.grantor != nil {
		var commands []release.Command
		reply, commands = a.lease.grantor.HandleRequest(now, request, a.releases.log, true)
		reply.Leader = a.config.Name
		a.propose(commands)
	} else if reply.Leader == a.config.Name {
		reply.Leader = ""
	}
	response := &wire.Envelope{LeaseReply: &reply}
	if request.Name == a.config.Name && request.Incarnation == a.incarnation {
		a.HandleMessage(now, response)
		return
	}
	a.send(request.Addr, response)
}

func (a *Agent) handleLeaseReply(now float64, message *wire.Envelope) {
	if a.lease.holder.HandleReply(now, message.LeaseReply) {
		a.logLeaseState()
	}
}

// expireLease ends the process's own lease once it has expired.
func (a *Agent) expireLease(now float64) {
	if a.lease.holder.Expire(now) {
		a.logLeaseState()
	}
}

func (a *Agent) logLeaseState() {
	state, reason := a.lease.holder.State()
	a.logger.Info("lease_state_changed",
		"state", state, "reason", reason, "assigned_epoch", a.lease.holder.AssignedEpoch())
}

// isNewEpoch reports whether an epoch is newer than the assigned epoch and newestObservedEpoch.
func (a *Agent) isNewEpoch(epoch release.Epoch) bool {
	return epoch > max(a.lease.newestObservedEpoch, a.lease.holder.AssignedEpoch())
}

// requestLeaseForNewerEpoch schedules a lease request if another process serves a newer release: once
// for each epoch, with a random delay of up to leaseRequestJitterSeconds.
func (a *Agent) requestLeaseForNewerEpoch(now float64, account *audit.Account) {
	if len(account.Intervals) == 0 {
		return
	}
	newest := account.Intervals[len(account.Intervals)-1].Epoch
	if a.isNewEpoch(newest) {
		a.lease.newestObservedEpoch = newest
		a.lease.holder.ScheduleRequestBy(now + leaseRequestJitterSeconds*a.random.Float64())
	}
}
