package fleet

import (
	"errors"
	"fmt"

	"swiftcourse/internal/policy/circuitbreaker"
)

func encodeHealthReports(m *Envelope) (isPacket_Body, error) {
	encoded := &HealthReports{}
	for _, report := range m.HealthReports {
		encoded.Reports = append(encoded.Reports, &HealthReport{
			Server:         report.Server,
			Zone:           report.Zone,
			Incarnation:    report.Incarnation,
			Sequence:       report.Sequence,
			AgeSeconds:     report.AgeSeconds,
			Succeeded:      uint32(report.Tally.Succeeded),
			Failed:         uint32(report.Tally.Failed),
			SuccessSeconds: report.Tally.SuccessSeconds,
		})
	}
	return &Packet_HealthReports{encoded}, nil
}

// decodeHealthReports decodes the reports of servers. It never returns a nil list without an error,
// because Envelope.Kind has to recognize a message with an empty list.
func decodeHealthReports(encoded *HealthReports) ([]circuitbreaker.Report, error) {
	if len(encoded.Reports) > circuitbreaker.MaxReports {
		return nil, fmt.Errorf("%w: %d health reports, limit %d",
			ErrInvalidSize, len(encoded.Reports), circuitbreaker.MaxReports)
	}
	reports := []circuitbreaker.Report{}
	for _, report := range encoded.Reports {
		err := errors.Join(checkNames(report.Server, report.Zone),
			checkNonNegative(report.AgeSeconds), checkNonNegative(report.SuccessSeconds))
		if err != nil {
			return nil, err
		}
		reports = append(reports, circuitbreaker.Report{
			Server:      report.Server,
			Zone:        report.Zone,
			Incarnation: report.Incarnation,
			Sequence:    report.Sequence,
			AgeSeconds:  report.AgeSeconds,
			Tally: circuitbreaker.Tally{
				Succeeded:      int(report.Succeeded),
				Failed:         int(report.Failed),
				SuccessSeconds: report.SuccessSeconds,
			},
		})
	}
	return reports, nil
}
