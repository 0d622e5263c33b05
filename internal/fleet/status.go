package fleet

import (
	"swiftcourse/internal/policy/audit"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/replication"
)

// Status is the status of a process and its fleet for an operator. The JSON keys are part of the
// control API and stay the same when a Go field is renamed.
type Status struct {
	Name              string                         `json:"Name"`
	Incarnation       uint64                         `json:"Life"`
	LeaseState        string                         `json:"Standing"`
	Reason            string                         `json:"Why"` // for LeaseState
	ActiveEpoch       release.Epoch                  `json:"Acts"`
	AssignedEpoch     release.Epoch                  `json:"Right"`
	Leader            string                         `json:"Leader"`
	MayGoOutOfService bool                           `json:"MayLeave"` // after lease expiry; see setting fleet-silent
	DroppedMessages   uint64                         `json:"Lost"`     // includes claim events; see Node.dropped
	ReleaseLog        *release.Log                   `json:"Order"`
	Servers           []lease.ServerStatus           `json:"Standings"`
	Audit             audit.Report                   `json:"Report"`
	Replicas          map[string]*replication.Status `json:"Copies"` // by process name, of the processes that replied
}

// QueryStatus audits the fleet, and returns the status of this process and the fleet. Versions older
// than the epoch since are omitted.
func (n *Node) QueryStatus(since release.Epoch) (*Status, error) {
	done := make(chan *auditResult, 1)
	start := func(now float64) { n.agent.startAudit(now, func(result *auditResult) { done <- result }) }
	if err := n.runOnAgent(start); err != nil {
		return nil, err
	}
	result, err := await(done, toDuration(auditTimeoutSeconds)+requestTimeout)
	if err != nil {
		return nil, err
	}
	if result.releaseLog == nil {
		return nil, ErrNoReleaseLog
	}
	evidence := audit.Evidence{
		Log:        result.releaseLog,
		Servers:    result.servers,
		Accounts:   result.accounts,
		Responding: result.responding,
	}
	report := audit.NewReport(evidence, since)
	status, err := query(n, (*Agent).status)
	if err != nil {
		return nil, err
	}
	status.DroppedMessages = n.dropped.Load()
	status.ReleaseLog = result.releaseLog
	status.Servers = result.servers
	status.Audit = report
	status.Replicas = result.replicas
	return status, nil
}

// status returns the part of the status that concerns this process itself.
func (a *Agent) status(float64) *Status {
	state, reason := a.lease.holder.State()
	return &Status{
		Name:              a.config.Name,
		Incarnation:       a.incarnation,
		LeaseState:        state.String(),
		Reason:            reason,
		ActiveEpoch:       a.releases.active.Epoch,
		AssignedEpoch:     a.lease.holder.AssignedEpoch(),
		Leader:            a.lease.holder.Leader(),
		MayGoOutOfService: a.lease.holder.MayGoOutOfService(),
	}
}

// QueryQuotas returns the status of quotas at this process.
func (n *Node) QueryQuotas() (*QuotaStatus, error) { return query(n, (*Agent).quotaStatus) }

// QueryLoadPlan returns the status of load plans at this process.
func (n *Node) QueryLoadPlan() (*LoadPlanStatus, error) { return query(n, (*Agent).LoadPlanStatus) }

// QueryCounters returns the fleet's counters as known to this process, or ErrCountersDisabled.
func (n *Node) QueryCounters() (*CounterStatus, error) {
	status, err := query(n, (*Agent).CounterStatus)
	if err == nil && status == nil {
		err = ErrCountersDisabled
	}
	return status, err
}
