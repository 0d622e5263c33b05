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
	encoded := &Vouchers{}
	for i := range m.TrustRecords {
		encoded.Vouchers = append(encoded.Vouchers, encodeTrustRecord(&m.TrustRecords[i]))
	}
	return &Packet_Vouchers{encoded}, nil
}

func encodeTrustRecord(record *replication.TrustRecord) *Voucher {
	encoded := &Voucher{Name: record.Name, Life: record.Incarnation, Number: record.Sequence}
	for _, client := range record.Clients {
		addr := client.Addr.As16()
		encoded.Callers = append(encoded.Callers, &Caller{Addr: addr[:], Credit: float32(client.Credit)})
	}
	return encoded
}

// decodeTrustRecords decodes servers' trust records. The list is never nil, so that Envelope.Kind
// recognizes a message with an empty one.
func decodeTrustRecords(encoded *Vouchers) ([]replication.TrustRecord, error) {
	if len(encoded.Vouchers) > maxListEntries {
		return nil, ErrTooLarge
	}
	records := []replication.TrustRecord{}
	for _, encodedRecord := range encoded.Vouchers {
		record, err := decodeTrustRecord(encodedRecord)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func decodeTrustRecord(encoded *Voucher) (record replication.TrustRecord, err error) {
	if len(encoded.Callers) > replication.MaxTrustedClients {
		return record, ErrTooLarge
	}
	record = replication.TrustRecord{Name: encoded.Name, Incarnation: encoded.Life, Sequence: encoded.Number}
	for _, client := range encoded.Callers {
		var addr [16]byte
		if len(client.Addr) != len(addr) {
			return record, ErrTooLarge
		}
		if err := checkNonNegative(float64(client.Credit)); err != nil {
			return record, err
		}
		copy(addr[:], client.Addr)
		record.Clients = append(record.Clients, connlimit.TrustedClient{
			Addr:   netip.AddrFrom16(addr).Unmap(),
			Credit: float64(client.Credit),
		})
	}
	return record, checkNames(encoded.Name)
}
