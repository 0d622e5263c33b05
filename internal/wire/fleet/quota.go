package fleet

import (
	"errors"
	"fmt"

	"swiftcourse/internal/policy/quota"
)

func encodeQuotaRequest(m *Envelope) (isPacket_Body, error) {
	request := m.QuotaRequest
	encoded := &QuotaRequest{Number: request.Number, ConfigHash: request.ConfigHash, GrantorId: request.GrantorID}
	for _, demand := range request.Demands {
		encoded.Demands = append(encoded.Demands, &QuotaDemand{
			Name:             demand.Name,
			Requested:        demand.Requested,
			InUse:            demand.InUse,
			LeasedShare:      demand.LeasedShare,
			RemainingSeconds: demand.RemainingSeconds,
			GrantNumber:      demand.GrantNumber,
		})
	}
	return &Packet_QuotaRequest{encoded}, nil
}

// decodeQuotaRequest decodes a request of a server. The server's incarnation is passed separately
// because only the packet, not the body, holds it. Invalid numbers are rejected here; limiting the
// demands is up to the grantor.
func decodeQuotaRequest(encoded *QuotaRequest, incarnation uint64) (*quota.Request, error) {
	if len(encoded.Demands) > quota.MaxEntries {
		return nil, fmt.Errorf("%w: %d quota demands, limit %d", ErrInvalidSize, len(encoded.Demands), quota.MaxEntries)
	}
	request := &quota.Request{
		Incarnation: incarnation,
		Number:      encoded.Number,
		ConfigHash:  encoded.ConfigHash,
		GrantorID:   encoded.GrantorId,
	}
	for _, demand := range encoded.Demands {
		err := errors.Join(checkNames(demand.Name),
			checkNonNegative(demand.Requested), checkNonNegative(demand.InUse),
			checkNonNegative(demand.LeasedShare), checkNonNegative(demand.RemainingSeconds))
		if err != nil {
			return nil, err
		}
		request.Demands = append(request.Demands, quota.Demand{
			Name:             demand.Name,
			Requested:        demand.Requested,
			InUse:            demand.InUse,
			LeasedShare:      demand.LeasedShare,
			RemainingSeconds: demand.RemainingSeconds,
			GrantNumber:      demand.GrantNumber,
		})
	}
	return request, nil
}

func encodeQuotaReply(m *Envelope) (isPacket_Body, error) {
	reply := m.QuotaReply
	encoded := &QuotaReply{Incarnation: reply.Incarnation, Number: reply.Number, GrantorId: reply.GrantorID}
	for _, grant := range reply.Grants {
		encoded.Grants = append(encoded.Grants, &QuotaGrant{Name: grant.Name, LeasedShare: grant.LeasedShare})
	}
	return &Packet_QuotaReply{encoded}, nil
}

func decodeQuotaReply(encoded *QuotaReply) (*quota.Reply, error) {
	if len(encoded.Grants) > quota.MaxEntries {
		return nil, fmt.Errorf("%w: %d quota grants, limit %d", ErrInvalidSize, len(encoded.Grants), quota.MaxEntries)
	}
	reply := &quota.Reply{Incarnation: encoded.Incarnation, Number: encoded.Number, GrantorID: encoded.GrantorId}
	for _, grant := range encoded.Grants {
		if err := errors.Join(checkNames(grant.Name), checkNonNegative(grant.LeasedShare)); err != nil {
			return nil, err
		}
		reply.Grants = append(reply.Grants, quota.Grant{Name: grant.Name, LeasedShare: grant.LeasedShare})
	}
	return reply, nil
}
