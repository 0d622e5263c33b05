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
	maxParts  = state.Slots
	maxCopies = 4096 // records in a slice
)

func putSit(s replica.Sitting) *Sitting { return &Sitting{N: s.N, Life: s.Life} }

func sit(p *Sitting) replica.Sitting { return replica.Sitting{N: p.GetN(), Life: p.GetLife()} }

func putSits(list []replica.Sitting) (to []*Sitting) {
	for _, s := range list {
		to = append(to, putSit(s))
	}
	return to
}

func sits(p []*Sitting) (list []replica.Sitting, err error) {
	if len(p) > replica.MaxCopies {
		return nil, errSize
	}
	for _, s := range p {
		list = append(list, sit(s))
	}
	return list, nil
}

func putTry(t *state.Try) *Try {
	return &Try{At: t.At, Who: t.Who, N: t.N, State: uint32(t.State), Sum: t.Sum, Result: t.Result}
}

func putTries(list []state.Try) (to []*Try) {
	for i := range list {
		to = append(to, putTry(&list[i]))
	}
	return to
}

// try reads a try. A result that is not the one that was entered does not come in.
func try(p *Try) (t state.Try, err error) {
	if p == nil {
		return t, errEmpty
	}
	t = state.Try{Claim: state.Claim{At: p.At, Who: p.Who, N: p.N}, State: state.State(min(p.State, 255)), Sum: p.Sum, Result: p.Result}
	switch {
	case len(p.Result) > maxResult:
		err = errSize
	case t.State > state.Finished, t.State != state.Finished && (t.Result != nil || t.Sum != 0):
		err = errValue
	case !t.Whole():
		err = fmt.Errorf("a result that is not the one that was entered: %w", errValue)
	}
	return t, err
}

