package fleet

import (
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/release"
	wire "swiftcourse/internal/wire/fleet"
)

// QuotaConfig configures the quotas shared by all servers.
type QuotaConfig struct {
	Settings func() quota.Config // returns the settings of the active version
	// OnAllowances passes changed allowances to the serving loop. Their times are of the agent's
	// clock.
	OnAllowances func([]quota.Allowance)
}

// Usage is the serving loop's recent usage of a quota.
type Usage struct {
	Name        string
	Demand      float64 // requests a second, including those that were not admitted
	InFlight    float64 // calls in flight
	GrantNumber uint64  // of the quota.Allowance that the serving loop applies
}

// quotaManager leases the process's share of each quota, and grants shares to servers while the
// process is the leader.
type quotaManager struct {
	agent   *Agent
	config  *QuotaConfig
	holder  *quota.Holder
	grantor *quota.Grantor // nil unless this process is the leader
}

func newQuotaManager(a *Agent, now float64) *quotaManager {
	q := &quotaManager{
		agent:  a,
		config: a.config.Quotas,
		holder: quota.NewHolder(a.incarnation, a.config.Quotas.Settings(), now),
	}
	a.registerHandler(q.handleRequest, wire.KindQuotaRequest)
	a.registerHandler(q.handleReply, wire.KindQuotaReply)
	q.publish()
	return q
}

// ObserveUsage records the serving loop's usage. It has no effect if quotas are disabled.
func (a *Agent) ObserveUsage(now float64, usage []Usage) {
	if a.quotas == nil {
		return
	}
	for _, used := range usage {
		a.quotas.holder.RecordUsage(now, used.Name, used.Demand, used.InFlight, used.GrantNumber)
	}
}

// applyConfig switches to the settings of the version that has become active.
func (q *quotaManager) applyConfig(now float64) {
	settings := q.config.Settings()
	q.holder.ApplyConfig(settings, now)
	if q.grantor != nil {
		q.grantor.ApplyConfig(settings)
	}
}

// updateLeadership starts and stops granting together with the grantor of server leases.
func (q *quotaManager) updateLeadership(now float64) {
	switch {
	case q.agent.lease.grantor == nil:
		q.grantor = nil
	case q.grantor == nil:
		q.grantor = quota.NewGrantor(q.config.Settings(), q.agent.random.Uint64()|1, now)
	}
}

func (q *quotaManager) nextWakeup(float64) float64 { return q.holder.NextWakeup() }

func (q *quotaManager) tick(now float64) {
	if q.holder.NextWakeup() <= now {
		if request := q.holder.NextRequest(now); request != nil {
			q.agent.sendToVoter(now, q.agent.lease.holder.Leader(), &wire.Envelope{QuotaRequest: request})
		}
	}
	q.publish()
}

// publish passes changed allowances to the serving loop.
func (q *quotaManager) publish() {
	if allowances := q.holder.TakeChanges(); allowances != nil {
		q.config.OnAllowances(allowances)
	}
}

// handleRequest replies to a server's request for shares. Only the incarnation registered under its
// name is granted a share of the pool. Others get no reply and may use at most their floor; package
// quota describes both.
func (q *quotaManager) handleRequest(now float64, message *wire.Envelope) {
	if q.grantor == nil || q.agent.releases.log.Members[message.From] != message.Incarnation {
		return
	}
	reply := q.grantor.HandleRequest(now, message.QuotaRequest, q.agent.isConfirmedLeader(now))
	if reply != nil {
		q.agent.routeReply(now, message, &wire.Envelope{QuotaReply: reply})
	}
}

func (q *quotaManager) handleReply(now float64, message *wire.Envelope) {
	q.holder.HandleReply(now, message.QuotaReply)
}

// QuotaStatus is the status of quotas at one process.
type QuotaStatus struct {
	Now      float64             `json:"Now"` // time of the agent's clock
	Leader   string              `json:"Leader"`
	IsLeader bool                `json:"Leads"`
	Held     []quota.Allowance   `json:"Here,omitempty"`    // leased shares of this process, by the agent's clock
	Granted  []quota.LimitStatus `json:"Granted,omitempty"` // shares granted to servers; set only at the leader
	Epoch    release.Epoch       `json:"Epoch"`
}

// maxQuotasListed limits the quotas in each list of a QuotaStatus.
const maxQuotasListed = 1000

// quotaStatus returns the status of quotas at this process.
func (a *Agent) quotaStatus(now float64) *QuotaStatus {
	status := &QuotaStatus{Now: now, Leader: a.lease.holder.Leader(), Epoch: a.releases.active.Epoch}
	if a.quotas == nil {
		return status
	}
	if held := a.quotas.holder.ActiveLeases(now); len(held) > 0 {
		status.Held = held[:min(len(held), maxQuotasListed)]
	}
	status.IsLeader = a.quotas.grantor != nil && a.isConfirmedLeader(now)
	if status.IsLeader {
		status.Granted = a.quotas.grantor.Status(now, maxQuotasListed)
	}
	return status
}
