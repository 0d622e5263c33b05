package fleet

import (
	"errors"

	"swiftcourse/internal/policy/circuitbreaker"
)

func encodeHealthReports(m *Envelope) (isPacket_Body, error) {
	encoded := &Healths{}
	for _, report := range m.HealthReports {
		encoded.Words = append(encoded.Words, &Health{
			Name:   report.Server,
			Zone:   report.Zone,
			Life:   report.Incarnation,
			Number: report.Sequence,
			Age:    report.AgeSeconds,
			Well:   uint32(report.Tally.Succeeded),
			Lost:   uint32(report.Tally.Failed),
			Took:   report.Tally.SuccessSeconds,
		})
	}
	return &Packet_Healths{encoded}, nil
}

// decodeHealthReports decodes servers' reports. The list is never nil, so that Envelope.Kind
// recognizes a message with an empty one.
func decodeHealthReports(encoded *Healths) ([]circuitbreaker.Report, error) {
	if len(encoded.Words) > circuitbreaker.MaxReports {
		return nil, ErrTooLarge
	}
	reports := []circuitbreaker.Report{}
	for _, report := range encoded.Words {
		err := errors.Join(checkNames(report.Name, report.Zone),
			checkNonNegative(report.Age), checkNonNegative(report.Took))
		if err != nil {
			return nil, err
		}
		reports = append(reports, circuitbreaker.Report{
			Server:      report.Name,
			Zone:        report.Zone,
			Incarnation: report.Life,
			Sequence:    report.Number,
			AgeSeconds:  report.Age,
			Tally: circuitbreaker.Tally{
				Succeeded:      int(report.Well),
				Failed:         int(report.Lost),
				SuccessSeconds: report.Took,
			},
		})
	}
	return reports, nil
}
