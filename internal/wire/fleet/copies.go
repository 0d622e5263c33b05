package fleet

import (
	"errors"
	"fmt"
	"hash/crc32"
	"net/netip"

	"swiftcourse/internal/policy/circuitbreaker"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/replication"
	state "swiftcourse/internal/replicastore"
)

// This file is what servers say of the copies that they hold.

// Bounds of it.
const (
	maxResult   = 64 << 10 // bytes of a result
	maxAttempts = 256      // of a record, merged from all of its holders
	maxSlots    = state.SlotCount
	maxRecords  = 4096 // records in a slice
)

func encodeTerm(s replication.Term) *Sitting { return &Sitting{N: s.Number, Life: s.Incarnation} }

func decodeTerm(p *Sitting) replication.Term {
	return replication.Term{Number: p.GetN(), Incarnation: p.GetLife()}
}

func encodeTerms(list []replication.Term) (to []*Sitting) {
	for _, s := range list {
		to = append(to, encodeTerm(s))
	}
	return to
}

func decodeTerms(p []*Sitting) (list []replication.Term, err error) {
	if len(p) > replication.MaxReplicationFactor {
		return nil, errTooLarge
	}
	for _, s := range p {
		list = append(list, decodeTerm(s))
	}
	return list, nil
}

func encodeAttempt(t *state.Attempt) *Try {
	return &Try{At: t.UnixMilli, Who: t.Incarnation, N: t.Sequence, State: uint32(t.State), Sum: t.ResultChecksum, Result: t.Result}
}

func encodeAttempts(list []state.Attempt) (to []*Try) {
	for i := range list {
		to = append(to, encodeAttempt(&list[i]))
	}
	return to
}

// decodeAttempt reads a try. A result that is not the one that was entered does not come in.
func decodeAttempt(p *Try) (t state.Attempt, err error) {
	if p == nil {
		return t, errUnknownBody
	}
	t = state.Attempt{ClaimID: state.ClaimID{UnixMilli: p.At, Incarnation: p.Who, Sequence: p.N}, State: state.State(min(p.State, 255)), ResultChecksum: p.Sum, Result: p.Result}
	switch {
	case len(p.Result) > maxResult:
		err = errTooLarge
	case t.State > state.StateFinished, t.State != state.StateFinished && (t.Result != nil || t.ResultChecksum != 0):
		err = errOutOfRange
	case !t.Intact():
		err = fmt.Errorf("a result that is not the one that was entered: %w", errOutOfRange)
	}
	return t, err
}

// decodeAttempts reads those of a record, which stand in the order of claims.
func decodeAttempts(p []*Try) (list []state.Attempt, err error) {
	if len(p) > maxAttempts {
		return nil, errTooLarge
	}
	for i, one := range p {
		t, err := decodeAttempt(one)
		if err != nil {
			return nil, err
		}
		if i > 0 && list[i-1].Compare(t.ClaimID) >= 0 {
			return nil, errOutOfRange
		}
		list = append(list, t)
	}
	return list, nil
}

func decodeKey(b []byte) (k state.Key, err error) {
	if len(b) != len(k) {
		return k, errTooLarge
	}
	copy(k[:], b)
	return k, nil
}

func decodeSlots(p []uint32) (slots []int, err error) {
	if len(p) > state.SlotCount {
		return nil, errTooLarge
	}
	for _, n := range p {
		if n >= state.SlotCount {
			return nil, errOutOfRange
		}
		slots = append(slots, int(n))
	}
	return slots, nil
}

func encodeSlots(slots []int) (p []uint32) {
	for _, n := range slots {
		p = append(p, uint32(n))
	}
	return p
}

// recordChecksum is over all of a record but how long it is kept.
func recordChecksum(r *Record) uint32 {
	b := append([]byte(nil), r.Key...)
	for _, t := range r.Tries {
		b = fmt.Appendf(b, " %d %d %d %d %d ", t.At, t.Who, t.N, t.State, t.Sum)
		b = append(b, t.Result...)
	}
	return crc32.ChecksumIEEE(b)
}

