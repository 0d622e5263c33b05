package fleet

import (
	"errors"

	"swiftcourse/internal/policy/loadplan"
)

func encodePlanVersion(v loadplan.Version) *PlanNumber {
	return &PlanNumber{Founding: v.ClusterID, Term: v.Term, Seq: v.Sequence}
}

func decodePlanVersion(encoded *PlanNumber) loadplan.Version {
	return loadplan.Version{ClusterID: encoded.GetFounding(), Term: encoded.GetTerm(), Sequence: encoded.GetSeq()}
}

func encodeRates(rates []loadplan.TenantRate) (encoded []*PlanDemand) {
	for _, r := range rates {
		encoded = append(encoded, &PlanDemand{Tenant: r.Tenant, Rate: r.Rate})
	}
	return encoded
}

func decodeRates(encoded []*PlanDemand) (rates []loadplan.TenantRate, err error) {
	if len(encoded) > maxMapEntries {
		return nil, ErrTooLarge
	}
	for _, encodedRate := range encoded {
		if err := errors.Join(checkNames(encodedRate.Tenant), checkNonNegative(encodedRate.Rate)); err != nil {
			return nil, err
		}
		rates = append(rates, loadplan.TenantRate{Tenant: encodedRate.Tenant, Rate: encodedRate.Rate})
	}
	return rates, nil
}

func encodeForwarderReport(m *Envelope) (isPacket_Body, error) {
	report := m.ForwarderReport
	encoded := &PlanReport{
		Name:   report.Name,
		Life:   report.Incarnation,
		Number: report.Sequence,
		For:    report.IntervalSeconds,
		Holds:  encodePlanVersion(report.CurrentVersion),
		Demand: encodeRates(report.Demand),
	}
	for _, worker := range report.Workers {
		encoded.Workers = append(encoded.Workers, &PlanSeen{
			Name:     worker.Name,
			Linked:   worker.Connected,
			Open:     uint32(worker.InFlight),
			Finished: uint32(worker.Finished),
			Rejected: uint32(worker.Rejected),
			Lost:     uint32(worker.Lost),
		})
	}
	return &Packet_PlanReport{encoded}, nil
}

func decodeForwarderReport(encoded *PlanReport) (*loadplan.Report, error) {
	if len(encoded.Workers) > maxMapEntries {
		return nil, ErrTooLarge
	}
	report := &loadplan.Report{
		Name:            encoded.Name,
		Incarnation:     encoded.Life,
		Sequence:        encoded.Number,
		IntervalSeconds: encoded.For,
		CurrentVersion:  decodePlanVersion(encoded.Holds),
	}
	for _, worker := range encoded.Workers {
		if err := checkNames(worker.Name); err != nil {
			return nil, err
		}
		report.Workers = append(report.Workers, loadplan.WorkerStats{
			Name:      worker.Name,
			Connected: worker.Linked,
			InFlight:  int(worker.Open),
			Finished:  int(worker.Finished),
			Rejected:  int(worker.Rejected),
			Lost:      int(worker.Lost),
		})
	}
	var err error
	report.Demand, err = decodeRates(encoded.Demand)
	return report, errors.Join(err, checkNames(report.Name), checkNonNegative(report.IntervalSeconds))
}

func encodePlanAssignment(m *Envelope) (isPacket_Body, error) {
	assignment := m.PlanAssignment
	encoded := &PlanPart{
		Number:  encodePlanVersion(assignment.Version),
		For:     assignment.Incarnation,
		Answers: assignment.ReportSequence,
		Lease:   assignment.LeaseSeconds,
		Rates:   encodeRates(assignment.RateLimits),
	}
	for _, weight := range assignment.Weights {
		encoded.Weights = append(encoded.Weights, &PlanWeight{Name: weight.Name, Part: float32(weight.Weight)})
	}
	return &Packet_PlanPart{encoded}, nil
}

func decodePlanAssignment(encoded *PlanPart) (*loadplan.Assignment, error) {
	if len(encoded.Weights) > maxMapEntries {
		return nil, ErrTooLarge
	}
	assignment := &loadplan.Assignment{
		Version:        decodePlanVersion(encoded.Number),
		Incarnation:    encoded.For,
		ReportSequence: encoded.Answers,
		LeaseSeconds:   encoded.Lease,
	}
	for _, weight := range encoded.Weights {
		if err := errors.Join(checkNames(weight.Name), checkNonNegative(float64(weight.Part))); err != nil {
			return nil, err
		}
		decoded := loadplan.WorkerWeight{Name: weight.Name, Weight: float64(weight.Part)}
		assignment.Weights = append(assignment.Weights, decoded)
	}
	var err error
	assignment.RateLimits, err = decodeRates(encoded.Rates)
	return assignment, errors.Join(err, checkNonNegative(assignment.LeaseSeconds))
}
