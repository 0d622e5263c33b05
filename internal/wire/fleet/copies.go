package fleet

import (
	"errors"
	"fmt"
	"hash/crc32"
	"net/netip"

	"swiftcourse/internal/judge/door"
	"swiftcourse/internal/judge/replica"
	"swiftcourse/internal/judge/shared/budget"
	"swiftcourse/internal/judge/shared/health"
	state "swiftcourse/internal/replica"
)

// This file is what servers say of the copies that they hold.

// Bounds of it.
const (
	maxResult = 64 << 10 // bytes of a result
	maxTries  = 256      // of a record, merged from all of its holders
	maxParts  = state.SlotCount
	maxCopies = 4096 // records in a slice
)

func putSit(s replica.Term) *Sitting { return &Sitting{N: s.Number, Life: s.Incarnation} }

func sit(p *Sitting) replica.Term { return replica.Term{Number: p.GetN(), Incarnation: p.GetLife()} }

func putSits(list []replica.Term) (to []*Sitting) {
	for _, s := range list {
		to = append(to, putSit(s))
	}
	return to
}

func sits(p []*Sitting) (list []replica.Term, err error) {
	if len(p) > replica.MaxReplicationFactor {
		return nil, errSize
	}
	for _, s := range p {
		list = append(list, sit(s))
	}
	return list, nil
}

func putTry(t *state.Attempt) *Try {
	return &Try{At: t.UnixMilli, Who: t.Incarnation, N: t.Sequence, State: uint32(t.State), Sum: t.ResultChecksum, Result: t.Result}
}

func putTries(list []state.Attempt) (to []*Try) {
	for i := range list {
		to = append(to, putTry(&list[i]))
	}
	return to
}

// try reads a try. A result that is not the one that was entered does not come in.
func try(p *Try) (t state.Attempt, err error) {
	if p == nil {
		return t, errEmpty
	}
	t = state.Attempt{ClaimID: state.ClaimID{UnixMilli: p.At, Incarnation: p.Who, Sequence: p.N}, State: state.State(min(p.State, 255)), ResultChecksum: p.Sum, Result: p.Result}
	switch {
	case len(p.Result) > maxResult:
		err = errSize
	case t.State > state.StateFinished, t.State != state.StateFinished && (t.Result != nil || t.ResultChecksum != 0):
		err = errValue
	case !t.Intact():
		err = fmt.Errorf("a result that is not the one that was entered: %w", errValue)
	}
	return t, err
}

// tries reads those of a record, which stand in the order of claims.
func tries(p []*Try) (list []state.Attempt, err error) {
	if len(p) > maxTries {
		return nil, errSize
	}
	for i, one := range p {
		t, err := try(one)
		if err != nil {
			return nil, err
		}
		if i > 0 && list[i-1].Compare(t.ClaimID) >= 0 {
			return nil, errValue
		}
		list = append(list, t)
	}
	return list, nil
}

func key(b []byte) (k state.Key, err error) {
	if len(b) != len(k) {
		return k, errSize
	}
	copy(k[:], b)
	return k, nil
}

func slotNumbers(p []uint32) (slots []int, err error) {
	if len(p) > state.SlotCount {
		return nil, errSize
	}
	for _, n := range p {
		if n >= state.SlotCount {
			return nil, errValue
		}
		slots = append(slots, int(n))
	}
	return slots, nil
}

func putSlots(slots []int) (p []uint32) {
	for _, n := range slots {
		p = append(p, uint32(n))
	}
	return p
}

// check is over all of a record but how long it is kept.
func check(r *Record) uint32 {
	b := append([]byte(nil), r.Key...)
	for _, t := range r.Tries {
		b = fmt.Appendf(b, " %d %d %d %d %d ", t.At, t.Who, t.N, t.State, t.Sum)
		b = append(b, t.Result...)
	}
	return crc32.ChecksumIEEE(b)
}

