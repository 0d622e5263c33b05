package peers

import (
	"errors"
	"math"
	"time"

	"swiftcourse/internal/judge/plan"
	wire "swiftcourse/internal/wire/fleet"
)

// This file is a process's part in plans: a forwarder reports to the voter that leads, and hands the answer to its loop; a planner that leads makes them.

// Plans is what a process does with them.
type Plans struct {
	Makes bool                              // it is a planner: of those the voter that leads makes plans
	Tell  func(now float64) *plan.Report    // a forwarder's report, nil where there is none now; nil for who is no forwarder
	Hear  func(p *plan.Part, until float64) // hands the loop its part, and by this clock until when it holds
}

// planning is the part's state of it.
type planning struct {
	*Plans
	holder  *plan.Holder
	planner *plan.Planner // nil where this process does not lead
	next    float64
	until   float64 // the part that was taken last is fresh till then
}

func (f *Part) beginPlans(now float64) {
	if f.Plans != nil {
		f.plans = &planning{Plans: f.Plan.Plans, holder: plan.NewHolder(f.life), next: now}
	}
}

// leadPlans begins and ends with the term in which this process leads: a planner that leads again has another term.
func (f *Part) leadPlans(now float64) {
	p := f.plans
	if p == nil || !p.Makes || f.voter == nil {
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
	p.planner = plan.New(founding, term, now)
	f.Say("fleet_plans", "founding", founding, "term", term)
}

func (f *Part) duePlans(now float64) {
	p := f.plans
	if p == nil || p.Tell == nil || now < p.next {
		return
	}
	p.next = now + plan.Every
	r := p.Tell(now)
	if r == nil {
		return
	}
	r.Name = f.Name
	p.holder.Report(now, r)
	name := f.self.Leader()
	if name == f.Name {
		f.takePlans(now, &wire.Message{PlanReport: r, From: f.Name, Life: f.life})
	} else if f.Voters[name] != "" {
		f.send(f.Voters[name], &wire.Message{PlanReport: r})
	}
}

func (f *Part) nextPlans() float64 {
	if f.plans == nil || f.plans.Tell == nil {
		return math.Inf(1)
	}
	return f.plans.next
}

// takePlans answers a forwarder's report, or takes an answer in.
func (f *Part) takePlans(now float64, m *wire.Message) {
	p := f.plans
	switch {
	case p == nil:
	case m.PlanPart != nil:
		if until := p.holder.Take(now, m.PlanPart); until > now && p.Hear != nil {
			p.until = until
			p.Hear(m.PlanPart, until)
		}
	case p.planner != nil && f.confirmed(now) && m.PlanReport.Name == m.From && m.PlanReport.Life == m.Life:
		a := p.planner.Read(now, m.PlanReport)
		if a == nil {
			return
		}
		if m.From == f.Name && m.Life == f.life {
			f.takePlans(now, &wire.Message{PlanPart: a})
			return
		}
		f.reply(m, &wire.Message{PlanPart: a})
	}
}

// PlanState is how plans stand at a process.
type PlanState struct {
	Name   string
	Leader string
	Holds  plan.Number   `json:"Holds"` // that a forwarder goes by, or went by last
	Till   float64       `json:"Till"`  // for how many seconds it is fresh, under 0 where it ages
	Stale  int           // parts of plans that were not taken
	Makes  *plan.Account `json:"Makes"` // nil where this one makes none
}

// Planned tells it.
func (f *Part) Planned(now float64) *PlanState {
	s := &PlanState{Name: f.Name, Leader: f.self.Leader()}
	if p := f.plans; p != nil {
		s.Holds, s.Stale, s.Till = p.holder.Holds(), p.holder.Stale, p.until-now
		if p.planner != nil && f.confirmed(now) {
			s.Makes = p.planner.Account(now)
		}
	}
	return s
}

// PlanState tells it from any goroutine.
func (f *Peers) PlanState() (*PlanState, error) {
	done := make(chan *PlanState, 1)
	if err := f.do(func(now float64) { done <- f.Planned(now) }); err != nil {
		return nil, err
	}
	select {
	case s := <-done:
		return s, nil
	case <-time.After(2 * time.Second):
		return nil, errors.New("the fleet's part of this process is down")
	}
}
