package fleet

import (
	"math"

	"swiftcourse/internal/policy/loadplan"
	wire "swiftcourse/internal/wire/fleet"
)

// LoadPlanConfig configures load plans. A forwarder reports to the leader of the planners and follows
// the assignment in its reply.
type LoadPlanConfig struct {
	IsPlanner bool // whether the process makes plans while it is the leader
	// Report returns the forwarder's report, nil if there is none yet. The function is nil if the
	// process is not a forwarder.
	Report func(now float64) *loadplan.Report
	// OnAssignment passes an assignment to the serving loop. It is fresh until freshUntil, a time
	// of the agent's clock.
	OnAssignment func(assignment *loadplan.Assignment, freshUntil float64)
}

// loadPlanner sends the reports of a forwarder, and makes plans while the process is the leader of
// the planners.
type loadPlanner struct {
	agent      *Agent
	config     *LoadPlanConfig
	subscriber *loadplan.Subscriber
	planner    *loadplan.Planner // nil unless this process is the leader
	nextReport float64
	freshUntil float64 // of the last accepted assignment
}

func newLoadPlanner(a *Agent, now float64) *loadPlanner {
	p := &loadPlanner{
		agent:      a,
		config:     a.config.LoadPlan,
		subscriber: loadplan.NewSubscriber(a.incarnation),
		nextReport: now,
	}
	a.registerHandler(p.handleReport, wire.KindForwarderReport)
	a.registerHandler(p.handleAssignment, wire.KindPlanAssignment)
	return p
}

// updateLeadership starts a planner when this process becomes the confirmed leader, and removes it
// when it no longer is. A process that becomes the leader again has another term and starts a new
// planner.
func (p *loadPlanner) updateLeadership(now float64) {
	if !p.config.IsPlanner {
		return
	}
	if !p.agent.isConfirmedLeader(now) {
		p.planner = nil
		return
	}
	clusterID, term := p.agent.voter.Term()
	if p.planner != nil {
		plannerClusterID, plannerTerm := p.planner.Term()
		if plannerClusterID == clusterID && plannerTerm == term {
			return
		}
	}
	p.planner = loadplan.New(clusterID, term, now)
	p.agent.logger.Info("load_planner_started", "cluster_id", clusterID, "term", term)
}

func (p *loadPlanner) nextWakeup(float64) float64 {
	if p.config.Report == nil {
		return math.Inf(1)
	}
	return p.nextReport
}

// tick sends the forwarder's report to the leader when it is due.
func (p *loadPlanner) tick(now float64) {
	if p.config.Report == nil || now < p.nextReport {
		return
	}
	p.nextReport = now + loadplan.ReportIntervalSeconds
	report := p.config.Report(now)
	if report == nil {
		return
	}
	report.Name = p.agent.config.Name
	p.subscriber.StampReport(now, report)
	p.agent.sendToVoter(now, p.agent.lease.holder.Leader(), &wire.Envelope{ForwarderReport: report})
}

// handleReport replies to a forwarder's report with the forwarder's assignment.
func (p *loadPlanner) handleReport(now float64, message *wire.Envelope) {
	report := message.ForwarderReport
	if p.planner == nil || !p.agent.isConfirmedLeader(now) {
		return
	}
	if report.Name != message.From || report.Incarnation != message.Incarnation {
		return
	}
	if assignment := p.planner.HandleReport(now, report); assignment != nil {
		p.agent.routeReply(now, message, &wire.Envelope{PlanAssignment: assignment})
	}
}

// handleAssignment switches to an assignment if the subscriber accepts it.
func (p *loadPlanner) handleAssignment(now float64, message *wire.Envelope) {
	freshUntil, accepted := p.subscriber.Accept(now, message.PlanAssignment)
	if accepted && p.config.OnAssignment != nil {
		p.freshUntil = freshUntil
		p.config.OnAssignment(message.PlanAssignment, freshUntil)
	}
}

// LoadPlanStatus is the status of load plans at one process.
type LoadPlanStatus struct {
	Name                string           `json:"Name"`
	Leader              string           `json:"Leader"`
	Current             loadplan.Version `json:"Holds"` // of the plan that the forwarder follows or followed last
	FreshSeconds        float64          `json:"Till"`  // seconds until the plan is stale, negative afterwards
	RejectedAssignments int              `json:"Stale"` // assignments that were rejected as too old
	Planner             *loadplan.Status `json:"Makes"` // nil if this process does not make plans
}

// LoadPlanStatus returns the status of load plans at this process.
func (a *Agent) LoadPlanStatus(now float64) *LoadPlanStatus {
	status := &LoadPlanStatus{Name: a.config.Name, Leader: a.lease.holder.Leader()}
	p := a.loadPlan
	if p == nil {
		return status
	}
	status.Current = p.subscriber.Version()
	status.RejectedAssignments = p.subscriber.RejectedAssignments
	status.FreshSeconds = p.freshUntil - now
	if p.planner != nil && a.isConfirmedLeader(now) {
		status.Planner = p.planner.Status(now)
	}
	return status
}
