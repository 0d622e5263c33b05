package fleet

import (
	"errors"
	"net/netip"

	"swiftcourse/internal/policy/circuitbreaker"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/replication"
)

// decodeSharedBody decodes messages of what servers share: trust in clients, quotas, and the health
// of the service below.
func decodeSharedBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_AskCallers:
		m.TrustRequest = true
	case *Packet_Vouchers:
		m.TrustRecords, err = decodeTrustRecords(body.Vouchers)
	case *Packet_Wishing:
		m.QuotaRequest, err = decodeQuotaRequest(body.Wishing)
		if err == nil {
			m.QuotaRequest.Incarnation = packet.Life
		}
	case *Packet_Granting:
		m.QuotaReply, err = decodeQuotaReply(body.Granting)
	case *Packet_Healths:
		m.HealthReports, err = decodeHealthReports(body.Healths)
	default:
		return false, nil
	}
	return true, err
}

func encodeTrustRequest(*Envelope) (isPacket_Body, error) {
	return &Packet_AskCallers{&AskCallers{}}, nil
}

func encodeTrustRecords(m *Envelope) (isPacket_Body, error) {
	p := &Vouchers{}
	for i := range m.TrustRecords {
		p.Vouchers = append(p.Vouchers, encodeTrustRecord(&m.TrustRecords[i]))
	}
	return &Packet_Vouchers{p}, nil
}

func encodeTrustRecord(r *replication.TrustRecord) *Voucher {
	p := &Voucher{Name: r.Name, Life: r.Incarnation, Number: r.Sequence}
	for _, client := range r.Clients {
		addr := client.Addr.As16()
		p.Callers = append(p.Callers, &Caller{Addr: addr[:], Credit: float32(client.Credit)})
	}
	return p
}

// decodeTrustRecords decodes servers' trust records; the list is not nil, as an empty one counts.
func decodeTrustRecords(p *Vouchers) ([]replication.TrustRecord, error) {
	if len(p.Vouchers) > maxListEntries {
		return nil, ErrTooLarge
	}
	records := []replication.TrustRecord{}
	for _, one := range p.Vouchers {
		record, err := decodeTrustRecord(one)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func decodeTrustRecord(p *Voucher) (r replication.TrustRecord, err error) {
	if len(p.Callers) > replication.MaxTrustedClients {
		return r, ErrTooLarge
	}
	r = replication.TrustRecord{Name: p.Name, Incarnation: p.Life, Sequence: p.Number}
	for _, client := range p.Callers {
		var addr [16]byte
		if len(client.Addr) != len(addr) {
			return r, ErrTooLarge
		}
		if err := checkCount(float64(client.Credit)); err != nil {
			return r, err
		}
		copy(addr[:], client.Addr)
		r.Clients = append(r.Clients, connlimit.TrustedClient{
			Addr:   netip.AddrFrom16(addr).Unmap(),
			Credit: float64(client.Credit),
		})
	}
	return r, checkNames(p.Name)
}

func encodeQuotaRequest(m *Envelope) (isPacket_Body, error) {
	r := m.QuotaRequest
	p := &Wishing{Number: r.Number, Terms: r.ConfigHash, Granter: r.GrantorID}
	for _, d := range r.Demands {
		p.Wishes = append(p.Wishes, &Wish{
			Name:   d.Name,
			Demand: d.Requested,
			Open:   d.InUse,
			Part:   d.LeasedShare,
			Left:   d.RemainingSeconds,
			Answer: d.GrantNumber,
		})
	}
	return &Packet_Wishing{p}, nil
}

// decodeQuotaRequest decodes a server's request. The grantor bounds the demands; here only what is
// no number is rejected.
func decodeQuotaRequest(p *Wishing) (*quota.Request, error) {
	if len(p.Wishes) > quota.MaxEntries {
		return nil, ErrTooLarge
	}
	r := &quota.Request{Number: p.Number, ConfigHash: p.Terms, GrantorID: p.Granter}
	for _, w := range p.Wishes {
		err := errors.Join(checkNames(w.Name),
			checkCount(w.Demand), checkCount(w.Open), checkCount(w.Part), checkCount(w.Left))
		if err != nil {
			return nil, err
		}
		r.Demands = append(r.Demands, quota.Demand{
			Name:             w.Name,
			Requested:        w.Demand,
			InUse:            w.Open,
			LeasedShare:      w.Part,
			RemainingSeconds: w.Left,
			GrantNumber:      w.Answer,
		})
	}
	return r, nil
}

func encodeQuotaReply(m *Envelope) (isPacket_Body, error) {
	r := m.QuotaReply
	p := &Granting{Life: r.Incarnation, Number: r.Number, Granter: r.GrantorID}
	for _, g := range r.Grants {
		p.Grants = append(p.Grants, &Grant{Name: g.Name, Part: g.LeasedShare})
	}
	return &Packet_Granting{p}, nil
}

func decodeQuotaReply(p *Granting) (*quota.Reply, error) {
	if len(p.Grants) > quota.MaxEntries {
		return nil, ErrTooLarge
	}
	r := &quota.Reply{Incarnation: p.Life, Number: p.Number, GrantorID: p.Granter}
	for _, g := range p.Grants {
		if err := errors.Join(checkNames(g.Name), checkCount(g.Part)); err != nil {
			return nil, err
		}
		r.Grants = append(r.Grants, quota.Grant{Name: g.Name, LeasedShare: g.Part})
	}
	return r, nil
}

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
