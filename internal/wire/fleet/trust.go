package fleet

import (
	"net/netip"

	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/replication"
)

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