func encodeReplicationMessage(p *Packet, m *Envelope) error {
	switch {
	case m.ClaimRequest != nil:
		q := m.ClaimRequest
		p.Body = &Packet_Claiming{&Claiming{Plan: q.ConfigDigest, Verb: uint32(q.Operation), Key: q.Key[:], Try: encodeAttempt(&q.Attempt), Sits: encodeTerms(q.Terms)}}
	case m.ClaimReply != nil:
		a := m.ClaimReply
		p.Body = &Packet_Claimed{&Claimed{Key: a.Key[:], Claim: encodeAttempt(&state.Attempt{ClaimID: a.ClaimID}), Verb: uint32(a.Operation), Verdict: uint32(a.Status),
			Sits: encodeTerms(a.Terms), Tries: encodeAttempts(a.Attempts)}}
	case m.PullRequest != nil:
		q := m.PullRequest
		to := &Pulling{Plan: q.ConfigDigest, Number: q.Sequence, Sit: encodeTerm(q.Term), Slots: encodeSlots(q.Slots)}
		if q.Resumes {
			to.After = q.AfterKey[:]
		}
		p.Body = &Packet_Pulling{to}
	case m.PullReply != nil:
		s := m.PullReply
		to := &Slice{Plan: s.ConfigDigest, Number: s.Sequence, Sit: encodeTerm(s.Term), Yours: encodeTerm(s.RequesterTerm)}
		for _, part := range s.Slots {
			one := &SlotPart{Slot: uint32(part.Slot), Warm: part.CaughtUp, All: part.Complete}
			for _, c := range part.Copies {
				r := &Record{Key: c.Record.Key[:], Left: c.TimeToLive, Tries: encodeAttempts(c.Record.Attempts)}
				r.Check = recordChecksum(r)
				one.Records = append(one.Records, r)
			}
			to.Parts = append(to.Parts, one)
		}
		p.Body = &Packet_Slice{to}
	case m.Checksums != nil:
		p.Body = &Packet_Sums{&Sums{Plan: m.Checksums.ConfigDigest, Sit: encodeTerm(m.Checksums.Term), Slots: encodeSlots(m.Checksums.Slots), Sums: m.Checksums.Values}}
	case m.TrustRequest:
		p.Body = &Packet_AskCallers{&AskCallers{}}
	case m.TrustRecords != nil:
		to := &Vouchers{}
		for i := range m.TrustRecords {
			v := &m.TrustRecords[i]
			one := &Voucher{Name: v.Name, Life: v.Incarnation, Number: v.Sequence}
			for _, e := range v.Clients {
				addr := e.Addr.As16()
				one.Callers = append(one.Callers, &Caller{Addr: addr[:], Credit: float32(e.Credit)})
			}
			to.Vouchers = append(to.Vouchers, one)
		}
		p.Body = &Packet_Vouchers{to}
	case m.QuotaRequest != nil:
		q := &Wishing{Number: m.QuotaRequest.Number, Terms: m.QuotaRequest.ConfigHash, Granter: m.QuotaRequest.GrantorID}
		for _, w := range m.QuotaRequest.Demands {
			q.Wishes = append(q.Wishes, &Wish{Name: w.Name, Demand: w.Requested, Open: w.InUse, Part: w.LeasedShare, Left: w.RemainingSeconds, Answer: w.GrantNumber})
		}
		p.Body = &Packet_Wishing{q}
	case m.QuotaReply != nil:
		a := &Granting{Life: m.QuotaReply.Incarnation, Number: m.QuotaReply.Number, Granter: m.QuotaReply.GrantorID}
		for _, g := range m.QuotaReply.Grants {
			a.Grants = append(a.Grants, &Grant{Name: g.Name, Part: g.LeasedShare})
		}
		p.Body = &Packet_Granting{a}
	case m.HealthReports != nil:
		h := &Healths{}
		for _, w := range m.HealthReports {
			h.Words = append(h.Words, &Health{Name: w.Server, Zone: w.Zone, Life: w.Incarnation, Number: w.Sequence, Age: w.AgeSeconds, Well: uint32(w.Tally.Succeeded),
				Lost: uint32(w.Tally.Failed), Took: w.Tally.SuccessSeconds})
		}
		p.Body = &Packet_Healths{h}
	default:
		return encodeCounterMessage(p, m)
	}
	return nil
}

// decodeTrustRecords reads servers' words on callers.
func decodeTrustRecords(p *Vouchers) (list []replication.TrustRecord, err error) {
	if len(p.Vouchers) > maxListEntries {
		return nil, errTooLarge
	}
	list = []replication.TrustRecord{}
	for _, v := range p.Vouchers {
		if len(v.Callers) > replication.MaxTrustedClients {
			return nil, errTooLarge
		}
		one := replication.TrustRecord{Name: v.Name, Incarnation: v.Life, Sequence: v.Number}
		for _, c := range v.Callers {
			if len(c.Addr) != 16 {
				return nil, errTooLarge
			}
			if err := checkCount(float64(c.Credit)); err != nil {
				return nil, err
			}
			one.Clients = append(one.Clients, connlimit.Earned{Addr: netip.AddrFrom16([16]byte(c.Addr)).Unmap(), Credit: float64(c.Credit)})
		}
		if err := checkNames(v.Name); err != nil {
			return nil, err
		}
		list = append(list, one)
	}
	return list, nil
}

