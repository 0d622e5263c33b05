package fleet

import (
	"errors"

	"swiftcourse/internal/policy/circuitbreaker"
)

func encodeHealthReports(m *Envelope) (isPacket_Body, error) {
	p := &Healths{}
	for _, r := range m.HealthReports {
		p.Words = append(p.Words, &Health{
			Name:   r.Server,
			Zone:   r.Zone,
			Life:   r.Incarnation,
			Number: r.Sequence,
			Age:    r.AgeSeconds,
			Well:   uint32(r.Tally.Succeeded),
			Lost:   uint32(r.Tally.Failed),
			Took:   r.Tally.SuccessSeconds,
		})
	}
	return &Packet_Healths{p}, nil
}

// decodeHealthReports decodes servers' reports; the list is not nil, as an empty one counts.
func decodeHealthReports(p *Healths) ([]circuitbreaker.Report, error) {
	if len(p.Words) > circuitbreaker.MaxReports {
		return nil, ErrTooLarge
	}
	reports := []circuitbreaker.Report{}
	for _, w := range p.Words {
		err := errors.Join(checkNames(w.Name, w.Zone), checkCount(w.Age), checkCount(w.Took))
		if err != nil {
			return nil, err
		}
		reports = append(reports, circuitbreaker.Report{
			Server:      w.Name,
			Zone:        w.Zone,
			Incarnation: w.Life,
			Sequence:    w.Number,
			AgeSeconds:  w.Age,
			Tally: circuitbreaker.Tally{
				Succeeded:      int(w.Well),
				Failed:         int(w.Lost),
				SuccessSeconds: w.Took,
			},
		})
	}
	return reports, nil
}
