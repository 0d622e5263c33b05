package fleet

import (
	"errors"

	"swiftcourse/internal/policy/loadplan"
)

// decodeLoadPlanBody decodes messages between forwarders and planners.
func decodeLoadPlanBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_PlanReport:
		m.ForwarderReport, err = decodeForwarderReport(body.PlanReport)
	case *Packet_PlanPart:
		m.PlanShare, err = decodePlanShare(body.PlanPart)
	default:
		return false, nil
	}
	return true, err
}

func encodePlanNumber(n loadplan.Number) *PlanNumber {
	return &PlanNumber{Founding: n.Founding, Term: n.Term, Seq: n.Seq}
}

func decodePlanNumber(p *PlanNumber) loadplan.Number {
	return loadplan.Number{Founding: p.GetFounding(), Term: p.GetTerm(), Seq: p.GetSeq()}
}

func encodeDemand(rates []loadplan.Demand) (p []*PlanDemand) {
	for _, r := range rates {
		p = append(p, &PlanDemand{Tenant: r.Tenant, Rate: r.Rate})
	}
	return p
}

func decodeDemand(p []*PlanDemand) (rates []loadplan.Demand, err error) {
	if len(p) > maxMapEntries {
		return nil, ErrTooLarge
	}
	for _, one := range p {
		if err := errors.Join(checkNames(one.Tenant), checkCount(one.Rate)); err != nil {
			return nil, err
		}
		rates = append(rates, loadplan.Demand{Tenant: one.Tenant, Rate: one.Rate})
	}
	return rates, nil
}

func encodeForwarderReport(m *Envelope) (isPacket_Body, error) {
	r := m.ForwarderReport
	p := &PlanReport{
		Name:   r.Name,
		Life:   r.Life,
		Number: r.Number,
		For:    r.For,
		Holds:  encodePlanNumber(r.Holds),
		Demand: encodeDemand(r.Demand),
	}
	for _, w := range r.Workers {
		p.Workers = append(p.Workers, &PlanSeen{
			Name:     w.Name,
			Linked:   w.Linked,
			Open:     uint32(w.Open),
			Finished: uint32(w.Finished),
			Rejected: uint32(w.Rejected),
			Lost:     uint32(w.Lost),
		})
	}
	return &Packet_PlanReport{p}, nil
}

func decodeForwarderReport(p *PlanReport) (*loadplan.Report, error) {
	if len(p.Workers) > maxMapEntries {
		return nil, ErrTooLarge
	}
	r := &loadplan.Report{
		Name:   p.Name,
		Life:   p.Life,
		Number: p.Number,
		For:    p.For,
		Holds:  decodePlanNumber(p.Holds),
	}
	for _, w := range p.Workers {
		if err := checkNames(w.Name); err != nil {
			return nil, err
		}
		r.Workers = append(r.Workers, loadplan.Seen{
			Name:     w.Name,
			Linked:   w.Linked,
			Open:     int(w.Open),
			Finished: int(w.Finished),
			Rejected: int(w.Rejected),
			Lost:     int(w.Lost),
		})
	}
	var err error
	r.Demand, err = decodeDemand(p.Demand)
	return r, errors.Join(err, checkNames(r.Name), checkCount(r.For))
}

func encodePlanShare(m *Envelope) (isPacket_Body, error) {
	s := m.PlanShare
	p := &PlanPart{
		Number:  encodePlanNumber(s.Number),
		For:     s.For,
		Answers: s.Answers,
		Lease:   s.Lease,
		Rates:   encodeDemand(s.Rates),
	}
	for _, w := range s.Weights {
		p.Weights = append(p.Weights, &PlanWeight{Name: w.Name, Part: float32(w.Part)})
	}
	return &Packet_PlanPart{p}, nil
}

func decodePlanShare(p *PlanPart) (*loadplan.Part, error) {
	if len(p.Weights) > maxMapEntries {
		return nil, ErrTooLarge
	}
	s := &loadplan.Part{
		Number:  decodePlanNumber(p.Number),
		For:     p.For,
		Answers: p.Answers,
		Lease:   p.Lease,
	}
	for _, w := range p.Weights {
		if err := errors.Join(checkNames(w.Name), checkCount(float64(w.Part))); err != nil {
			return nil, err
		}
		s.Weights = append(s.Weights, loadplan.Weight{Name: w.Name, Part: float64(w.Part)})
	}
	var err error
	s.Rates, err = decodeDemand(p.Rates)
	return s, errors.Join(err, checkCount(s.Lease))
}
