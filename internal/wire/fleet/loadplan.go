package fleet

import (
	"errors"
	"fmt"

	"swiftcourse/internal/policy/loadplan"
)

func encodePlanVersion(v loadplan.Version) *PlanVersion {
	return &PlanVersion{ClusterId: v.ClusterID, Term: v.Term, Sequence: v.Sequence}
}

func decodePlanVersion(encoded *PlanVersion) loadplan.Version {
	return loadplan.Version{ClusterID: encoded.GetClusterId(), Term: encoded.GetTerm(), Sequence: encoded.GetSequence()}
}

func encodeRates(rates []loadplan.TenantRate) (encoded []*TenantRate) {
	for _, r := range rates {
		encoded = append(encoded, &TenantRate{Tenant: r.Tenant, Rate: r.Rate})
	}
	return encoded
}

func decodeRates(encoded []*TenantRate) (rates []loadplan.TenantRate, err error) {
	if len(encoded) > maxLongListEntries {
		return nil, fmt.Errorf("%w: %d tenant rates, limit %d", ErrInvalidSize, len(encoded), maxLongListEntries)
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
	encoded := &ForwarderReport{
		Name:            report.Name,
		Incarnation:     report.Incarnation,
		Sequence:        report.Sequence,
		IntervalSeconds: report.IntervalSeconds,
		CurrentVersion:  encodePlanVersion(report.CurrentVersion),
		Demand:          encodeRates(report.Demand),
	}
	for _, worker := range report.Workers {
		encoded.Workers = append(encoded.Workers, &WorkerStats{
			Name:      worker.Name,
			Connected: worker.Connected,
			InFlight:  uint32(worker.InFlight),
			Finished:  uint32(worker.Finished),
			Rejected:  uint32(worker.Rejected),
			Lost:      uint32(worker.Lost),
		})
	}
	return &Packet_ForwarderReport{encoded}, nil
}

func decodeForwarderReport(encoded *ForwarderReport) (*loadplan.Report, error) {
	if len(encoded.Workers) > maxLongListEntries {
		return nil, fmt.Errorf("%w: %d workers, limit %d", ErrInvalidSize, len(encoded.Workers), maxLongListEntries)
	}
	report := &loadplan.Report{
		Name:            encoded.Name,
		Incarnation:     encoded.Incarnation,
		Sequence:        encoded.Sequence,
		IntervalSeconds: encoded.IntervalSeconds,
		CurrentVersion:  decodePlanVersion(encoded.CurrentVersion),
	}
	for _, worker := range encoded.Workers {
		if err := checkNames(worker.Name); err != nil {
			return nil, err
		}
		report.Workers = append(report.Workers, loadplan.WorkerStats{
			Name:      worker.Name,
			Connected: worker.Connected,
			InFlight:  int(worker.InFlight),
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
	encoded := &PlanAssignment{
		Version:        encodePlanVersion(assignment.Version),
		Incarnation:    assignment.Incarnation,
		ReportSequence: assignment.ReportSequence,
		LeaseSeconds:   assignment.LeaseSeconds,
		RateLimits:     encodeRates(assignment.RateLimits),
	}
	for _, weight := range assignment.Weights {
		encoded.Weights = append(encoded.Weights, &WorkerWeight{Name: weight.Name, Weight: float32(weight.Weight)})
	}
	return &Packet_PlanAssignment{encoded}, nil
}

func decodePlanAssignment(encoded *PlanAssignment) (*loadplan.Assignment, error) {
	if len(encoded.Weights) > maxLongListEntries {
		return nil, fmt.Errorf("%w: %d worker weights, limit %d",
			ErrInvalidSize, len(encoded.Weights), maxLongListEntries)
	}
	assignment := &loadplan.Assignment{
		Version:        decodePlanVersion(encoded.Version),
		Incarnation:    encoded.Incarnation,
		ReportSequence: encoded.ReportSequence,
		LeaseSeconds:   encoded.LeaseSeconds,
	}
	for _, weight := range encoded.Weights {
		if err := errors.Join(checkNames(weight.Name), checkNonNegative(float64(weight.Weight))); err != nil {
			return nil, err
		}
		decoded := loadplan.WorkerWeight{Name: weight.Name, Weight: float64(weight.Weight)}
		assignment.Weights = append(assignment.Weights, decoded)
	}
	var err error
	assignment.RateLimits, err = decodeRates(encoded.RateLimits)
	return assignment, errors.Join(err, checkNonNegative(assignment.LeaseSeconds))
}