// tries reads those of a record, which stand in the order of claims.
func tries(p []*Try) (list []state.Try, err error) {
	if len(p) > maxTries {
		return nil, errSize
	}
	for i, one := range p {
		t, err := try(one)
		if err != nil {
			return nil, err
		}
		if i > 0 && list[i-1].Compare(t.Claim) >= 0 {
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
	if len(p) > state.Slots {
		return nil, errSize
	}
	for _, n := range p {
		if n >= state.Slots {
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
		p.Body = &Packet_Claiming{&Claiming{Plan: q.Plan, Verb: uint32(q.Verb), Key: q.Key[:], Try: putTry(&q.Try), Sits: putSits(q.Sits)}}
	case m.Claimed != nil:
		a := m.Claimed
		p.Body = &Packet_Claimed{&Claimed{Key: a.Key[:], Claim: putTry(&state.Try{Claim: a.Claim}), Verb: uint32(a.Verb), Verdict: uint32(a.Verdict),
			Sits: putSits(a.Sits), Tries: putTries(a.Tries)}}
	case m.Pull != nil:
		q := m.Pull
		to := &Pulling{Plan: q.Plan, Number: q.Number, Sit: putSit(q.Sit), Slots: putSlots(q.Slots)}
		if q.Begun {
			to.After = q.After[:]
		}
		p.Body = &Packet_Pulling{to}
	case m.Slice != nil:
		s := m.Slice
		to := &Slice{Plan: s.Plan, Number: s.Number, Sit: putSit(s.Sit), Yours: putSit(s.Yours)}
		for _, part := range s.Parts {
			one := &SlotPart{Slot: uint32(part.Slot), Warm: part.Warm, All: part.All}
			for _, c := range part.Copies {
				r := &Record{Key: c.Record.Key[:], Left: c.Left, Tries: putTries(c.Record.Tries)}
				r.Check = check(r)
				one.Records = append(one.Records, r)
			}
			to.Parts = append(to.Parts, one)
		}
		p.Body = &Packet_Slice{to}
	case m.Sums != nil:
		p.Body = &Packet_Sums{&Sums{Plan: m.Sums.Plan, Sit: putSit(m.Sums.Sit), Slots: putSlots(m.Sums.Slots), Sums: m.Sums.Sums}}
	case m.AskCallers:
		p.Body = &Packet_AskCallers{&AskCallers{}}
	case m.Vouchers != nil:
		to := &Vouchers{}
		for i := range m.Vouchers {
			v := &m.Vouchers[i]
			one := &Voucher{Name: v.Name, Life: v.Life, Number: v.Number}
			for _, e := range v.Earned {
				addr := e.Addr.As16()
				one.Callers = append(one.Callers, &Caller{Addr: addr[:], Credit: float32(e.Credit)})
			}
			to.Vouchers = append(to.Vouchers, one)
		}
		p.Body = &Packet_Vouchers{to}
	case m.Wishes != nil:
		q := &Wishing{Number: m.Wishes.Number, Terms: m.Wishes.Terms, Granter: m.Wishes.Granter}
		for _, w := range m.Wishes.Wishes {
			q.Wishes = append(q.Wishes, &Wish{Name: w.Name, Demand: w.Demand, Open: w.Open, Part: w.Part, Left: w.Left, Answer: w.Answer})
		}
		p.Body = &Packet_Wishing{q}
	case m.Grants != nil:
		a := &Granting{Life: m.Grants.Life, Number: m.Grants.Number, Granter: m.Grants.Granter}
		for _, g := range m.Grants.Grants {
			a.Grants = append(a.Grants, &Grant{Name: g.Name, Part: g.Part})
		}
		p.Body = &Packet_Granting{a}
	case m.Health != nil:
		h := &Healths{}
		for _, w := range m.Health {
			h.Words = append(h.Words, &Health{Name: w.Name, Zone: w.Zone, Life: w.Life, Number: w.Number, Age: w.Age, Well: uint32(w.Tally.Well),
				Lost: uint32(w.Tally.Lost), Took: w.Tally.Took})
		}
		p.Body = &Packet_Healths{h}
	default:
		return putRows(p, m)
	}
	return nil
}

// vouchers reads servers' words on callers.
func vouchers(p *Vouchers) (list []replica.Voucher, err error) {
	if len(p.Vouchers) > maxShortList {
		return nil, errSize
	}
	list = []replica.Voucher{}
	for _, v := range p.Vouchers {
		if len(v.Callers) > replica.MaxEarned {
			return nil, errSize
		}
		one := replica.Voucher{Name: v.Name, Life: v.Life, Number: v.Number}
		for _, c := range v.Callers {
			if len(c.Addr) != 16 {
				return nil, errSize
			}
			if err := count(float64(c.Credit)); err != nil {
				return nil, err
			}
			one.Earned = append(one.Earned, door.Earned{Addr: netip.AddrFrom16([16]byte(c.Addr)).Unmap(), Credit: float64(c.Credit)})
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
		q := &replica.Pull{Plan: body.Pulling.Plan, Number: body.Pulling.Number, Sit: sit(body.Pulling.Sit)}
		if q.Slots, err = slotNumbers(body.Pulling.Slots); err == nil && body.Pulling.After != nil {
			q.After, err = key(body.Pulling.After)
			q.Begun = true
		}
		m.Pull = q
	case *Packet_Slice:
		m.Slice, err = slice(body.Slice)
	case *Packet_Sums:
		s := &replica.Sums{Plan: body.Sums.Plan, Sit: sit(body.Sums.Sit), Sums: body.Sums.Sums}
		if s.Slots, err = slotNumbers(body.Sums.Slots); err == nil && len(s.Sums) != max(1, len(s.Slots)) {
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
			m.Wishes.Life = p.Life
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

func claiming(p *Claiming) (q *replica.Ask, err error) {
	if p.Verb > uint32(replica.Say) {
		return nil, errValue
	}
	q = &replica.Ask{Plan: p.Plan, Verb: replica.Verb(p.Verb)}
	if q.Key, err = key(p.Key); err != nil {
		return nil, err
	}
	if q.Try, err = try(p.Try); err != nil {
		return nil, err
	}
	if q.Verb == replica.Say && q.Try.State == state.Claimed || q.Verb != replica.Say && q.Try.State != state.Claimed {
		return nil, errValue
	}
	q.Sits, err = sits(p.Sits)
	return q, err
}

func claimed(p *Claimed) (a *replica.Answer, err error) {
	if p.Verb > uint32(replica.Say) || p.Verdict > uint32(replica.Other) || p.Claim == nil {
		return nil, errValue
	}
	a = &replica.Answer{Claim: state.Claim{At: p.Claim.At, Who: p.Claim.Who, N: p.Claim.N}, Verb: replica.Verb(p.Verb), Verdict: replica.Verdict(p.Verdict)}
	if a.Key, err = key(p.Key); err != nil {
		return nil, err
	}
	if a.Sits, err = sits(p.Sits); err != nil {
		return nil, err
	}
	a.Tries, err = tries(p.Tries)
	return a, err
}

// slice reads one whole: a record that changed on its way makes all of it unheard, as what is missing would be taken for unknown.
func slice(p *Slice) (*replica.Slice, error) {
	s := &replica.Slice{Plan: p.Plan, Number: p.Number, Sit: sit(p.Sit), Yours: sit(p.Yours)}
	n := 0
	if len(p.Parts) > maxParts {
		return nil, errSize
	}
	for _, part := range p.Parts {
		if n += len(part.Records); part.Slot >= state.Slots || n > maxCopies {
			return nil, errSize
		}
		to := replica.Part{Slot: int(part.Slot), Warm: part.Warm, All: part.All}
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
			to.Copies = append(to.Copies, replica.Copy{Record: &state.Record{Key: k, Tries: list}, Left: r.Left})
		}
		s.Parts = append(s.Parts, to)
	}
	return s, nil
}

func putStanding(s *replica.Standing) *CopiesState {
	if s == nil {
		return nil
	}
	return &CopiesState{Cold: uint32(s.Cold), Differ: uint32(s.Differ), Learned: uint64(s.Learned), Aged: uint64(s.Aged), Mended: uint64(s.Mended),
		Alarms: uint64(s.Alarms), Records: uint64(s.Records), Bytes: uint64(s.Bytes), Dropped: uint64(s.Dropped), Flipped: uint64(s.Flipped),
		Claims: uint64(s.Claims), Promised: uint64(s.Promised), Unpromised: uint64(s.Unpromised), Holder: s.Holder, Plan: s.Plan}
}

func standing(p *CopiesState) *replica.Standing {
	return &replica.Standing{Cold: int(p.Cold), Differ: int(p.Differ), Learned: int(p.Learned), Aged: int(p.Aged), Mended: int(p.Mended), Alarms: int(p.Alarms),
		Records: int(p.Records), Bytes: int(p.Bytes), Dropped: int(p.Dropped), Flipped: int(p.Flipped), Claims: int(p.Claims), Promised: int(p.Promised),
		Unpromised: int(p.Unpromised), Holder: p.Holder, Plan: p.Plan}
}

// wishing reads a server's question about budgets. What it says of them the granter bounds; here only what is no number is refused.
func wishing(p *Wishing) (*budget.Question, error) {
	if len(p.Wishes) > budget.MaxEntries {
		return nil, errSize
	}
	q := &budget.Question{Number: p.Number, Terms: p.Terms, Granter: p.Granter}
	for _, w := range p.Wishes {
		if err := errors.Join(short(w.Name), count(w.Demand), count(w.Open), count(w.Part), count(w.Left)); err != nil {
			return nil, err
		}
		q.Wishes = append(q.Wishes, budget.Wish{Name: w.Name, Demand: w.Demand, Open: w.Open, Part: w.Part, Left: w.Left, Answer: w.Answer})
	}
	return q, nil
}

func healths(p *Healths) ([]health.Word, error) {
	if len(p.Words) > health.MaxWords {
		return nil, errSize
	}
	list := []health.Word{}
	for _, w := range p.Words {
		if err := errors.Join(short(w.Name, w.Zone), count(w.Age), count(w.Took)); err != nil {
			return nil, err
		}
		list = append(list, health.Word{Name: w.Name, Zone: w.Zone, Life: w.Life, Number: w.Number, Age: w.Age,
			Tally: health.Tally{Well: int(w.Well), Lost: int(w.Lost), Took: w.Took}})
	}
	return list, nil
}

func granting(p *Granting) (*budget.Answer, error) {
	if len(p.Grants) > budget.MaxEntries {
		return nil, errSize
	}
	a := &budget.Answer{Life: p.Life, Number: p.Number, Granter: p.Granter}
	for _, g := range p.Grants {
		if err := errors.Join(short(g.Name), count(g.Part)); err != nil {
			return nil, err
		}
		a.Grants = append(a.Grants, budget.Grant{Name: g.Name, Part: g.Part})
	}
	return a, nil
}
