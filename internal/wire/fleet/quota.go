package fleet

import (
	"errors"

	"swiftcourse/internal/policy/quota"
)

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
