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
	maxAttempts = 256      // of a record, merged from all of its replicas
	maxSlots    = replicastore.SlotCount
	maxRecords  = 4096 // in one reply
)

func encodeTerm(t replication.Term) *Sitting { return &Sitting{N: t.Number, Life: t.Incarnation} }

func decodeTerm(encoded *Sitting) replication.Term {
	return replication.Term{Number: encoded.GetN(), Incarnation: encoded.GetLife()}
}

func encodeTerms(terms []replication.Term) (encoded []*Sitting) {
	for _, t := range terms {
		encoded = append(encoded, encodeTerm(t))
	}
	return encoded
}

func decodeTerms(encoded []*Sitting) (terms []replication.Term, err error) {
	if len(encoded) > replication.MaxReplicationFactor {
		return nil, ErrTooLarge
	}
	for _, encodedTerm := range encoded {
		terms = append(terms, decodeTerm(encodedTerm))
	}
	return terms, nil
}

func encodeAttempt(attempt *replicastore.Attempt) *Try {
	return &Try{
		At:     attempt.UnixMilli,
		Who:    attempt.Incarnation,
		N:      attempt.Sequence,
		State:  uint32(attempt.State),
		Sum:    attempt.ResultChecksum,
		Result: attempt.Result,
	}
}

func encodeAttempts(attempts []replicastore.Attempt) (encoded []*Try) {
	for i := range attempts {
		encoded = append(encoded, encodeAttempt(&attempts[i]))
	}
	return encoded
}

// decodeAttempt decodes an attempt. A result that does not match its checksum is rejected.
func decodeAttempt(encoded *Try) (attempt replicastore.Attempt, err error) {
	if encoded == nil {
		return attempt, ErrUnknownBody
	}
	attempt = replicastore.Attempt{
		ClaimID:        decodeClaimID(encoded),
		State:          replicastore.AttemptState(min(encoded.State, math.MaxUint8)),
		ResultChecksum: encoded.Sum,
		Result:         encoded.Result,
	}
	finished := attempt.State == replicastore.StateFinished
	hasResult := attempt.Result != nil || attempt.ResultChecksum != 0
	switch {
	case len(encoded.Result) > maxResult:
		err = ErrTooLarge
	case attempt.State > replicastore.StateFinished, !finished && hasResult:
		err = ErrOutOfRange
	case !attempt.Intact():
		err = fmt.Errorf("attempt result that is not the one that was recorded: %w", ErrOutOfRange)
	}
	return attempt, err
}

func decodeClaimID(encoded *Try) replicastore.ClaimID {
	return replicastore.ClaimID{UnixMilli: encoded.At, Incarnation: encoded.Who, Sequence: encoded.N}
}

// decodeAttempts decodes a record's attempts, which are sorted by claim.
func decodeAttempts(encoded []*Try) (attempts []replicastore.Attempt, err error) {
	if len(encoded) > maxAttempts {
		return nil, ErrTooLarge
	}
	for i, encodedAttempt := range encoded {
		attempt, err := decodeAttempt(encodedAttempt)
		if err != nil {
			return nil, err
		}
		if i > 0 && attempts[i-1].Compare(attempt.ClaimID) >= 0 {
			return nil, ErrOutOfRange
		}
		attempts = append(attempts, attempt)
	}
	return attempts, nil
}

func decodeKey(encoded []byte) (key replicastore.Key, err error) {
	if len(encoded) != len(key) {
		return key, ErrTooLarge
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
		return nil, ErrTooLarge
	}
	for _, slot := range encoded {
		if slot >= maxSlots {
			return nil, ErrOutOfRange
		}
		slots = append(slots, int(slot))
	}
	return slots, nil
}

func encodeClaimRequest(m *Envelope) (isPacket_Body, error) {
	request := m.ClaimRequest
	return &Packet_Claiming{&Claiming{
		Plan: request.ConfigDigest,
		Verb: uint32(request.Operation),
		Key:  request.Key[:],
		Try:  encodeAttempt(&request.Attempt),
		Sits: encodeTerms(request.Terms),
	}}, nil
}

func decodeClaimRequest(encoded *Claiming) (request *replication.ClaimRequest, err error) {
	if encoded.Verb > uint32(replication.OpReport) {
		return nil, ErrOutOfRange
	}
	request = &replication.ClaimRequest{ConfigDigest: encoded.Plan, Operation: replication.Operation(encoded.Verb)}
	if request.Key, err = decodeKey(encoded.Key); err != nil {
		return nil, err
	}
	if request.Attempt, err = decodeAttempt(encoded.Try); err != nil {
		return nil, err
	}
	reports := request.Operation == replication.OpReport
	claims := request.Attempt.State == replicastore.StateClaimed
	if reports == claims { // a report carries a finished attempt, a claim or query an unfinished one
		return nil, ErrOutOfRange
	}
	request.Terms, err = decodeTerms(encoded.Sits)
	return request, err
}

func encodeClaimReply(m *Envelope) (isPacket_Body, error) {
	reply := m.ClaimReply
	return &Packet_Claimed{&Claimed{
		Key:     reply.Key[:],
		Claim:   encodeAttempt(&replicastore.Attempt{ClaimID: reply.ClaimID}),
		Verb:    uint32(reply.Operation),
		Verdict: uint32(reply.Status),
		Sits:    encodeTerms(reply.Terms),
		Tries:   encodeAttempts(reply.Attempts),
	}}, nil
}

