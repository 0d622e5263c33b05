package fleet

import (
	"fmt"
	"hash/crc32"
	"math"

	"swiftcourse/internal/policy/replication"
	"swiftcourse/internal/replicastore"
)

// Bounds of replication messages.
const (
	maxResult   = 64 << 10 // bytes of a result
	maxAttempts = 256      // attempts of a record, merged from all of its replicas
	maxSlots    = replicastore.SlotCount
	maxRecords  = 4096 // records in one reply
)

func encodeTerm(t replication.Term) *Term { return &Term{Number: t.Number, Incarnation: t.Incarnation} }

func decodeTerm(encoded *Term) replication.Term {
	return replication.Term{Number: encoded.GetNumber(), Incarnation: encoded.GetIncarnation()}
}

func encodeTerms(terms []replication.Term) (encoded []*Term) {
	for _, t := range terms {
		encoded = append(encoded, encodeTerm(t))
	}
	return encoded
}

func decodeTerms(encoded []*Term) (terms []replication.Term, err error) {
	if len(encoded) > replication.MaxReplicationFactor {
		return nil, fmt.Errorf("%w: %d terms, limit %d", ErrInvalidSize, len(encoded), replication.MaxReplicationFactor)
	}
	for _, encodedTerm := range encoded {
		terms = append(terms, decodeTerm(encodedTerm))
	}
	return terms, nil
}

func encodeAttempt(attempt *replicastore.Attempt) *Attempt {
	return &Attempt{
		UnixMilli:      attempt.UnixMilli,
		Incarnation:    attempt.Incarnation,
		Sequence:       attempt.Sequence,
		State:          uint32(attempt.State),
		ResultChecksum: attempt.ResultChecksum,
		Result:         attempt.Result,
	}
}

func encodeAttempts(attempts []replicastore.Attempt) (encoded []*Attempt) {
	for i := range attempts {
		encoded = append(encoded, encodeAttempt(&attempts[i]))
	}
	return encoded
}

// decodeAttempt decodes an attempt. A result that does not match its checksum is rejected.
func decodeAttempt(encoded *Attempt) (attempt replicastore.Attempt, err error) {
	if encoded == nil {
		return attempt, fmt.Errorf("%w: attempt is missing", ErrUnknownBody)
	}
	attempt = replicastore.Attempt{
		ClaimID:        decodeClaimID(encoded),
		State:          replicastore.AttemptState(min(encoded.State, math.MaxUint8)), // no wrap-around to a known state
		ResultChecksum: encoded.ResultChecksum,
		Result:         encoded.Result,
	}
	finished := attempt.State == replicastore.StateFinished
	hasResult := attempt.Result != nil || attempt.ResultChecksum != 0
	switch {
	case len(encoded.Result) > maxResult:
		err = fmt.Errorf("%w: attempt result of %d bytes, limit %d", ErrInvalidSize, len(encoded.Result), maxResult)
	case attempt.State > replicastore.StateFinished, !finished && hasResult:
		err = fmt.Errorf("%w: attempt in state %d; result present: %t", ErrOutOfRange, encoded.State, hasResult)
	case !attempt.ResultMatchesChecksum():
		err = fmt.Errorf("attempt result does not match its checksum %016x: %w", encoded.ResultChecksum, ErrOutOfRange)
	}
	return attempt, err
}

func decodeClaimID(encoded *Attempt) replicastore.ClaimID {
	return replicastore.ClaimID{
		UnixMilli:   encoded.UnixMilli,
		Incarnation: encoded.Incarnation,
		Sequence:    encoded.Sequence,
	}
}

// decodeAttempts decodes the attempts of a record, which must be sorted by claim ID.
func decodeAttempts(encoded []*Attempt) (attempts []replicastore.Attempt, err error) {
	if len(encoded) > maxAttempts {
		return nil, fmt.Errorf("%w: %d attempts of a record, limit %d", ErrInvalidSize, len(encoded), maxAttempts)
	}
	for i, encodedAttempt := range encoded {
		attempt, err := decodeAttempt(encodedAttempt)
		if err != nil {
			return nil, err
		}
		if i > 0 && attempts[i-1].Compare(attempt.ClaimID) >= 0 {
			return nil, fmt.Errorf("%w: attempts %d and %d are not in ascending order of their claim IDs",
				ErrOutOfRange, i-1, i)
		}
		attempts = append(attempts, attempt)
	}
	return attempts, nil
}

func decodeKey(encoded []byte) (key replicastore.Key, err error) {
	if len(encoded) != len(key) {
		return key, fmt.Errorf("%w: key of %d bytes, want %d", ErrInvalidSize, len(encoded), len(key))
	}
	copy(key[:], encoded)
	return key, nil
}

func encodeSlots(slots []int) (encoded []uint32) {
	for _, slot := range slots {
		encoded = append(encoded, uint32(slot))
	}
	return encoded
}

