package fleet

import (
	"errors"
	"math"

	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
)

func encodeLeaseRequest(m *Envelope) (isPacket_Body, error) {
	request := m.LeaseRequest
	return &Packet_LeaseRequest{&LeaseRequest{
		Name:              request.Name,
		Incarnation:       request.Incarnation,
		Number:            request.Number,
		Addr:              request.Addr,
		ActiveEpoch:       uint64(request.ActiveEpoch),
		BlockedBy:         truncate(request.BlockedBy),
		Completed:         request.ErrorTally.Completed,
		Failed:            request.ErrorTally.Failed,
		Build:             request.Build,
		MayGoOutOfService: request.MayGoOutOfService,
		Nonce:             request.Nonce,
	}}, nil
}

func decodeLeaseRequest(encoded *LeaseRequest) (*lease.Request, error) {
	request := &lease.Request{
		Name:              encoded.Name,
		Incarnation:       encoded.Incarnation,
		Number:            encoded.Number,
		Addr:              encoded.Addr,
		ActiveEpoch:       release.Epoch(encoded.ActiveEpoch),
		BlockedBy:         encoded.BlockedBy,
		ErrorTally:        release.ErrorTally{Completed: encoded.Completed, Failed: encoded.Failed},
		Build:             encoded.Build,
		MayGoOutOfService: encoded.MayGoOutOfService,
		Nonce:             encoded.Nonce,
	}
	return request, errors.Join(checkNames(encoded.Name, encoded.Addr, encoded.BlockedBy, encoded.Build),
		checkNonNegative(encoded.Completed), checkNonNegative(encoded.Failed),
		checkNotAbove(encoded.Failed, encoded.Completed))
}

func encodeLeaseReply(m *Envelope) (isPacket_Body, error) {
	reply := m.LeaseReply
	return &Packet_LeaseReply{&LeaseReply{
		Incarnation:       reply.Incarnation,
		Number:            reply.Number,
		Verdict:           uint32(reply.Verdict),
		Duration:          reply.LeaseSeconds,
		AssignedEpoch:     uint64(reply.AssignedEpoch),
		MayGoOutOfService: reply.MayGoOutOfService,
		Leader:            reply.Leader,
		Reason:            truncate(reply.Reason),
		Nonce:             reply.Nonce,
	}}, nil
}

func decodeLeaseReply(encoded *LeaseReply) (*lease.Reply, error) {
	reply := &lease.Reply{
		Incarnation:       encoded.Incarnation,
		Number:            encoded.Number,
		Verdict:           lease.Verdict(min(encoded.Verdict, math.MaxUint8)), // no wrap-around to a known verdict
		LeaseSeconds:      encoded.Duration,
		AssignedEpoch:     release.Epoch(encoded.AssignedEpoch),
		MayGoOutOfService: encoded.MayGoOutOfService,
		Leader:            encoded.Leader,
		Reason:            encoded.Reason,
		Nonce:             encoded.Nonce,
	}
	return reply, errors.Join(checkNames(encoded.Leader, encoded.Reason), checkNonNegative(encoded.Duration))
}
