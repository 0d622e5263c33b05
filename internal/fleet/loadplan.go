package fleet

import (
	"math"

	"swiftcourse/internal/policy/loadplan"
	wire "swiftcourse/internal/wire/fleet"
)

// LoadPlanConfig configures load plans: a forwarder reports to the leader of the planners and
// follows its assignment.
type LoadPlanConfig struct {
	IsPlanner bool // makes plans while it leads
	// Report returns a forwarder's report, nil while there is none. The function is nil where the
	// process is no forwarder.
	Report func(now float64) *loadplan.Report
	// OnAssignment hands the serving loop its assignment, which holds until freshUntil by the
	// agent's clock.
	OnAssignment func(assignment *loadplan.Assignment, freshUntil float64)
}

// loadPlanner reports for a forwarder, and makes plans while the process leads the planners.
type loadPlanner struct {
	agent      *Agent
	config     *LoadPlanConfig
	subscriber *loadplan.Subscriber
	planner    *loadplan.Planner // nil unless this process leads
	nextReport float64
	freshUntil float64 // of the assignment that was accepted last
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

// updateLeadership starts and ends planning with the term in which this process leads: a planner
// that leads again has another term.
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

// tick sends the forwarder's report to the leader.
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

// handleReport answers a forwarder's report with its assignment.
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

// handleAssignment goes over to a newer assignment.
func (p *loadPlanner) handleAssignment(now float64, message *wire.Envelope) {
	freshUntil, accepted := p.subscriber.Accept(now, message.PlanAssignment)
	if accepted && p.config.OnAssignment != nil {
		p.freshUntil = freshUntil
		p.config.OnAssignment(message.PlanAssignment, freshUntil)
	}
}

// LoadPlanStatus is the status of load plans at a process.
type LoadPlanStatus struct {
	Name     string           `json:"Name"`
	Leader   string           `json:"Leader"`
	Current  loadplan.Version `json:"Holds"` // of the plan that the forwarder follows, or followed last
	FreshFor float64          `json:"Till"`  // seconds, negative while it ages
	Stale    int              `json:"Stale"` // assignments that were too old to be accepted
	Planner  *loadplan.Status `json:"Makes"` // nil where this process makes no plans
}

// LoadPlanStatus returns the status of load plans here.
func (a *Agent) LoadPlanStatus(now float64) *LoadPlanStatus {
	status := &LoadPlanStatus{Name: a.config.Name, Leader: a.lease.holder.Leader()}
	p := a.loadPlan
	if p == nil {
		return status
	}
	status.Current = p.subscriber.Version()
	status.Stale = p.subscriber.RejectedAssignments
	status.FreshFor = p.freshUntil - now
	if p.planner != nil && a.isConfirmedLeader(now) {
		status.Planner = p.planner.Status(now)
	}
	return status
}
