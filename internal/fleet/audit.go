package fleet

import (
	"swiftcourse/internal/policy/audit"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/replication"
	wire "swiftcourse/internal/wire/fleet"
)

// auditState is the process's record of which versions the servers ran when, the times at which it
// is gossiped, and the audits that wait for replies.
type auditState struct {
	trail           *audit.Trail
	lastSummary     float64
	lastForget      float64
	urgentSummaries int // summaries still to be sent at urgentSummaryInterval
	pending         map[uint64]*pendingAudit
	lastRunID       uint64
}

// pendingAudit is an audit that waits for others' replies.
type pendingAudit struct {
	deadline float64
	awaiting map[string]bool // names of members that have not answered
	result   auditResult
	done     func(*auditResult)
}

// auditResult is what an audit collected.
type auditResult struct {
	accounts   []audit.Account
	responding map[uint64]bool // incarnations that answered
	releaseLog *release.Log    // the newest that any voter knows; nil if no joined voter answered
	servers    []lease.ServerStatus
	replicas   map[string]*replication.Status // of all that keep or claim anything
}

const (
	summaryInterval       = 2.0  // seconds between two account summaries
	urgentSummaryInterval = 0.15 // the same after a change
	// urgentSummaryCount summaries follow a change: with gossipFanout receivers each time, one
	// process in e^9 learns of it only by its own request.
	urgentSummaryCount = 3
	forgetInterval     = 60.0 // seconds between two scans for accounts to be dropped
	auditTimeout       = 2.0  // seconds that an audit waits for those that don't answer
	maxAccountsInReply = 500
	// releaseLogOnly is the request ID of a state request that asks for a newer release log and for
	// nothing else.
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

// nextAccountSummary returns when the next account summary is due.
func (a *Agent) nextAccountSummary() float64 {
	if a.audits.urgentSummaries > 0 {
		return a.audits.lastSummary + urgentSummaryInterval
	}
	return a.audits.lastSummary + summaryInterval
}

// gossipAccount sends some others a summary of this process's own account.
func (a *Agent) gossipAccount(now float64) {
	if now < a.nextAccountSummary() {
		return
	}
	a.audits.lastSummary = now
	a.audits.urgentSummaries = max(0, a.audits.urgentSummaries-1)
	summary := a.audits.trail.Summary()
	a.gossip(gossipFanout, &wire.Envelope{AccountSummary: &summary})
}

func (a *Agent) handleAccountSummary(now float64, message *wire.Envelope) {
	a.audits.trail.Merge(*message.AccountSummary)
	a.requestLeaseForNewerEpoch(now, message.AccountSummary)
}

// forgetAccounts drops the accounts of names that are neither registered nor members.
func (a *Agent) forgetAccounts(now float64) {
	if now < a.audits.lastForget+forgetInterval || len(a.releases.log.Members) == 0 {
		return
	}
	a.audits.lastForget = now
	a.audits.trail.Forget(func(name string) bool {
		_, registered := a.releases.log.Members[name]
		return registered || a.network.HasMember(name)
	})
}

// handleStateRequest answers an audit's request, or one for a newer release log alone.
func (a *Agent) handleStateRequest(now float64, message *wire.Envelope) {
	request := message.StateRequest
	var reply *wire.StateReply
	if request.RequestID == releaseLogOnly {
		log := a.logNewerThan(request)
		if log == nil {
			return
		}
		reply = &wire.StateReply{RequestID: releaseLogOnly, ReleaseLog: log}
	} else {
		reply = a.auditReply(now, request)
	}
	a.sendReply(message, &wire.Envelope{StateReply: reply})
}

// auditReply returns the known accounts and, if this process votes, a newer release log; the leader
// adds the status of all servers.
func (a *Agent) auditReply(now float64, request *wire.StateRequest) *wire.StateReply {
	a.recordVersionStats()
	accounts := a.accounts(request.Names)
	reply := &wire.StateReply{
		RequestID:   request.RequestID,
		Replication: a.ReplicationStatus(),
		Accounts:    accounts[max(0, len(accounts)-maxAccountsInReply):],
	}
	if a.voter != nil {
		reply.ReleaseLog = a.logNewerThan(request)
	}
	if a.hasJoinedCluster() {
		reply.Servers = a.serverStatuses(now)
	}
	return reply
}

// logNewerThan returns this process's release log if it is newer than the requester's, else nil.
func (a *Agent) logNewerThan(request *wire.StateRequest) *release.Log {
	known := &release.Log{
		Current:      release.Version{Epoch: release.NewEpoch(request.ClusterID, 0)},
		AppliedCount: request.AppliedCount,
	}
	if !a.releases.log.NewerThan(known) {
		return nil
	}
	return a.releases.log
}

// accounts returns the known accounts of some names, nil for all, and the process's own account as
// the last.
func (a *Agent) accounts(names []string) []audit.Account {
	return append(a.audits.trail.Accounts(names), a.audits.trail.Account())
}

// serverStatuses returns the status of all servers, nil unless this process is the leader.
func (a *Agent) serverStatuses(now float64) []lease.ServerStatus {
	if a.lease.grantor == nil || !a.isConfirmedLeader(now) {
		return nil
	}
	return a.lease.grantor.ServerStatuses(now, a.releases.log)
}

func (a *Agent) handleStateReply(_ float64, message *wire.Envelope) {
	reply := message.StateReply
	a.observeReleaseLog(reply.ReleaseLog)
	run := a.audits.pending[reply.RequestID]
	if run == nil || !run.awaiting[message.From] {
		return
	}
	delete(run.awaiting, message.From)
	run.result.add(message)
}

// add merges one process's reply.
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

// startAudit requests the accounts of all members, and calls done once with what arrived in time.
func (a *Agent) startAudit(now float64, done func(*auditResult)) {
	a.audits.lastRunID++
	run := &pendingAudit{
		deadline: now + auditTimeout,
		awaiting: map[string]bool{},
		result: auditResult{
			responding: map[uint64]bool{a.incarnation: true},
			replicas:   map[string]*replication.Status{},
		},
		done: done,
	}
	if own := a.ReplicationStatus(); own != nil {
		run.result.replicas[a.config.Name] = own
	}
	a.recordVersionStats()
	run.result.accounts = a.accounts(nil)
	if a.hasJoinedCluster() {
		run.result.releaseLog = a.releases.log
		run.result.servers = a.serverStatuses(now)
	}
	a.audits.pending[a.audits.lastRunID] = run
	absent := a.absentServers()
	for name, addr := range a.network.Members() {
		run.awaiting[name] = true
		request := &wire.StateRequest{RequestID: a.audits.lastRunID, Names: absent}
		a.send(addr, &wire.Envelope{StateRequest: request})
	}
}

// absentServers returns the names of registered servers that are no members, of which the others
// are asked for accounts.
func (a *Agent) absentServers() []string {
	var names []string
	for name := range a.releases.log.Members {
		if name != a.config.Name && !a.network.HasMember(name) && len(names) < maxAccountsInReply {
			names = append(names, name)
		}
	}
	if names == nil {
		return []string{""} // an empty list would request all
	}
	return names
}

// expireAudits ends the audits that all members answered, or whose deadline has passed.
func (a *Agent) expireAudits(now float64) {
	for id, run := range a.audits.pending {
		complete := len(run.awaiting) == 0 && run.result.releaseLog != nil
		if now > run.deadline || complete {
			delete(a.audits.pending, id)
			run.done(&run.result)
		}
	}
}
