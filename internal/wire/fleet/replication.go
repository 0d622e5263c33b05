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

// decodeReplicationBody decodes messages between coordinators and replicas.
func decodeReplicationBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_Claiming:
		m.ClaimRequest, err = decodeClaimRequest(body.Claiming)
	case *Packet_Claimed:
		m.ClaimReply, err = decodeClaimReply(body.Claimed)
	case *Packet_Pulling:
		m.PullRequest, err = decodePullRequest(body.Pulling)
	case *Packet_Slice:
		m.PullReply, err = decodePullReply(body.Slice)
	case *Packet_Sums:
		m.Checksums, err = decodeChecksums(body.Sums)
	default:
		return false, nil
	}
	return true, err
}

func encodeTerm(t replication.Term) *Sitting { return &Sitting{N: t.Number, Life: t.Incarnation} }

func decodeTerm(p *Sitting) replication.Term {
	return replication.Term{Number: p.GetN(), Incarnation: p.GetLife()}
}

func encodeTerms(terms []replication.Term) (p []*Sitting) {
	for _, t := range terms {
		p = append(p, encodeTerm(t))
	}
	return p
}

func decodeTerms(p []*Sitting) (terms []replication.Term, err error) {
	if len(p) > replication.MaxReplicationFactor {
		return nil, ErrTooLarge
	}
	for _, one := range p {
		terms = append(terms, decodeTerm(one))
	}
	return terms, nil
}

func encodeAttempt(a *replicastore.Attempt) *Try {
	return &Try{
		At:     a.UnixMilli,
		Who:    a.Incarnation,
		N:      a.Sequence,
		State:  uint32(a.State),
		Sum:    a.ResultChecksum,
		Result: a.Result,
	}
}

func encodeAttempts(attempts []replicastore.Attempt) (p []*Try) {
	for i := range attempts {
		p = append(p, encodeAttempt(&attempts[i]))
	}
	return p
}

// decodeAttempt decodes an attempt. A result that is not the one that was recorded is rejected.
func decodeAttempt(p *Try) (a replicastore.Attempt, err error) {
	if p == nil {
		return a, ErrUnknownBody
	}
	a = replicastore.Attempt{
		ClaimID:        decodeClaimID(p),
		State:          replicastore.AttemptState(min(p.State, math.MaxUint8)),
		ResultChecksum: p.Sum,
		Result:         p.Result,
	}
	finished := a.State == replicastore.StateFinished
	switch {
	case len(p.Result) > maxResult:
		err = ErrTooLarge
	case a.State > replicastore.StateFinished, !finished && (a.Result != nil || a.ResultChecksum != 0):
		err = ErrOutOfRange
	case !a.Intact():
		err = fmt.Errorf("a result that is not the one that was recorded: %w", ErrOutOfRange)
	}
	return a, err
}

func decodeClaimID(p *Try) replicastore.ClaimID {
	return replicastore.ClaimID{UnixMilli: p.At, Incarnation: p.Who, Sequence: p.N}
}

