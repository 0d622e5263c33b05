package fleet

import (
	"errors"

	"swiftcourse/internal/policy/loadplan"
)

// This file is what forwarders and planners say to one another.

func encodePlanNumber(n loadplan.Number) *PlanNumber {
	return &PlanNumber{Founding: n.Founding, Term: n.Term, Seq: n.Seq}
}

func decodePlanNumber(p *PlanNumber) loadplan.Number {
	return loadplan.Number{Founding: p.GetFounding(), Term: p.GetTerm(), Seq: p.GetSeq()}
}

func encodeDemand(list []loadplan.Demand) (to []*PlanDemand) {
	for _, d := range list {
		to = append(to, &PlanDemand{Tenant: d.Tenant, Rate: d.Rate})
	}
	return to
}

func decodeDemand(p []*PlanDemand) (list []loadplan.Demand, err error) {
	if len(p) > maxMapEntries {
		return nil, errTooLarge
	}
	for _, d := range p {
		if err := errors.Join(checkNames(d.Tenant), checkCount(d.Rate)); err != nil {
			return nil, err
		}
		list = append(list, loadplan.Demand{Tenant: d.Tenant, Rate: d.Rate})
	}
	return list, nil
}

// encodePlanMessage writes a message of plans, where it is one.
func encodePlanMessage(p *Packet, m *Envelope) error {
	switch {
	case m.ForwarderReport != nil:
		r := m.ForwarderReport
		to := &PlanReport{Name: r.Name, Life: r.Life, Number: r.Number, For: r.For, Holds: encodePlanNumber(r.Holds), Demand: encodeDemand(r.Demand)}
		for _, w := range r.Workers {
			to.Workers = append(to.Workers, &PlanSeen{Name: w.Name, Linked: w.Linked, Open: uint32(w.Open), Finished: uint32(w.Finished),
				Rejected: uint32(w.Rejected), Lost: uint32(w.Lost)})
		}
		p.Body = &Packet_PlanReport{to}
	case m.PlanShare != nil:
		a := m.PlanShare
		to := &PlanPart{Number: encodePlanNumber(a.Number), For: a.For, Answers: a.Answers, Lease: a.Lease, Rates: encodeDemand(a.Rates)}
		for _, w := range a.Weights {
			to.Weights = append(to.Weights, &PlanWeight{Name: w.Name, Part: float32(w.Part)})
		}
		p.Body = &Packet_PlanPart{to}
	default:
		return errUnknownBody
	}
	return nil
}

// decodePlanMessage reads one.
func decodePlanMessage(p *Packet, m *Envelope) (err error) {
	switch body := p.Body.(type) {
	case *Packet_PlanReport:
		r := body.PlanReport
		m.ForwarderReport = &loadplan.Report{Name: r.Name, Life: r.Life, Number: r.Number, For: r.For, Holds: decodePlanNumber(r.Holds)}
		if len(r.Workers) > maxMapEntries {
			return errTooLarge
		}
		for _, w := range r.Workers {
			if err := checkNames(w.Name); err != nil {
				return err
			}
			m.ForwarderReport.Workers = append(m.ForwarderReport.Workers, loadplan.Seen{Name: w.Name, Linked: w.Linked, Open: int(w.Open), Finished: int(w.Finished),
				Rejected: int(w.Rejected), Lost: int(w.Lost)})
		}
		m.ForwarderReport.Demand, err = decodeDemand(r.Demand)
		err = errors.Join(err, checkNames(r.Name), checkCount(r.For))
	case *Packet_PlanPart:
		a := body.PlanPart
		m.PlanShare = &loadplan.Part{Number: decodePlanNumber(a.Number), For: a.For, Answers: a.Answers, Lease: a.Lease}
		if len(a.Weights) > maxMapEntries {
			return errTooLarge
		}
		for _, w := range a.Weights {
			if err := errors.Join(checkNames(w.Name), checkCount(float64(w.Part))); err != nil {
				return err
			}
			m.PlanShare.Weights = append(m.PlanShare.Weights, loadplan.Weight{Name: w.Name, Part: float64(w.Part)})
		}
		m.PlanShare.Rates, err = decodeDemand(a.Rates)
		err = errors.Join(err, checkCount(a.Lease))
	default:
		return errUnknownBody
	}
	return err
}
