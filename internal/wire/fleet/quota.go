package fleet

import (
	"errors"

	"swiftcourse/internal/policy/quota"
)

func encodeQuotaRequest(m *Envelope) (isPacket_Body, error) {
	request := m.QuotaRequest
	encoded := &Wishing{Number: request.Number, Terms: request.ConfigHash, Granter: request.GrantorID}
	for _, demand := range request.Demands {
		encoded.Wishes = append(encoded.Wishes, &Wish{
			Name:   demand.Name,
			Demand: demand.Requested,
			Open:   demand.InUse,
			Part:   demand.LeasedShare,
			Left:   demand.RemainingSeconds,
			Answer: demand.GrantNumber,
		})
	}
	return &Packet_Wishing{encoded}, nil
}

// decodeQuotaRequest decodes the request of a server's incarnation, which the packet names and the
// body doesn't. The grantor limits the demands; only numbers that can't be valid are rejected here.
func decodeQuotaRequest(encoded *Wishing, incarnation uint64) (*quota.Request, error) {
	if len(encoded.Wishes) > quota.MaxEntries {
		return nil, ErrTooLarge
	}
	request := &quota.Request{
		Incarnation: incarnation,
		Number:      encoded.Number,
		ConfigHash:  encoded.Terms,
		GrantorID:   encoded.Granter,
	}
	for _, demand := range encoded.Wishes {
		err := errors.Join(checkNames(demand.Name),
			checkNonNegative(demand.Demand), checkNonNegative(demand.Open),
			checkNonNegative(demand.Part), checkNonNegative(demand.Left))
		if err != nil {
			return nil, err
		}
		request.Demands = append(request.Demands, quota.Demand{
			Name:             demand.Name,
			Requested:        demand.Demand,
			InUse:            demand.Open,
			LeasedShare:      demand.Part,
			RemainingSeconds: demand.Left,
			GrantNumber:      demand.Answer,
		})
	}
	return request, nil
}

func encodeQuotaReply(m *Envelope) (isPacket_Body, error) {
	reply := m.QuotaReply
	encoded := &Granting{Life: reply.Incarnation, Number: reply.Number, Granter: reply.GrantorID}
	for _, grant := range reply.Grants {
		encoded.Grants = append(encoded.Grants, &Grant{Name: grant.Name, Part: grant.LeasedShare})
	}
	return &Packet_Granting{encoded}, nil
}

func decodeQuotaReply(encoded *Granting) (*quota.Reply, error) {
	if len(encoded.Grants) > quota.MaxEntries {
		return nil, ErrTooLarge
	}
	reply := &quota.Reply{Incarnation: encoded.Life, Number: encoded.Number, GrantorID: encoded.Granter}
	for _, grant := range encoded.Grants {
		if err := errors.Join(checkNames(grant.Name), checkNonNegative(grant.Part)); err != nil {
			return nil, err
		}
		reply.Grants = append(reply.Grants, quota.Grant{Name: grant.Name, LeasedShare: grant.Part})
	}
	return reply, nil
}