func putCopies(p *Packet, m *Message) error {
	switch {
	case m.Claiming != nil:
		q := m.Claiming
		p.Body = &Packet_Claiming{&Claiming{Plan: q.ConfigDigest, Verb: uint32(q.Operation), Key: q.Key[:], Try: putTry(&q.Attempt), Sits: putSits(q.Terms)}}
	case m.Claimed != nil:
		a := m.Claimed
		p.Body = &Packet_Claimed{&Claimed{Key: a.Key[:], Claim: putTry(&state.Attempt{ClaimID: a.ClaimID}), Verb: uint32(a.Operation), Verdict: uint32(a.Status),
			Sits: putSits(a.Terms), Tries: putTries(a.Attempts)}}
	case m.Pull != nil:
		q := m.Pull
		to := &Pulling{Plan: q.ConfigDigest, Number: q.Sequence, Sit: putSit(q.Term), Slots: putSlots(q.Slots)}
		if q.Resumes {
			to.After = q.AfterKey[:]
		}
		p.Body = &Packet_Pulling{to}
	case m.Slice != nil:
		s := m.Slice
		to := &Slice{Plan: s.ConfigDigest, Number: s.Sequence, Sit: putSit(s.Term), Yours: putSit(s.RequesterTerm)}
		for _, part := range s.Slots {
			one := &SlotPart{Slot: uint32(part.Slot), Warm: part.CaughtUp, All: part.Complete}
			for _, c := range part.Copies {
				r := &Record{Key: c.Record.Key[:], Left: c.TimeToLive, Tries: putTries(c.Record.Attempts)}
				r.Check = check(r)
				one.Records = append(one.Records, r)
			}
			to.Parts = append(to.Parts, one)
		}
		p.Body = &Packet_Slice{to}
	case m.Sums != nil:
		p.Body = &Packet_Sums{&Sums{Plan: m.Sums.ConfigDigest, Sit: putSit(m.Sums.Term), Slots: putSlots(m.Sums.Slots), Sums: m.Sums.Values}}
	case m.AskCallers:
		p.Body = &Packet_AskCallers{&AskCallers{}}
	case m.Vouchers != nil:
		to := &Vouchers{}
		for i := range m.Vouchers {
			v := &m.Vouchers[i]
			one := &Voucher{Name: v.Name, Life: v.Incarnation, Number: v.Sequence}
			for _, e := range v.Clients {
				addr := e.Addr.As16()
				one.Callers = append(one.Callers, &Caller{Addr: addr[:], Credit: float32(e.Credit)})
			}
			to.Vouchers = append(to.Vouchers, one)
		}
		p.Body = &Packet_Vouchers{to}
	case m.Wishes != nil:
		q := &Wishing{Number: m.Wishes.Number, Terms: m.Wishes.ConfigHash, Granter: m.Wishes.GrantorID}
		for _, w := range m.Wishes.Demands {
			q.Wishes = append(q.Wishes, &Wish{Name: w.Name, Demand: w.Requested, Open: w.InUse, Part: w.LeasedShare, Left: w.RemainingSeconds, Answer: w.GrantNumber})
		}
		p.Body = &Packet_Wishing{q}
	case m.Grants != nil:
		a := &Granting{Life: m.Grants.Incarnation, Number: m.Grants.Number, Granter: m.Grants.GrantorID}
		for _, g := range m.Grants.Grants {
			a.Grants = append(a.Grants, &Grant{Name: g.Name, Part: g.LeasedShare})
		}
		p.Body = &Packet_Granting{a}
	case m.Health != nil:
		h := &Healths{}
		for _, w := range m.Health {
			h.Words = append(h.Words, &Health{Name: w.Server, Zone: w.Zone, Life: w.Incarnation, Number: w.Sequence, Age: w.AgeSeconds, Well: uint32(w.Tally.Succeeded),
				Lost: uint32(w.Tally.Failed), Took: w.Tally.SuccessSeconds})
		}
		p.Body = &Packet_Healths{h}
	default:
		return putRows(p, m)
	}
	return nil
}

// vouchers reads servers' words on callers.
func vouchers(p *Vouchers) (list []replica.TrustRecord, err error) {
	if len(p.Vouchers) > maxShortList {
		return nil, errSize
	}
	list = []replica.TrustRecord{}
	for _, v := range p.Vouchers {
		if len(v.Callers) > replica.MaxTrustedClients {
			return nil, errSize
		}
		one := replica.TrustRecord{Name: v.Name, Incarnation: v.Life, Sequence: v.Number}
		for _, c := range v.Callers {
			if len(c.Addr) != 16 {
				return nil, errSize
			}
			if err := count(float64(c.Credit)); err != nil {
				return nil, err
			}
			one.Clients = append(one.Clients, door.Earned{Addr: netip.AddrFrom16([16]byte(c.Addr)).Unmap(), Credit: float64(c.Credit)})
		}
		if err := short(v.Name); err != nil {
			return nil, err
		}
		list = append(list, one)
	}
	return list, nil
}

