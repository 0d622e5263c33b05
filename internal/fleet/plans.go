package fleet

import (
	"errors"
	"math"
	"time"

	"swiftcourse/internal/policy/loadplan"
	wire "swiftcourse/internal/wire/fleet"
)

// This file is a process's part in plans: a forwarder reports to the voter that leads, and hands the answer to its loop; a planner that leads makes them.

// LoadPlanConfig is what a process does with them.
type LoadPlanConfig struct {
	IsPlanner bool                                        // it is a planner: of those the voter that leads makes plans
	Report    func(now float64) *loadplan.Report          // a forwarder's report, nil where there is none now; nil for who is no forwarder
	OnShare   func(p *loadplan.Assignment, until float64) // hands the loop its part, and by this clock until when it holds
}

// loadPlanState is the part's state of it.
type loadPlanState struct {
	*LoadPlanConfig
	holder     *loadplan.Subscriber
	planner    *loadplan.Planner // nil where this process does not lead
	nextReport float64
	freshUntil float64 // the part that was taken last is fresh till then
}

func (f *Agent) beginPlans(now float64) {
	if f.LoadPlan != nil {
		f.loadPlan = &loadPlanState{LoadPlanConfig: f.Config.LoadPlan, holder: loadplan.NewSubscriber(f.incarnation), nextReport: now}
	}
}

// leadPlans begins and ends with the term in which this process leads: a planner that leads again has another term.
func (f *Agent) leadPlans(now float64) {
	p := f.loadPlan
	if p == nil || !p.IsPlanner || f.voter == nil {
		return
	}
	if !f.confirmed(now) {
		p.planner = nil
		return
	}
	founding, term := f.voter.Term()
	if p.planner != nil {
		if was, in := p.planner.Term(); was == founding && in == term {
			return
		}
	}
	p.planner = loadplan.New(founding, term, now)
	f.Log("fleet_plans", "founding", founding, "term", term)
}

func (f *Agent) duePlans(now float64) {
	p := f.loadPlan
	if p == nil || p.Report == nil || now < p.nextReport {
		return
	}
	p.nextReport = now + loadplan.ReportIntervalSeconds
	r := p.Report(now)
	if r == nil {
		return
	}
	r.Name = f.Name
	p.holder.StampReport(now, r)
	name := f.leaseHolder.Leader()
	if name == f.Name {
		f.takePlans(now, &wire.Envelope{ForwarderReport: r, From: f.Name, Incarnation: f.incarnation})
	} else if f.Voters[name] != "" {
		f.send(f.Voters[name], &wire.Envelope{ForwarderReport: r})
	}
}

func (f *Agent) nextPlans() float64 {
	if f.loadPlan == nil || f.loadPlan.Report == nil {
		return math.Inf(1)
	}
	return f.loadPlan.nextReport
}

// takePlans answers a forwarder's report, or takes an answer in.
func (f *Agent) takePlans(now float64, m *wire.Envelope) {
	p := f.loadPlan
	switch {
	case p == nil:
	case m.PlanShare != nil:
		if until := p.holder.Accept(now, m.PlanShare); until > now && p.OnShare != nil {
			p.freshUntil = until
			p.OnShare(m.PlanShare, until)
		}
	case p.planner != nil && f.confirmed(now) && m.ForwarderReport.Name == m.From && m.ForwarderReport.Incarnation == m.Incarnation:
		a := p.planner.HandleReport(now, m.ForwarderReport)
		if a == nil {
			return
		}
		if m.From == f.Name && m.Incarnation == f.incarnation {
			f.takePlans(now, &wire.Envelope{PlanShare: a})
			return
		}
		f.reply(m, &wire.Envelope{PlanShare: a})
	}
}

// LoadPlanStatus is how plans stand at a process.
type LoadPlanStatus struct {
	Name     string
	Leader   string
	Current  loadplan.Version `json:"Holds"` // that a forwarder goes by, or went by last
	FreshFor float64          `json:"Till"`  // for how many seconds it is fresh, under 0 where it ages
	Stale    int              // parts of plans that were not taken
	Planner  *loadplan.Status `json:"Makes"` // nil where this one makes none
}

// LoadPlanStatus tells it.
func (f *Agent) LoadPlanStatus(now float64) *LoadPlanStatus {
	s := &LoadPlanStatus{Name: f.Name, Leader: f.leaseHolder.Leader()}
	if p := f.loadPlan; p != nil {
		s.Current, s.Stale, s.FreshFor = p.holder.Version(), p.holder.StaleAssignments, p.freshUntil-now
		if p.planner != nil && f.confirmed(now) {
			s.Planner = p.planner.Status(now)
		}
	}
	return s
}

// QueryLoadPlan tells it from any goroutine.
func (f *Node) QueryLoadPlan() (*LoadPlanStatus, error) {
	done := make(chan *LoadPlanStatus, 1)
	if err := f.call(func(now float64) { done <- f.LoadPlanStatus(now) }); err != nil {
		return nil, err
	}
	select {
	case s := <-done:
		return s, nil
	case <-time.After(2 * time.Second):
		return nil, errors.New("the fleet's part of this process is down")
	}
}
