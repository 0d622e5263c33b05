package fleet

import (
	"errors"

	"swiftcourse/internal/policy/loadplan"
)

// This file is what forwarders and planners say to one another.

func encodePlanNumber(n loadplan.Version) *PlanNumber {
	return &PlanNumber{Founding: n.ClusterID, Term: n.Term, Seq: n.Sequence}
}

func decodePlanNumber(p *PlanNumber) loadplan.Version {
	return loadplan.Version{ClusterID: p.GetFounding(), Term: p.GetTerm(), Sequence: p.GetSeq()}
}

func encodeDemand(list []loadplan.TenantRate) (to []*PlanDemand) {
	for _, d := range list {
		to = append(to, &PlanDemand{Tenant: d.Tenant, Rate: d.Rate})
	}
	return to
}

func decodeDemand(p []*PlanDemand) (list []loadplan.TenantRate, err error) {
	if len(p) > maxMapEntries {
		return nil, errTooLarge
	}
	for _, d := range p {
		if err := errors.Join(checkNames(d.Tenant), checkCount(d.Rate)); err != nil {
			return nil, err
		}
		list = append(list, loadplan.TenantRate{Tenant: d.Tenant, Rate: d.Rate})
	}
	return list, nil
}

// encodePlanMessage writes a message of plans, where it is one.
func encodePlanMessage(p *Packet, m *Envelope) error {
	switch {
	case m.ForwarderReport != nil:
		r := m.ForwarderReport
		to := &PlanReport{Name: r.Name, Life: r.Incarnation, Number: r.Sequence, For: r.IntervalSeconds, Holds: encodePlanNumber(r.CurrentVersion), Demand: encodeDemand(r.Demand)}
		for _, w := range r.Workers {
			to.Workers = append(to.Workers, &PlanSeen{Name: w.Name, Linked: w.Connected, Open: uint32(w.InFlight), Finished: uint32(w.Finished),
				Rejected: uint32(w.Rejected), Lost: uint32(w.Lost)})
		}
		p.Body = &Packet_PlanReport{to}
	case m.PlanShare != nil:
		a := m.PlanShare
		to := &PlanPart{Number: encodePlanNumber(a.Version), For: a.Incarnation, Answers: a.ReportSequence, Lease: a.LeaseSeconds, Rates: encodeDemand(a.RateLimits)}
		for _, w := range a.Weights {
			to.Weights = append(to.Weights, &PlanWeight{Name: w.Name, Part: float32(w.Weight)})
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
		m.ForwarderReport = &loadplan.Report{Name: r.Name, Incarnation: r.Life, Sequence: r.Number, IntervalSeconds: r.For, CurrentVersion: decodePlanNumber(r.Holds)}
		if len(r.Workers) > maxMapEntries {
			return errTooLarge
		}
		for _, w := range r.Workers {
			if err := checkNames(w.Name); err != nil {
				return err
			}
			m.ForwarderReport.Workers = append(m.ForwarderReport.Workers, loadplan.WorkerStats{Name: w.Name, Connected: w.Linked, InFlight: int(w.Open), Finished: int(w.Finished),
				Rejected: int(w.Rejected), Lost: int(w.Lost)})
		}
		m.ForwarderReport.Demand, err = decodeDemand(r.Demand)
		err = errors.Join(err, checkNames(r.Name), checkCount(r.For))
	case *Packet_PlanPart:
		a := body.PlanPart
		m.PlanShare = &loadplan.Assignment{Version: decodePlanNumber(a.Number), Incarnation: a.For, ReportSequence: a.Answers, LeaseSeconds: a.Lease}
		if len(a.Weights) > maxMapEntries {
			return errTooLarge
		}
		for _, w := range a.Weights {
			if err := errors.Join(checkNames(w.Name), checkCount(float64(w.Part))); err != nil {
				return err
			}
			m.PlanShare.Weights = append(m.PlanShare.Weights, loadplan.WorkerWeight{Name: w.Name, Weight: float64(w.Part)})
		}
		m.PlanShare.RateLimits, err = decodeDemand(a.Rates)
		err = errors.Join(err, checkCount(a.Lease))
	default:
		return errUnknownBody
	}
	return err
}
