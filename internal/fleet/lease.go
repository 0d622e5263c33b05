package fleet

import (
	"swiftcourse/internal/policy/audit"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	wire "swiftcourse/internal/wire/fleet"
)

// leaseState is the process's own lease, and the grantor of leases while it leads.
type leaseState struct {
	holder         *lease.Holder
	grantor        *lease.Grantor // nil unless this process leads
	nextVoter      int            // index of the voter to ask next while no leader is known
	newestReported release.Epoch  // newest epoch of which the process has heard
}

const (
	// maxUnanswered is how many requests to a leader may be without a reply before other voters are
	// asked.
	maxUnanswered = 2
	// leaseRequestJitter is the range of the random delay of a request after a new release, in
	// seconds. A thousand servers that learn of one at once then make 5,000 requests a second, a
	// thousandth of what a leader can answer.
	leaseRequestJitter = 0.2
)

func (a *Agent) startLease(now float64) {
	c := &a.config
	a.lease.holder = lease.NewHolder(lease.HolderConfig{
		Name:         c.Name,
		Incarnation:  a.incarnation,
		Addr:         c.ListenAddr,
		Build:        c.Build,
		Fallback:     c.Lease.Fallback,
		LeaseSeconds: c.Lease.Terms.Duration,
	}, now)
	a.registerHandler(a.handleLeaseRequest, wire.KindLeaseRequest)
	a.registerHandler(a.handleLeaseReply, wire.KindLeaseReply)
}

// requestLease asks the leader for a lease, or the next voter while none is known.
func (a *Agent) requestLease(now float64) {
	holder := a.lease.holder
	request := holder.NewRequest(now)
	name := holder.Leader()
	if _, votes := a.config.Voters[name]; !votes {
		name = a.nextVoterName()
	} else if holder.Unanswered() > maxUnanswered {
		holder.HandleLeaderUnreachable(now)
	}
	if name != "" {
		a.sendToVoter(now, name, &wire.Envelope{LeaseRequest: &request})
	}
}

// nextVoterName returns the voters' names in turn, "" if there are none.
func (a *Agent) nextVoterName() string {
	if len(a.voterNames) == 0 {
		return ""
	}
	name := a.voterNames[a.lease.nextVoter%len(a.voterNames)]
	a.lease.nextVoter++
	return name
}

// handleLeaseRequest answers a request for a lease. A process that does not lead names the leader.
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

// expireLease lets the process's own lease run out.
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

// isNewEpoch reports whether an epoch is newer than the assigned one and all that were reported.
func (a *Agent) isNewEpoch(epoch release.Epoch) bool {
	return epoch > max(a.lease.newestReported, a.lease.holder.AssignedEpoch())
}

// requestLeaseForNewerEpoch requests a lease soon if another process serves a newer release: once for
// each epoch, and spread over leaseRequestJitter.
func (a *Agent) requestLeaseForNewerEpoch(now float64, account *audit.Account) {
	if len(account.Intervals) == 0 {
		return
	}
	newest := account.Intervals[len(account.Intervals)-1].Epoch
	if a.isNewEpoch(newest) {
		a.lease.newestReported = newest
		a.lease.holder.RequestBy(now + leaseRequestJitter*a.random.Float64())
	}
}