func decodeSlots(encoded []uint32) (slots []int, err error) {
	if len(encoded) > maxSlots {
		return nil, fmt.Errorf("%w: %d slots, limit %d", ErrInvalidSize, len(encoded), maxSlots)
	}
	for _, slot := range encoded {
		if slot >= maxSlots {
			return nil, fmt.Errorf("%w: slot %d, want less than %d", ErrOutOfRange, slot, maxSlots)
		}
		slots = append(slots, int(slot))
	}
	return slots, nil
}

func encodeClaimRequest(m *Envelope) (isPacket_Body, error) {
	request := m.ClaimRequest
	return &Packet_ClaimRequest{&ClaimRequest{
		ConfigDigest: request.ConfigDigest,
		Operation:    uint32(request.Operation),
		Key:          request.Key[:],
		Attempt:      encodeAttempt(&request.Attempt),
		Terms:        encodeTerms(request.Terms),
	}}, nil
}

func decodeClaimRequest(encoded *ClaimRequest) (request *replication.ClaimRequest, err error) {
	if encoded.Operation > uint32(replication.OpReport) {
		return nil, fmt.Errorf("%w: unknown claim operation %d", ErrOutOfRange, encoded.Operation)
	}
	request = &replication.ClaimRequest{
		ConfigDigest: encoded.ConfigDigest,
		Operation:    replication.Operation(encoded.Operation),
	}
	if request.Key, err = decodeKey(encoded.Key); err != nil {
		return nil, err
	}
	if request.Attempt, err = decodeAttempt(encoded.Attempt); err != nil {
		return nil, err
	}
	reports := request.Operation == replication.OpReport
	claims := request.Attempt.State == replicastore.StateClaimed
	if reports == claims { // a report needs a finished attempt, a claim or query an unfinished one
		return nil, fmt.Errorf("%w: claim operation %d with an attempt in state %d",
			ErrOutOfRange, encoded.Operation, encoded.Attempt.State)
	}
	request.Terms, err = decodeTerms(encoded.Terms)
	return request, err
}

func encodeClaimReply(m *Envelope) (isPacket_Body, error) {
	reply := m.ClaimReply
	return &Packet_ClaimReply{&ClaimReply{
		Key:       reply.Key[:],
		ClaimId:   encodeAttempt(&replicastore.Attempt{ClaimID: reply.ClaimID}),
		Operation: uint32(reply.Operation),
		Status:    uint32(reply.Status),
		Terms:     encodeTerms(reply.Terms),
		Attempts:  encodeAttempts(reply.Attempts),
	}}, nil
}

func decodeClaimReply(encoded *ClaimReply) (reply *replication.ClaimReply, err error) {
	if encoded.Operation > uint32(replication.OpReport) || encoded.Status > uint32(replication.ReplyMisrouted) {
		return nil, fmt.Errorf("%w: claim reply with operation %d and status %d",
			ErrOutOfRange, encoded.Operation, encoded.Status)
	}
	if encoded.ClaimId == nil {
		return nil, fmt.Errorf("%w: claim reply without a claim ID", ErrOutOfRange)
	}
	reply = &replication.ClaimReply{
		ClaimID:   decodeClaimID(encoded.ClaimId),
		Operation: replication.Operation(encoded.Operation),
		Status:    replication.ReplyStatus(encoded.Status),
	}
	if reply.Key, err = decodeKey(encoded.Key); err != nil {
		return nil, err
	}
	if reply.Terms, err = decodeTerms(encoded.Terms); err != nil {
		return nil, err
	}
	reply.Attempts, err = decodeAttempts(encoded.Attempts)
	return reply, err
}

func encodePullRequest(m *Envelope) (isPacket_Body, error) {
	request := m.PullRequest
	encoded := &PullRequest{
		ConfigDigest: request.ConfigDigest,
		Sequence:     request.Sequence,
		Term:         encodeTerm(request.Term),
		Slots:        encodeSlots(request.Slots),
	}
	if request.HasAfterKey {
		encoded.AfterKey = request.AfterKey[:]
	}
	return &Packet_PullRequest{encoded}, nil
}

func decodePullRequest(encoded *PullRequest) (request *replication.PullRequest, err error) {
	request = &replication.PullRequest{
		ConfigDigest: encoded.ConfigDigest,
		Sequence:     encoded.Sequence,
		Term:         decodeTerm(encoded.Term),
	}
	if request.Slots, err = decodeSlots(encoded.Slots); err != nil {
		return nil, err
	}
	if encoded.AfterKey != nil {
		request.HasAfterKey = true
		request.AfterKey, err = decodeKey(encoded.AfterKey)
	}
	return request, err
}

