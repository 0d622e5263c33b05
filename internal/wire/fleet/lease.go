package fleet

import (
	"errors"
	"math"

	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
)

func encodeLeaseRequest(m *Envelope) (isPacket_Body, error) {
	request := m.LeaseRequest
	return &Packet_Question{&Question{
		Name:     request.Name,
		Life:     request.Incarnation,
		Number:   request.Number,
		Addr:     request.Addr,
		Epoch:    uint64(request.ActiveEpoch),
		Stuck:    truncate(request.BlockedBy),
		Ended:    request.ErrorTally.Completed,
		Harmed:   request.ErrorTally.Failed,
		Build:    request.Build,
		MayLeave: request.MayGoOutOfService,
		Proof:    request.Nonce,
	}}, nil
}

func decodeLeaseRequest(encoded *Question) (*lease.Request, error) {
	request := &lease.Request{
		Name:              encoded.Name,
		Incarnation:       encoded.Life,
		Number:            encoded.Number,
		Addr:              encoded.Addr,
		ActiveEpoch:       release.Epoch(encoded.Epoch),
		BlockedBy:         encoded.Stuck,
		ErrorTally:        release.ErrorTally{Completed: encoded.Ended, Failed: encoded.Harmed},
		Build:             encoded.Build,
		MayGoOutOfService: encoded.MayLeave,
		Nonce:             encoded.Proof,
	}
	return request, errors.Join(checkNames(encoded.Name, encoded.Addr, encoded.Stuck, encoded.Build),
		checkNonNegative(encoded.Ended), checkNonNegative(encoded.Harmed), checkNotAbove(encoded.Harmed, encoded.Ended))
}

func encodeLeaseReply(m *Envelope) (isPacket_Body, error) {
	reply := m.LeaseReply
	return &Packet_Answer{&Answer{
		Life:     reply.Incarnation,
		Number:   reply.Number,
		Verdict:  uint32(reply.Verdict),
		For:      reply.Duration,
		Right:    uint64(reply.AssignedEpoch),
		MayLeave: reply.MayGoOutOfService,
		Leader:   reply.Leader,
		Why:      truncate(reply.Reason),
		Proof:    reply.Nonce,
	}}, nil
}

func decodeLeaseReply(encoded *Answer) (*lease.Reply, error) {
	reply := &lease.Reply{
		Incarnation:       encoded.Life,
		Number:            encoded.Number,
		Verdict:           lease.Verdict(min(encoded.Verdict, math.MaxUint8)),
		Duration:          encoded.For,
		AssignedEpoch:     release.Epoch(encoded.Right),
		MayGoOutOfService: encoded.MayLeave,
		Leader:            encoded.Leader,
		Reason:            encoded.Why,
		Nonce:             encoded.Proof,
	}
	return reply, errors.Join(checkNames(encoded.Leader, encoded.Why), checkNonNegative(encoded.For))
}
