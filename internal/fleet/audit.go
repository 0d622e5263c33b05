package fleet

import (
	"swiftcourse/internal/policy/audit"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/replication"
	wire "swiftcourse/internal/wire/fleet"
)

// auditState contains the audit trail (which server ran which version when), the times of its gossip,
// and the pending audits.
type auditState struct {
	trail               *audit.Trail
	lastSummary         float64
	lastAccountCleanup  float64
	urgentSummariesLeft int // summaries to be sent at urgentSummaryIntervalSeconds, after a change
	pending             map[uint64]*pendingAudit
	lastAuditID         uint64
}

// pendingAudit is an audit that waits for replies of other members.
type pendingAudit struct {
	deadline float64
	awaiting map[string]bool // names of members that have not replied
	result   auditResult
	done     func(*auditResult)
}

// auditResult contains the merged replies to an audit.
type auditResult struct {
	accounts   []audit.Account
	responding map[uint64]bool // incarnations that replied
	releaseLog *release.Log    // the newest log of any voter; nil if no joined voter replied
	servers    []lease.ServerStatus
	replicas   map[string]*replication.Status // by process name, of the processes with replication enabled
}

const (
	summaryIntervalSeconds       = 2.0  // between two account summaries
	urgentSummaryIntervalSeconds = 0.15 // the same after a change
	// urgentSummaryCount is the number of summaries that follow a change. As each of them goes to
	// gossipFanout members, only about one process in e^9 receives none of them and learns of the
	// change only from the reply to its next regular lease request.
	urgentSummaryCount            = 3
	accountCleanupIntervalSeconds = 60.0 // between two scans for stale accounts
	auditTimeoutSeconds           = 2.0  // how long an audit waits for replies
	maxAccountsInReply            = 500  // also limits the names in a request
	// releaseLogOnly is the request ID of a state request that is not part of an audit and requests only
	// a newer release log.
	releaseLogOnly = 0
)

func (a *Agent) startAudits() {
	a.audits.trail = audit.NewTrail(a.config.Name, a.incarnation, a.unixNow())
	a.audits.trail.BeginInterval(a.unixNow(), 0, "", reasonStarted)
	a.audits.pending = map[uint64]*pendingAudit{}
	a.registerHandler(a.handleAccountSummary, wire.KindAccountSummary)
	a.registerHandler(a.handleStateRequest, wire.KindStateRequest)
	a.registerHandler(a.handleStateReply, wire.KindStateReply)
}

// nextAccountSummary returns the time at which the next account summary is due.
func (a *Agent) nextAccountSummary() float64 {
	if a.audits.urgentSummariesLeft > 0 {
		return a.audits.lastSummary + urgentSummaryIntervalSeconds
	}
	return a.audits.lastSummary + summaryIntervalSeconds
}

// gossipAccount gossips a summary of this process's own account when it is due.
func (a *Agent) gossipAccount(now float64) {
	if now < a.nextAccountSummary() {
		return
	}
	a.audits.lastSummary = now
	a.audits.urgentSummariesLeft = max(0, a.audits.urgentSummariesLeft-1)
	summary := a.audits.trail.Summary()
	a.gossip(gossipFanout, &wire.Envelope{AccountSummary: &summary})
}

func (a *Agent) handleAccountSummary(now float64, message *wire.Envelope) {
	a.audits.trail.Merge(*message.AccountSummary)
	a.requestLeaseForNewerEpoch(now, message.AccountSummary)
}

// removeStaleAccounts removes the accounts of processes that are neither registered nor members.
func (a *Agent) removeStaleAccounts(now float64) {
	if now < a.audits.lastAccountCleanup+accountCleanupIntervalSeconds || len(a.releases.log.Members) == 0 {
		return
	}
	a.audits.lastAccountCleanup = now
	a.audits.trail.RemoveUnregistered(func(name string) bool {
		_, registered := a.releases.log.Members[name]
		return registered || a.network.HasMember(name)
	})
}

// handleStateRequest replies to an audit's request, or to a request that asks only for a newer
// release log.
func (a *Agent) handleStateRequest(now float64, message *wire.Envelope) {
	request := message.StateRequest
	var reply *wire.StateReply
	if request.RequestID == releaseLogOnly {
		log := a.releaseLogNewerThan(request)
		if log == nil {
			return
		}
		reply = &wire.StateReply{RequestID: releaseLogOnly, ReleaseLog: log}
	} else {
		reply = a.auditReply(now, request)
	}
	a.sendReply(message, &wire.Envelope{StateReply: reply})
}