func copies(p *Packet, m *Message) (err error) {
	switch body := p.Body.(type) {
	case *Packet_Claiming:
		m.Claiming, err = claiming(body.Claiming)
	case *Packet_Claimed:
		m.Claimed, err = claimed(body.Claimed)
	case *Packet_Pulling:
		q := &replica.PullRequest{ConfigDigest: body.Pulling.Plan, Sequence: body.Pulling.Number, Term: sit(body.Pulling.Sit)}
		if q.Slots, err = slotNumbers(body.Pulling.Slots); err == nil && body.Pulling.After != nil {
			q.AfterKey, err = key(body.Pulling.After)
			q.Resumes = true
		}
		m.Pull = q
	case *Packet_Slice:
		m.Slice, err = slice(body.Slice)
	case *Packet_Sums:
		s := &replica.Checksums{ConfigDigest: body.Sums.Plan, Term: sit(body.Sums.Sit), Values: body.Sums.Sums}
		if s.Slots, err = slotNumbers(body.Sums.Slots); err == nil && len(s.Values) != max(1, len(s.Slots)) {
			err = errSize
		}
		m.Sums = s
	case *Packet_Vouchers:
		m.Vouchers, err = vouchers(body.Vouchers)
	case *Packet_AskCallers:
		m.AskCallers = true
	case *Packet_Wishing:
		m.Wishes, err = wishing(body.Wishing)
		if m.Wishes != nil {
			m.Wishes.Incarnation = p.Life
		}
	case *Packet_Granting:
		m.Grants, err = granting(body.Granting)
	case *Packet_Healths:
		m.Health, err = healths(body.Healths)
	default:
		err = readRows(p, m)
	}
	return err
}

func claiming(p *Claiming) (q *replica.ClaimRequest, err error) {
	if p.Verb > uint32(replica.OpReport) {
		return nil, errValue
	}
	q = &replica.ClaimRequest{ConfigDigest: p.Plan, Operation: replica.Operation(p.Verb)}
	if q.Key, err = key(p.Key); err != nil {
		return nil, err
	}
	if q.Attempt, err = try(p.Try); err != nil {
		return nil, err
	}
	if q.Operation == replica.OpReport && q.Attempt.State == state.StateClaimed || q.Operation != replica.OpReport && q.Attempt.State != state.StateClaimed {
		return nil, errValue
	}
	q.Terms, err = sits(p.Sits)
	return q, err
}

func claimed(p *Claimed) (a *replica.ClaimReply, err error) {
	if p.Verb > uint32(replica.OpReport) || p.Verdict > uint32(replica.ReplyMisrouted) || p.Claim == nil {
		return nil, errValue
	}
	a = &replica.ClaimReply{ClaimID: state.ClaimID{UnixMilli: p.Claim.At, Incarnation: p.Claim.Who, Sequence: p.Claim.N}, Operation: replica.Operation(p.Verb), Status: replica.ReplyStatus(p.Verdict)}
	if a.Key, err = key(p.Key); err != nil {
		return nil, err
	}
	if a.Terms, err = sits(p.Sits); err != nil {
		return nil, err
	}
	a.Attempts, err = tries(p.Tries)
	return a, err
}