func decodeReplicationMessage(p *Packet, m *Envelope) (err error) {
	switch body := p.Body.(type) {
	case *Packet_Claiming:
		m.ClaimRequest, err = decodeClaimRequest(body.Claiming)
	case *Packet_Claimed:
		m.ClaimReply, err = decodeClaimReply(body.Claimed)
	case *Packet_Pulling:
		q := &replication.PullRequest{ConfigDigest: body.Pulling.Plan, Sequence: body.Pulling.Number, Term: decodeTerm(body.Pulling.Sit)}
		if q.Slots, err = decodeSlots(body.Pulling.Slots); err == nil && body.Pulling.After != nil {
			q.AfterKey, err = decodeKey(body.Pulling.After)
			q.Resumes = true
		}
		m.PullRequest = q
	case *Packet_Slice:
		m.PullReply, err = decodePullReply(body.Slice)
	case *Packet_Sums:
		s := &replication.Checksums{ConfigDigest: body.Sums.Plan, Term: decodeTerm(body.Sums.Sit), Values: body.Sums.Sums}
		if s.Slots, err = decodeSlots(body.Sums.Slots); err == nil && len(s.Values) != max(1, len(s.Slots)) {
			err = errTooLarge
		}
		m.Checksums = s
	case *Packet_Vouchers:
		m.TrustRecords, err = decodeTrustRecords(body.Vouchers)
	case *Packet_AskCallers:
		m.TrustRequest = true
	case *Packet_Wishing:
		m.QuotaRequest, err = decodeQuotaRequest(body.Wishing)
		if m.QuotaRequest != nil {
			m.QuotaRequest.Incarnation = p.Life
		}
	case *Packet_Granting:
		m.QuotaReply, err = decodeQuotaReply(body.Granting)
	case *Packet_Healths:
		m.HealthReports, err = decodeHealthReports(body.Healths)
	default:
		err = decodeCounterMessage(p, m)
	}
	return err
}

func decodeClaimRequest(p *Claiming) (q *replication.ClaimRequest, err error) {
	if p.Verb > uint32(replication.OpReport) {
		return nil, errOutOfRange
	}
	q = &replication.ClaimRequest{ConfigDigest: p.Plan, Operation: replication.Operation(p.Verb)}
	if q.Key, err = decodeKey(p.Key); err != nil {
		return nil, err
	}
	if q.Attempt, err = decodeAttempt(p.Try); err != nil {
		return nil, err
	}
	if q.Operation == replication.OpReport && q.Attempt.State == state.StateClaimed || q.Operation != replication.OpReport && q.Attempt.State != state.StateClaimed {
		return nil, errOutOfRange
	}
	q.Terms, err = decodeTerms(p.Sits)
	return q, err
}

func decodeClaimReply(p *Claimed) (a *replication.ClaimReply, err error) {
	if p.Verb > uint32(replication.OpReport) || p.Verdict > uint32(replication.ReplyMisrouted) || p.Claim == nil {
		return nil, errOutOfRange
	}
	a = &replication.ClaimReply{ClaimID: state.ClaimID{UnixMilli: p.Claim.At, Incarnation: p.Claim.Who, Sequence: p.Claim.N}, Operation: replication.Operation(p.Verb), Status: replication.ReplyStatus(p.Verdict)}
	if a.Key, err = decodeKey(p.Key); err != nil {
		return nil, err
	}
	if a.Terms, err = decodeTerms(p.Sits); err != nil {
		return nil, err
	}
	a.Attempts, err = decodeAttempts(p.Tries)
	return a, err
}