func decodeClaimReply(encoded *Claimed) (reply *replication.ClaimReply, err error) {
	if encoded.Verb > uint32(replication.OpReport) || encoded.Verdict > uint32(replication.ReplyMisrouted) {
		return nil, ErrOutOfRange
	}
	if encoded.Claim == nil {
		return nil, ErrOutOfRange
	}
	reply = &replication.ClaimReply{
		ClaimID:   decodeClaimID(encoded.Claim),
		Operation: replication.Operation(encoded.Verb),
		Status:    replication.ReplyStatus(encoded.Verdict),
	}
	if reply.Key, err = decodeKey(encoded.Key); err != nil {
		return nil, err
	}
	if reply.Terms, err = decodeTerms(encoded.Sits); err != nil {
		return nil, err
	}
	reply.Attempts, err = decodeAttempts(encoded.Tries)
	return reply, err
}

func encodePullRequest(m *Envelope) (isPacket_Body, error) {
	request := m.PullRequest
	encoded := &Pulling{
		Plan:   request.ConfigDigest,
		Number: request.Sequence,
		Sit:    encodeTerm(request.Term),
		Slots:  encodeSlots(request.Slots),
	}
	if request.Resumes {
		encoded.After = request.AfterKey[:]
	}
	return &Packet_Pulling{encoded}, nil
}

func decodePullRequest(encoded *Pulling) (request *replication.PullRequest, err error) {
	request = &replication.PullRequest{
		ConfigDigest: encoded.Plan,
		Sequence:     encoded.Number,
		Term:         decodeTerm(encoded.Sit),
	}
	if request.Slots, err = decodeSlots(encoded.Slots); err != nil {
		return nil, err
	}
	if encoded.After != nil {
		request.Resumes = true
		request.AfterKey, err = decodeKey(encoded.After)
	}
	return request, err
}

func encodePullReply(m *Envelope) (isPacket_Body, error) {
	reply := m.PullReply
	encoded := &Slice{
		Plan:   reply.ConfigDigest,
		Number: reply.Sequence,
		Sit:    encodeTerm(reply.Term),
		Yours:  encodeTerm(reply.RequesterTerm),
	}
	for i := range reply.Slots {
		encoded.Parts = append(encoded.Parts, encodeSlotRecords(&reply.Slots[i]))
	}
	return &Packet_Slice{encoded}, nil
}

func encodeSlotRecords(slot *replication.SlotRecords) *SlotPart {
	encoded := &SlotPart{Slot: uint32(slot.Slot), Warm: slot.CaughtUp, All: slot.Complete}
	for _, copied := range slot.Copies {
		record := &Record{
			Key:   copied.Record.Key[:],
			Left:  copied.TimeToLive,
			Tries: encodeAttempts(copied.Record.Attempts),
		}
		record.Check = recordChecksum(record)
		encoded.Records = append(encoded.Records, record)
	}
	return encoded
}

// recordChecksum returns the checksum of a record without its remaining time to live.
func recordChecksum(record *Record) uint32 {
	content := append([]byte(nil), record.Key...)
	for _, t := range record.Tries {
		content = fmt.Appendf(content, " %d %d %d %d %d ", t.At, t.Who, t.N, t.State, t.Sum)
		content = append(content, t.Result...)
	}
	return crc32.ChecksumIEEE(content)
}

// decodePullReply decodes a reply. One corrupted record invalidates all of it: the requester would
// otherwise take the missing record for one that nobody has.
func decodePullReply(encoded *Slice) (*replication.PullReply, error) {
	if len(encoded.Parts) > maxSlots {
		return nil, ErrTooLarge
	}
	reply := &replication.PullReply{
		ConfigDigest:  encoded.Plan,
		Sequence:      encoded.Number,
		Term:          decodeTerm(encoded.Sit),
		RequesterTerm: decodeTerm(encoded.Yours),
	}
	records := 0
	for _, part := range encoded.Parts {
		records += len(part.Records)
		if part.Slot >= maxSlots || records > maxRecords {
			return nil, ErrTooLarge
		}
		slot := replication.SlotRecords{Slot: int(part.Slot), CaughtUp: part.Warm, Complete: part.All}
		for _, record := range part.Records {
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

func decodeRecord(encoded *Record) (copied replication.RecordCopy, err error) {
	key, err := decodeKey(encoded.Key)
	if err != nil {
		return copied, err
	}
	if encoded.Check != recordChecksum(encoded) {
		return copied, fmt.Errorf("record %x is not as its replica had it: %w", key[:4], ErrOutOfRange)
	}
	attempts, err := decodeAttempts(encoded.Tries)
	if err != nil {
		return copied, err
	}
	record := &replicastore.Record{Key: key, Attempts: attempts}
	return replication.RecordCopy{Record: record, TimeToLive: encoded.Left}, checkNonNegative(encoded.Left)
}

func encodeChecksums(m *Envelope) (isPacket_Body, error) {
	checksums := m.Checksums
	return &Packet_Sums{&Sums{
		Plan:  checksums.ConfigDigest,
		Sit:   encodeTerm(checksums.Term),
		Slots: encodeSlots(checksums.Slots),
		Sums:  checksums.Values,
	}}, nil
}

func decodeChecksums(encoded *Sums) (*replication.Checksums, error) {
	slots, err := decodeSlots(encoded.Slots)
	if err != nil {
		return nil, err
	}
	if len(encoded.Sums) != max(1, len(slots)) {
		return nil, ErrTooLarge
	}
	return &replication.Checksums{
		ConfigDigest: encoded.Plan,
		Term:         decodeTerm(encoded.Sit),
		Slots:        slots,
		Values:       encoded.Sums,
	}, nil
}
