package fleet

import (
	"errors"

	"swiftcourse/internal/judge/plan"
)

// This file is what forwarders and planners say to one another.

func putNumber(n plan.Number) *PlanNumber {
	return &PlanNumber{Founding: n.Founding, Term: n.Term, Seq: n.Seq}
}

func number(p *PlanNumber) plan.Number {
	return plan.Number{Founding: p.GetFounding(), Term: p.GetTerm(), Seq: p.GetSeq()}
}

func putDemand(list []plan.Demand) (to []*PlanDemand) {
	for _, d := range list {
		to = append(to, &PlanDemand{Tenant: d.Tenant, Rate: d.Rate})
	}
	return to
}

func demand(p []*PlanDemand) (list []plan.Demand, err error) {
	if len(p) > maxLongList {
		return nil, errSize
	}
	for _, d := range p {
		if err := errors.Join(short(d.Tenant), count(d.Rate)); err != nil {
			return nil, err
		}
		list = append(list, plan.Demand{Tenant: d.Tenant, Rate: d.Rate})
	}
	return list, nil
}

// putPlan writes a message of plans, where it is one.
func putPlan(p *Packet, m *Message) error {
	switch {
	case m.PlanReport != nil:
		r := m.PlanReport
		to := &PlanReport{Name: r.Name, Life: r.Life, Number: r.Number, For: r.For, Holds: putNumber(r.Holds), Demand: putDemand(r.Demand)}
		for _, w := range r.Workers {
			to.Workers = append(to.Workers, &PlanSeen{Name: w.Name, Linked: w.Linked, Open: uint32(w.Open), Finished: uint32(w.Finished),
				Rejected: uint32(w.Rejected), Lost: uint32(w.Lost)})
		}
		p.Body = &Packet_PlanReport{to}
	case m.PlanPart != nil:
		a := m.PlanPart
		to := &PlanPart{Number: putNumber(a.Number), For: a.For, Answers: a.Answers, Lease: a.Lease, Rates: putDemand(a.Rates)}
		for _, w := range a.Weights {
			to.Weights = append(to.Weights, &PlanWeight{Name: w.Name, Part: float32(w.Part)})
		}
		p.Body = &Packet_PlanPart{to}
	default:
		return errEmpty
	}
	return nil
}

// readPlan reads one.
func readPlan(p *Packet, m *Message) (err error) {
	switch body := p.Body.(type) {
	case *Packet_PlanReport:
		r := body.PlanReport
		m.PlanReport = &plan.Report{Name: r.Name, Life: r.Life, Number: r.Number, For: r.For, Holds: number(r.Holds)}
		if len(r.Workers) > maxLongList {
			return errSize
		}
		for _, w := range r.Workers {
			if err := short(w.Name); err != nil {
				return err
			}
			m.PlanReport.Workers = append(m.PlanReport.Workers, plan.Seen{Name: w.Name, Linked: w.Linked, Open: int(w.Open), Finished: int(w.Finished),
				Rejected: int(w.Rejected), Lost: int(w.Lost)})
		}
		m.PlanReport.Demand, err = demand(r.Demand)
		err = errors.Join(err, short(r.Name), count(r.For))
	case *Packet_PlanPart:
		a := body.PlanPart
		m.PlanPart = &plan.Part{Number: number(a.Number), For: a.For, Answers: a.Answers, Lease: a.Lease}
		if len(a.Weights) > maxLongList {
			return errSize
		}
		for _, w := range a.Weights {
			if err := errors.Join(short(w.Name), count(float64(w.Part))); err != nil {
				return err
			}
			m.PlanPart.Weights = append(m.PlanPart.Weights, plan.Weight{Name: w.Name, Part: float64(w.Part)})
		}
		m.PlanPart.Rates, err = demand(a.Rates)
		err = errors.Join(err, count(a.Lease))
	default:
		return errEmpty
	}
	return err
}
