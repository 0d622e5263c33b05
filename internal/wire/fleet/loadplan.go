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
		m.PlanAssignment, err = decodePlanAssignment(body.PlanPart)
	default:
		return false, nil
	}
	return true, err
}

func encodePlanVersion(v loadplan.Version) *PlanNumber {
	return &PlanNumber{Founding: v.ClusterID, Term: v.Term, Seq: v.Sequence}
}

func decodePlanVersion(p *PlanNumber) loadplan.Version {
	return loadplan.Version{ClusterID: p.GetFounding(), Term: p.GetTerm(), Sequence: p.GetSeq()}
}

func encodeRates(rates []loadplan.TenantRate) (p []*PlanDemand) {
	for _, r := range rates {
		p = append(p, &PlanDemand{Tenant: r.Tenant, Rate: r.Rate})
	}
	return p
}

func decodeRates(p []*PlanDemand) (rates []loadplan.TenantRate, err error) {
	if len(p) > maxMapEntries {
		return nil, ErrTooLarge
	}
	for _, one := range p {
		if err := errors.Join(checkNames(one.Tenant), checkCount(one.Rate)); err != nil {
			return nil, err
		}
		rates = append(rates, loadplan.TenantRate{Tenant: one.Tenant, Rate: one.Rate})
	}
	return rates, nil
}

func encodeForwarderReport(m *Envelope) (isPacket_Body, error) {
	r := m.ForwarderReport
	p := &PlanReport{
		Name:   r.Name,
		Life:   r.Incarnation,
		Number: r.Sequence,
		For:    r.IntervalSeconds,
		Holds:  encodePlanVersion(r.CurrentVersion),
		Demand: encodeRates(r.Demand),
	}
	for _, w := range r.Workers {
		p.Workers = append(p.Workers, &PlanSeen{
			Name:     w.Name,
			Linked:   w.Connected,
			Open:     uint32(w.InFlight),
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
		Name:            p.Name,
		Incarnation:     p.Life,
		Sequence:        p.Number,
		IntervalSeconds: p.For,
		CurrentVersion:  decodePlanVersion(p.Holds),
	}
	for _, w := range p.Workers {
		if err := checkNames(w.Name); err != nil {
			return nil, err
		}
		r.Workers = append(r.Workers, loadplan.WorkerStats{
			Name:      w.Name,
			Connected: w.Linked,
			InFlight:  int(w.Open),
			Finished:  int(w.Finished),
			Rejected:  int(w.Rejected),
			Lost:      int(w.Lost),
		})
	}
	var err error
	r.Demand, err = decodeRates(p.Demand)
	return r, errors.Join(err, checkNames(r.Name), checkCount(r.IntervalSeconds))
}

func encodePlanAssignment(m *Envelope) (isPacket_Body, error) {
	s := m.PlanAssignment
	p := &PlanPart{
		Number:  encodePlanVersion(s.Version),
		For:     s.Incarnation,
		Answers: s.ReportSequence,
		Lease:   s.LeaseSeconds,
		Rates:   encodeRates(s.RateLimits),
	}
	for _, w := range s.Weights {
		p.Weights = append(p.Weights, &PlanWeight{Name: w.Name, Part: float32(w.Weight)})
	}
	return &Packet_PlanPart{p}, nil
}

func decodePlanAssignment(p *PlanPart) (*loadplan.Assignment, error) {
	if len(p.Weights) > maxMapEntries {
		return nil, ErrTooLarge
	}
	s := &loadplan.Assignment{
		Version:        decodePlanVersion(p.Number),
		Incarnation:    p.For,
		ReportSequence: p.Answers,
		LeaseSeconds:   p.Lease,
	}
	for _, w := range p.Weights {
		if err := errors.Join(checkNames(w.Name), checkCount(float64(w.Part))); err != nil {
			return nil, err
		}
		s.Weights = append(s.Weights, loadplan.WorkerWeight{Name: w.Name, Weight: float64(w.Part)})
	}
	var err error
	s.RateLimits, err = decodeRates(p.Rates)
	return s, errors.Join(err, checkCount(s.LeaseSeconds))
}