// auditReply returns the reply to an audit's request: the known accounts, the status of replication
// and, from a voter, the release log if it is newer than the requester's. The leader adds the status
// of all servers.
func (a *Agent) auditReply(now float64, request *wire.StateRequest) *wire.StateReply {
	a.recordVersionStats()
	accounts := a.accounts(request.Names)
	reply := &wire.StateReply{
		RequestID:   request.RequestID,
		Replication: a.ReplicationStatus(),
		Accounts:    accounts[max(0, len(accounts)-maxAccountsInReply):],
	}
	if a.voter != nil {
		reply.ReleaseLog = a.releaseLogNewerThan(request)
	}
	if a.hasJoinedCluster() {
		reply.Servers = a.serverStatuses(now)
	}
	return reply
}

// releaseLogNewerThan returns this process's release log if it is newer than the requester's, and
// nil otherwise.
func (a *Agent) releaseLogNewerThan(request *wire.StateRequest) *release.Log {
	known := &release.Log{
		Current:      release.Version{Epoch: release.NewEpoch(request.ClusterID, 0)},
		AppliedCount: request.AppliedCount,
	}
	if !a.releases.log.NewerThan(known) {
		return nil
	}
	return a.releases.log
}

// accounts returns the known accounts of the named processes, or all known accounts if names is nil.
// The process's own account is the last.
func (a *Agent) accounts(names []string) []audit.Account {
	return append(a.audits.trail.Accounts(names), a.audits.trail.Account())
}

// serverStatuses returns the status of all servers, or nil if this process is not the leader.
func (a *Agent) serverStatuses(now float64) []lease.ServerStatus {
	if a.lease.grantor == nil || !a.isConfirmedLeader(now) {
		return nil
	}
	return a.lease.grantor.ServerStatuses(now, a.releases.log)
}

func (a *Agent) handleStateReply(_ float64, message *wire.Envelope) {
	reply := message.StateReply
	a.observeReleaseLog(reply.ReleaseLog)
	pending := a.audits.pending[reply.RequestID]
	if pending == nil || !pending.awaiting[message.From] {
		return
	}
	delete(pending.awaiting, message.From)
	pending.result.add(message)
}

// add merges the reply of one process into the result.
func (r *auditResult) add(message *wire.Envelope) {
	reply := message.StateReply
	for _, account := range reply.Accounts {
		if account.Name == message.From && account.Incarnation == message.Incarnation {
			r.responding[account.Incarnation] = true
		}
		r.accounts = append(r.accounts, account)
	}
	if reply.ReleaseLog != nil && (r.releaseLog == nil || reply.ReleaseLog.NewerThan(r.releaseLog)) {
		r.releaseLog = reply.ReleaseLog
	}
	if reply.Servers != nil {
		r.servers = reply.Servers
	}
	if reply.Replication != nil {
		r.replicas[message.From] = reply.Replication
	}
}

// startAudit requests the accounts of all members, and calls done once, with the replies that arrived
// within auditTimeoutSeconds.
func (a *Agent) startAudit(now float64, done func(*auditResult)) {
	a.audits.lastAuditID++
	pending := &pendingAudit{
		deadline: now + auditTimeoutSeconds,
		awaiting: map[string]bool{},
		result: auditResult{
			responding: map[uint64]bool{a.incarnation: true},
			replicas:   map[string]*replication.Status{},
		},
		done: done,
	}
	if own := a.ReplicationStatus(); own != nil {
		pending.result.replicas[a.config.Name] = own
	}
	a.recordVersionStats()
	pending.result.accounts = a.accounts(nil)
	if a.hasJoinedCluster() {
		pending.result.releaseLog = a.releases.log
		pending.result.servers = a.serverStatuses(now)
	}
	a.audits.pending[a.audits.lastAuditID] = pending
	absent := a.absentServers()
	for name, addr := range a.network.Members() {
		pending.awaiting[name] = true
		request := &wire.StateRequest{RequestID: a.audits.lastAuditID, Names: absent}
		a.send(addr, &wire.Envelope{StateRequest: request})
	}
}

// absentServers returns the names of registered servers that are not members. As these cannot reply
// to an audit, the members are asked for their accounts.
func (a *Agent) absentServers() []string {
	var names []string
	for name := range a.releases.log.Members {
		if name != a.config.Name && !a.network.HasMember(name) && len(names) < maxAccountsInReply {
			names = append(names, name)
		}
	}
	if names == nil {
		return []string{""} // names no process; an empty list would request all accounts
	}
	return names
}

// expireAudits ends the audits that have a release log and the replies of all members, and those
// whose deadline has passed.
func (a *Agent) expireAudits(now float64) {
	for id, pending := range a.audits.pending {
		complete := len(pending.awaiting) == 0 && pending.result.releaseLog != nil
		if now > pending.deadline || complete {
			delete(a.audits.pending, id)
			pending.done(&pending.result)
		}
	}
}