// slice reads one whole: a record that changed on its way makes all of it unheard, as what is missing would be taken for unknown.
func slice(p *Slice) (*replica.PullReply, error) {
	s := &replica.PullReply{ConfigDigest: p.Plan, Sequence: p.Number, Term: sit(p.Sit), RequesterTerm: sit(p.Yours)}
	n := 0
	if len(p.Parts) > maxParts {
		return nil, errSize
	}
	for _, part := range p.Parts {
		if n += len(part.Records); part.Slot >= state.SlotCount || n > maxCopies {
			return nil, errSize
		}
		to := replica.SlotRecords{Slot: int(part.Slot), CaughtUp: part.Warm, Complete: part.All}
		for _, r := range part.Records {
			k, err := key(r.Key)
			if err != nil {
				return nil, err
			}
			if r.Check != check(r) {
				return nil, fmt.Errorf("record %x is not as its holder had it: %w", k[:4], errValue)
			}
			list, err := tries(r.Tries)
			if err != nil {
				return nil, err
			}
			if err := count(r.Left); err != nil {
				return nil, err
			}
			to.Copies = append(to.Copies, replica.RecordCopy{Record: &state.Record{Key: k, Attempts: list}, TimeToLive: r.Left})
		}
		s.Slots = append(s.Slots, to)
	}
	return s, nil
}

func putStanding(s *replica.Status) *CopiesState {
	if s == nil {
		return nil
	}
	return &CopiesState{Cold: uint32(s.CatchingUp), Differ: uint32(s.OutOfSync), Learned: uint64(s.CaughtUpByPeers), Aged: uint64(s.CaughtUpByTimeout), Mended: uint64(s.RepairedRecords),
		Alarms: uint64(s.ConflictingResults), Records: uint64(s.Records), Bytes: uint64(s.Bytes), Dropped: uint64(s.DroppedResults), Flipped: uint64(s.CorruptedRecords),
		Claims: uint64(s.ActiveClaims), Promised: uint64(s.ReplicatedResults), Unpromised: uint64(s.UnreplicatedResults), Holder: s.IsReplica, Plan: s.ConfigDigest}
}

func standing(p *CopiesState) *replica.Status {
	return &replica.Status{CatchingUp: int(p.Cold), OutOfSync: int(p.Differ), CaughtUpByPeers: int(p.Learned), CaughtUpByTimeout: int(p.Aged), RepairedRecords: int(p.Mended), ConflictingResults: int(p.Alarms),
		Records: int(p.Records), Bytes: int(p.Bytes), DroppedResults: int(p.Dropped), CorruptedRecords: int(p.Flipped), ActiveClaims: int(p.Claims), ReplicatedResults: int(p.Promised),
		UnreplicatedResults: int(p.Unpromised), IsReplica: p.Holder, ConfigDigest: p.Plan}
}

// wishing reads a server's question about budgets. What it says of them the granter bounds; here only what is no number is refused.
func wishing(p *Wishing) (*budget.Request, error) {
	if len(p.Wishes) > budget.MaxEntries {
		return nil, errSize
	}
	q := &budget.Request{Number: p.Number, ConfigHash: p.Terms, GrantorID: p.Granter}
	for _, w := range p.Wishes {
		if err := errors.Join(short(w.Name), count(w.Demand), count(w.Open), count(w.Part), count(w.Left)); err != nil {
			return nil, err
		}
		q.Demands = append(q.Demands, budget.Demand{Name: w.Name, Requested: w.Demand, InUse: w.Open, LeasedShare: w.Part, RemainingSeconds: w.Left, GrantNumber: w.Answer})
	}
	return q, nil
}

func healths(p *Healths) ([]health.Report, error) {
	if len(p.Words) > health.MaxReports {
		return nil, errSize
	}
	list := []health.Report{}
	for _, w := range p.Words {
		if err := errors.Join(short(w.Name, w.Zone), count(w.Age), count(w.Took)); err != nil {
			return nil, err
		}
		list = append(list, health.Report{Server: w.Name, Zone: w.Zone, Incarnation: w.Life, Sequence: w.Number, AgeSeconds: w.Age,
			Tally: health.Tally{Succeeded: int(w.Well), Failed: int(w.Lost), SuccessSeconds: w.Took}})
	}
	return list, nil
}

func granting(p *Granting) (*budget.Reply, error) {
	if len(p.Grants) > budget.MaxEntries {
		return nil, errSize
	}
	a := &budget.Reply{Incarnation: p.Life, Number: p.Number, GrantorID: p.Granter}
	for _, g := range p.Grants {
		if err := errors.Join(short(g.Name), count(g.Part)); err != nil {
			return nil, err
		}
		a.Grants = append(a.Grants, budget.Grant{Name: g.Name, LeasedShare: g.Part})
	}
	return a, nil
}
