package fleet

import (
	"fmt"
	"net/netip"

	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/replication"
)

func encodeTrustRequest(*Envelope) (isPacket_Body, error) {
	return &Packet_TrustRequest{&TrustRequest{}}, nil
}

func encodeTrustRecords(m *Envelope) (isPacket_Body, error) {
	encoded := &TrustRecords{}
	for i := range m.TrustRecords {
		encoded.Records = append(encoded.Records, encodeTrustRecord(&m.TrustRecords[i]))
	}
	return &Packet_TrustRecords{encoded}, nil
}

func encodeTrustRecord(record *replication.TrustRecord) *TrustRecord {
	encoded := &TrustRecord{Name: record.Name, Incarnation: record.Incarnation, Sequence: record.Sequence}
	for _, client := range record.Clients {
		addr := client.Addr.As16()
		encoded.Clients = append(encoded.Clients, &TrustedClient{Addr: addr[:], Credit: float32(client.Credit)})
	}
	return encoded
}

// decodeTrustRecords decodes the trust records of servers. It never returns a nil list without an
// error, because Envelope.Kind has to recognize a message with an empty list.
func decodeTrustRecords(encoded *TrustRecords) ([]replication.TrustRecord, error) {
	if len(encoded.Records) > maxShortListEntries {
		return nil, fmt.Errorf("%w: %d trust records, limit %d",
			ErrInvalidSize, len(encoded.Records), maxShortListEntries)
	}
	records := []replication.TrustRecord{}
	for _, encodedRecord := range encoded.Records {
		record, err := decodeTrustRecord(encodedRecord)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func decodeTrustRecord(encoded *TrustRecord) (record replication.TrustRecord, err error) {
	if len(encoded.Clients) > replication.MaxTrustedClients {
		return record, fmt.Errorf("%w: %d trusted clients, limit %d",
			ErrInvalidSize, len(encoded.Clients), replication.MaxTrustedClients)
	}
	record = replication.TrustRecord{Name: encoded.Name, Incarnation: encoded.Incarnation, Sequence: encoded.Sequence}
	for _, client := range encoded.Clients {
		var addr [16]byte
		if len(client.Addr) != len(addr) {
			return record, fmt.Errorf("%w: client address of %d bytes, want %d",
				ErrInvalidSize, len(client.Addr), len(addr))
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