// decodeAttempts decodes a record's attempts, which are sorted by claim.
func decodeAttempts(p []*Try) (attempts []replicastore.Attempt, err error) {
	if len(p) > maxAttempts {
		return nil, ErrTooLarge
	}
	for i, one := range p {
		attempt, err := decodeAttempt(one)
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

func encodeSlots(slots []int) (p []uint32) {
	for _, slot := range slots {
		p = append(p, uint32(slot))
	}
	return p
}

func decodeSlots(p []uint32) (slots []int, err error) {
	if len(p) > maxSlots {
		return nil, ErrTooLarge
	}
	for _, slot := range p {
		if slot >= maxSlots {
			return nil, ErrOutOfRange
		}
		slots = append(slots, int(slot))
	}
	return slots, nil
}

func encodeClaimRequest(m *Envelope) (isPacket_Body, error) {
	r := m.ClaimRequest
	return &Packet_Claiming{&Claiming{
		Plan: r.ConfigDigest,
		Verb: uint32(r.Operation),
		Key:  r.Key[:],
		Try:  encodeAttempt(&r.Attempt),
		Sits: encodeTerms(r.Terms),
	}}, nil
}

func decodeClaimRequest(p *Claiming) (r *replication.ClaimRequest, err error) {
	if p.Verb > uint32(replication.OpReport) {
		return nil, ErrOutOfRange
	}
	r = &replication.ClaimRequest{ConfigDigest: p.Plan, Operation: replication.Operation(p.Verb)}
	if r.Key, err = decodeKey(p.Key); err != nil {
		return nil, err
	}
	if r.Attempt, err = decodeAttempt(p.Try); err != nil {
		return nil, err
	}
	reports := r.Operation == replication.OpReport
	claims := r.Attempt.State == replicastore.StateClaimed
	if reports == claims { // a report is of a run that ended, and nothing else is
		return nil, ErrOutOfRange
	}
	r.Terms, err = decodeTerms(p.Sits)
	return r, err
}

func encodeClaimReply(m *Envelope) (isPacket_Body, error) {
	r := m.ClaimReply
	return &Packet_Claimed{&Claimed{
		Key:     r.Key[:],
		Claim:   encodeAttempt(&replicastore.Attempt{ClaimID: r.ClaimID}),
		Verb:    uint32(r.Operation),
		Verdict: uint32(r.Status),
		Sits:    encodeTerms(r.Terms),
		Tries:   encodeAttempts(r.Attempts),
	}}, nil
}

func decodeClaimReply(p *Claimed) (r *replication.ClaimReply, err error) {
	if p.Verb > uint32(replication.OpReport) || p.Verdict > uint32(replication.ReplyMisrouted) || p.Claim == nil {
		return nil, ErrOutOfRange
	}
	r = &replication.ClaimReply{
		ClaimID:   decodeClaimID(p.Claim),
		Operation: replication.Operation(p.Verb),
		Status:    replication.ReplyStatus(p.Verdict),
	}
	if r.Key, err = decodeKey(p.Key); err != nil {
		return nil, err
	}
	if r.Terms, err = decodeTerms(p.Sits); err != nil {
		return nil, err
	}
	r.Attempts, err = decodeAttempts(p.Tries)
	return r, err
}

func encodePullRequest(m *Envelope) (isPacket_Body, error) {
	r := m.PullRequest
	p := &Pulling{
		Plan:   r.ConfigDigest,
		Number: r.Sequence,
		Sit:    encodeTerm(r.Term),
		Slots:  encodeSlots(r.Slots),
	}
	if r.Resumes {
		p.After = r.AfterKey[:]
	}
	return &Packet_Pulling{p}, nil
}

func decodePullRequest(p *Pulling) (r *replication.PullRequest, err error) {
	r = &replication.PullRequest{ConfigDigest: p.Plan, Sequence: p.Number, Term: decodeTerm(p.Sit)}
	if r.Slots, err = decodeSlots(p.Slots); err != nil {
		return nil, err
	}
	if p.After != nil {
		r.Resumes = true
		r.AfterKey, err = decodeKey(p.After)
	}
	return r, err
}

func encodePullReply(m *Envelope) (isPacket_Body, error) {
	r := m.PullReply
	p := &Slice{
		Plan:   r.ConfigDigest,
		Number: r.Sequence,
		Sit:    encodeTerm(r.Term),
		Yours:  encodeTerm(r.RequesterTerm),
	}
	for i := range r.Slots {
		p.Parts = append(p.Parts, encodeSlotRecords(&r.Slots[i]))
	}
	return &Packet_Slice{p}, nil
}

func encodeSlotRecords(s *replication.SlotRecords) *SlotPart {
	p := &SlotPart{Slot: uint32(s.Slot), Warm: s.CaughtUp, All: s.Complete}
	for _, c := range s.Copies {
		record := &Record{
			Key:   c.Record.Key[:],
			Left:  c.TimeToLive,
			Tries: encodeAttempts(c.Record.Attempts),
		}
		record.Check = recordChecksum(record)
		p.Records = append(p.Records, record)
	}
	return p
}

// recordChecksum is over all of a record but how long it is kept.
func recordChecksum(r *Record) uint32 {
	content := append([]byte(nil), r.Key...)
	for _, t := range r.Tries {
		content = fmt.Appendf(content, " %d %d %d %d %d ", t.At, t.Who, t.N, t.State, t.Sum)
		content = append(content, t.Result...)
	}
	return crc32.ChecksumIEEE(content)
}

// decodePullReply decodes a reply whole: a record that changed on its way makes all of it invalid,
// as what is missing would be taken for unknown.
func decodePullReply(p *Slice) (*replication.PullReply, error) {
	if len(p.Parts) > maxSlots {
		return nil, ErrTooLarge
	}
	r := &replication.PullReply{
		ConfigDigest:  p.Plan,
		Sequence:      p.Number,
		Term:          decodeTerm(p.Sit),
		RequesterTerm: decodeTerm(p.Yours),
	}
	records := 0
	for _, part := range p.Parts {
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
		r.Slots = append(r.Slots, slot)
	}
	return r, nil
}

func decodeRecord(p *Record) (c replication.RecordCopy, err error) {
	key, err := decodeKey(p.Key)
	if err != nil {
		return c, err
	}
	if p.Check != recordChecksum(p) {
		return c, fmt.Errorf("record %x is not as its replica had it: %w", key[:4], ErrOutOfRange)
	}
	attempts, err := decodeAttempts(p.Tries)
	if err != nil {
		return c, err
	}
	record := &replicastore.Record{Key: key, Attempts: attempts}
	return replication.RecordCopy{Record: record, TimeToLive: p.Left}, checkCount(p.Left)
}

func encodeChecksums(m *Envelope) (isPacket_Body, error) {
	c := m.Checksums
	return &Packet_Sums{&Sums{
		Plan:  c.ConfigDigest,
		Sit:   encodeTerm(c.Term),
		Slots: encodeSlots(c.Slots),
		Sums:  c.Values,
	}}, nil
}

func decodeChecksums(p *Sums) (*replication.Checksums, error) {
	slots, err := decodeSlots(p.Slots)
	if err != nil {
		return nil, err
	}
	if len(p.Sums) != max(1, len(slots)) {
		return nil, ErrTooLarge
	}
	return &replication.Checksums{
		ConfigDigest: p.Plan,
		Term:         decodeTerm(p.Sit),
		Slots:        slots,
		Values:       p.Sums,
	}, nil
}

func encodeReplicationStatus(s *replication.Status) *CopiesState {
	if s == nil {
		return nil
	}
	return &CopiesState{
		Cold:       uint32(s.CatchingUp),
		Differ:     uint32(s.OutOfSync),
		Learned:    uint64(s.CaughtUpByPeers),
		Aged:       uint64(s.CaughtUpByTimeout),
		Mended:     uint64(s.RepairedRecords),
		Alarms:     uint64(s.ConflictingResults),
		Records:    uint64(s.Records),
		Bytes:      uint64(s.Bytes),
		Dropped:    uint64(s.DroppedResults),
		Flipped:    uint64(s.CorruptedRecords),
		Claims:     uint64(s.ActiveClaims),
		Promised:   uint64(s.ReplicatedResults),
		Unpromised: uint64(s.UnreplicatedResults),
		Holder:     s.IsReplica,
		Plan:       s.ConfigDigest,
	}
}

func decodeReplicationStatus(p *CopiesState) *replication.Status {
	return &replication.Status{
		CatchingUp:          int(p.Cold),
		OutOfSync:           int(p.Differ),
		CaughtUpByPeers:     int(p.Learned),
		CaughtUpByTimeout:   int(p.Aged),
		RepairedRecords:     int(p.Mended),
		ConflictingResults:  int(p.Alarms),
		Records:             int(p.Records),
		Bytes:               int(p.Bytes),
		DroppedResults:      int(p.Dropped),
		CorruptedRecords:    int(p.Flipped),
		ActiveClaims:        int(p.Claims),
		ReplicatedResults:   int(p.Promised),
		UnreplicatedResults: int(p.Unpromised),
		IsReplica:           p.Holder,
		ConfigDigest:        p.Plan,
	}
}