func encodePullReply(m *Envelope) (isPacket_Body, error) {
	reply := m.PullReply
	encoded := &PullReply{
		ConfigDigest:  reply.ConfigDigest,
		Sequence:      reply.Sequence,
		Term:          encodeTerm(reply.Term),
		RequesterTerm: encodeTerm(reply.RequesterTerm),
	}
	for i := range reply.Slots {
		encoded.Slots = append(encoded.Slots, encodeSlotRecords(&reply.Slots[i]))
	}
	return &Packet_PullReply{encoded}, nil
}

func encodeSlotRecords(slot *replication.SlotRecords) *SlotRecords {
	encoded := &SlotRecords{Slot: uint32(slot.Slot), CaughtUp: slot.CaughtUp, Complete: slot.Complete}
	for _, recordCopy := range slot.Copies {
		record := &Record{
			Key:        recordCopy.Record.Key[:],
			TimeToLive: recordCopy.TimeToLive,
			Attempts:   encodeAttempts(recordCopy.Record.Attempts),
		}
		record.Checksum = recordChecksum(record)
		encoded.Records = append(encoded.Records, record)
	}
	return encoded
}

// recordChecksum returns the CRC-32 of a record without its remaining time to live.
func recordChecksum(record *Record) uint32 {
	content := append([]byte(nil), record.Key...)
	for _, attempt := range record.Attempts {
		content = fmt.Appendf(content, " %d %d %d %d %d ", attempt.UnixMilli, attempt.Incarnation, attempt.Sequence,
			attempt.State, attempt.ResultChecksum)
		content = append(content, attempt.Result...)
	}
	return crc32.ChecksumIEEE(content)
}

// decodePullReply decodes a reply to a pull request. One corrupted record invalidates the whole
// reply, since the requester would otherwise conclude from the missing record that no replica has
// it.
func decodePullReply(encoded *PullReply) (*replication.PullReply, error) {
	if len(encoded.Slots) > maxSlots {
		return nil, fmt.Errorf("%w: %d slots in a pull reply, limit %d", ErrInvalidSize, len(encoded.Slots), maxSlots)
	}
	reply := &replication.PullReply{
		ConfigDigest:  encoded.ConfigDigest,
		Sequence:      encoded.Sequence,
		Term:          decodeTerm(encoded.Term),
		RequesterTerm: decodeTerm(encoded.RequesterTerm),
	}
	records := 0
	for _, encodedSlot := range encoded.Slots {
		records += len(encodedSlot.Records)
		if encodedSlot.Slot >= maxSlots || records > maxRecords {
			return nil, fmt.Errorf("%w: pull reply with slot %d, want less than %d, and at least %d records, limit %d",
				ErrInvalidSize, encodedSlot.Slot, maxSlots, records, maxRecords)
		}
		slot := replication.SlotRecords{
			Slot:     int(encodedSlot.Slot),
			CaughtUp: encodedSlot.CaughtUp,
			Complete: encodedSlot.Complete,
		}
		for _, record := range encodedSlot.Records {
			decoded, err := decodeRecord(record)
			if err != nil {
				return nil, err
			}
			slot.Copies = append(slot.Copies, decoded)
		}
		reply.Slots = append(reply.Slots, slot)
	}
	return reply, nil
}

func decodeRecord(encoded *Record) (recordCopy replication.RecordCopy, err error) {
	key, err := decodeKey(encoded.Key)
	if err != nil {
		return recordCopy, err
	}
	if encoded.Checksum != recordChecksum(encoded) {
		return recordCopy, fmt.Errorf("record %x does not match its checksum %08x: %w",
			key[:4], encoded.Checksum, ErrOutOfRange)
	}
	attempts, err := decodeAttempts(encoded.Attempts)
	if err != nil {
		return recordCopy, err
	}
	record := &replicastore.Record{Key: key, Attempts: attempts}
	return replication.RecordCopy{Record: record, TimeToLive: encoded.TimeToLive}, checkNonNegative(encoded.TimeToLive)
}

func encodeChecksums(m *Envelope) (isPacket_Body, error) {
	checksums := m.Checksums
	return &Packet_Checksums{&Checksums{
		ConfigDigest: checksums.ConfigDigest,
		Term:         encodeTerm(checksums.Term),
		Slots:        encodeSlots(checksums.Slots),
		Values:       checksums.Values,
	}}, nil
}

func decodeChecksums(encoded *Checksums) (*replication.Checksums, error) {
	slots, err := decodeSlots(encoded.Slots)
	if err != nil {
		return nil, err
	}
	if len(encoded.Values) != max(1, len(slots)) {
		return nil, fmt.Errorf("%w: %d checksums for %d slots, want %d",
			ErrInvalidSize, len(encoded.Values), len(slots), max(1, len(slots)))
	}
	return &replication.Checksums{
		ConfigDigest: encoded.ConfigDigest,
		Term:         decodeTerm(encoded.Term),
		Slots:        slots,
		Values:       encoded.Values,
	}, nil
}
