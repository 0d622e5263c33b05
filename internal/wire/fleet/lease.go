package fleet

import (
	"errors"
	"math"

	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
)

func encodeLeaseRequest(m *Envelope) (isPacket_Body, error) {
	r := m.LeaseRequest
	return &Packet_Question{&Question{
		Name:     r.Name,
		Life:     r.Incarnation,
		Number:   r.Number,
		Addr:     r.Addr,
		Epoch:    uint64(r.ActiveEpoch),
		Stuck:    truncate(r.BlockedBy),
		Ended:    r.ErrorTally.Completed,
		Harmed:   r.ErrorTally.Failed,
		Build:    r.Build,
		MayLeave: r.MayGoOutOfService,
		Proof:    r.Nonce,
	}}, nil
}

func decodeLeaseRequest(p *Question) (*lease.Request, error) {
	r := &lease.Request{
		Name:              p.Name,
		Incarnation:       p.Life,
		Number:            p.Number,
		Addr:              p.Addr,
		ActiveEpoch:       release.Epoch(p.Epoch),
		BlockedBy:         p.Stuck,
		ErrorTally:        release.ErrorTally{Completed: p.Ended, Failed: p.Harmed},
		Build:             p.Build,
		MayGoOutOfService: p.MayLeave,
		Nonce:             p.Proof,
	}
	return r, errors.Join(checkNames(p.Name, p.Addr, p.Stuck, p.Build),
		checkCount(p.Ended), checkCount(p.Harmed), checkNotAbove(p.Harmed, p.Ended))
}

func encodeLeaseReply(m *Envelope) (isPacket_Body, error) {
	r := m.LeaseReply
	return &Packet_Answer{&Answer{
		Life:     r.Incarnation,
		Number:   r.Number,
		Verdict:  uint32(r.Verdict),
		For:      r.Duration,
		Right:    uint64(r.AssignedEpoch),
		MayLeave: r.MayGoOutOfService,
		Leader:   r.Leader,
		Why:      truncate(r.Reason),
		Proof:    r.Nonce,
	}}, nil
}

func decodeLeaseReply(p *Answer) (*lease.Reply, error) {
	r := &lease.Reply{
		Incarnation:       p.Life,
		Number:            p.Number,
		Verdict:           lease.Verdict(min(p.Verdict, math.MaxUint8)),
		Duration:          p.For,
		AssignedEpoch:     release.Epoch(p.Right),
		MayGoOutOfService: p.MayLeave,
		Leader:            p.Leader,
		Reason:            p.Why,
		Nonce:             p.Proof,
	}
	return r, errors.Join(checkNames(p.Leader, p.Why), checkCount(p.For))
}