// decodePullReply reads one whole: a record that changed on its way makes all of it unheard, as what is missing would be taken for unknown.
func decodePullReply(p *Slice) (*replication.PullReply, error) {
	s := &replication.PullReply{ConfigDigest: p.Plan, Sequence: p.Number, Term: decodeTerm(p.Sit), RequesterTerm: decodeTerm(p.Yours)}
	n := 0
	if len(p.Parts) > maxSlots {
		return nil, errTooLarge
	}
	for _, part := range p.Parts {
		if n += len(part.Records); part.Slot >= state.SlotCount || n > maxRecords {
			return nil, errTooLarge
		}
		to := replication.SlotRecords{Slot: int(part.Slot), CaughtUp: part.Warm, Complete: part.All}
		for _, r := range part.Records {
			k, err := decodeKey(r.Key)
			if err != nil {
				return nil, err
			}
			if r.Check != recordChecksum(r) {
				return nil, fmt.Errorf("record %x is not as its holder had it: %w", k[:4], errOutOfRange)
			}
			list, err := decodeAttempts(r.Tries)
			if err != nil {
				return nil, err
			}
			if err := checkCount(r.Left); err != nil {
				return nil, err
			}
			to.Copies = append(to.Copies, replication.RecordCopy{Record: &state.Record{Key: k, Attempts: list}, TimeToLive: r.Left})
		}
		s.Slots = append(s.Slots, to)
	}
	return s, nil
}

func encodeReplicationStatus(s *replication.Status) *CopiesState {
	if s == nil {
		return nil
	}
	return &CopiesState{Cold: uint32(s.CatchingUp), Differ: uint32(s.OutOfSync), Learned: uint64(s.CaughtUpByPeers), Aged: uint64(s.CaughtUpByTimeout), Mended: uint64(s.RepairedRecords),
		Alarms: uint64(s.ConflictingResults), Records: uint64(s.Records), Bytes: uint64(s.Bytes), Dropped: uint64(s.DroppedResults), Flipped: uint64(s.CorruptedRecords),
		Claims: uint64(s.ActiveClaims), Promised: uint64(s.ReplicatedResults), Unpromised: uint64(s.UnreplicatedResults), Holder: s.IsReplica, Plan: s.ConfigDigest}
}

func decodeReplicationStatus(p *CopiesState) *replication.Status {
	return &replication.Status{CatchingUp: int(p.Cold), OutOfSync: int(p.Differ), CaughtUpByPeers: int(p.Learned), CaughtUpByTimeout: int(p.Aged), RepairedRecords: int(p.Mended), ConflictingResults: int(p.Alarms),
		Records: int(p.Records), Bytes: int(p.Bytes), DroppedResults: int(p.Dropped), CorruptedRecords: int(p.Flipped), ActiveClaims: int(p.Claims), ReplicatedResults: int(p.Promised),
		UnreplicatedResults: int(p.Unpromised), IsReplica: p.Holder, ConfigDigest: p.Plan}
}

// decodeQuotaRequest reads a server's question about budgets. What it says of them the granter bounds; here only what is no number is refused.
func decodeQuotaRequest(p *Wishing) (*quota.Request, error) {
	if len(p.Wishes) > quota.MaxEntries {
		return nil, errTooLarge
	}
	q := &quota.Request{Number: p.Number, ConfigHash: p.Terms, GrantorID: p.Granter}
	for _, w := range p.Wishes {
		if err := errors.Join(checkNames(w.Name), checkCount(w.Demand), checkCount(w.Open), checkCount(w.Part), checkCount(w.Left)); err != nil {
			return nil, err
		}
		q.Demands = append(q.Demands, quota.Demand{Name: w.Name, Requested: w.Demand, InUse: w.Open, LeasedShare: w.Part, RemainingSeconds: w.Left, GrantNumber: w.Answer})
	}
	return q, nil
}

func decodeHealthReports(p *Healths) ([]circuitbreaker.Report, error) {
	if len(p.Words) > circuitbreaker.MaxReports {
		return nil, errTooLarge
	}
	list := []circuitbreaker.Report{}
	for _, w := range p.Words {
		if err := errors.Join(checkNames(w.Name, w.Zone), checkCount(w.Age), checkCount(w.Took)); err != nil {
			return nil, err
		}
		list = append(list, circuitbreaker.Report{Server: w.Name, Zone: w.Zone, Incarnation: w.Life, Sequence: w.Number, AgeSeconds: w.Age,
			Tally: circuitbreaker.Tally{Succeeded: int(w.Well), Failed: int(w.Lost), SuccessSeconds: w.Took}})
	}
	return list, nil
}

func decodeQuotaReply(p *Granting) (*quota.Reply, error) {
	if len(p.Grants) > quota.MaxEntries {
		return nil, errTooLarge
	}
	a := &quota.Reply{Incarnation: p.Life, Number: p.Number, GrantorID: p.Granter}
	for _, g := range p.Grants {
		if err := errors.Join(checkNames(g.Name), checkCount(g.Part)); err != nil {
			return nil, err
		}
		a.Grants = append(a.Grants, quota.Grant{Name: g.Name, LeasedShare: g.Part})
	}
	return a, nil
}
