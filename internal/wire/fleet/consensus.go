package fleet

import (
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftcourse/internal/policy/consensus"
)

// decodeControlBody decodes messages of consensus, leases and audits.
func decodeControlBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_Voting:
		m.Consensus, err = decodeConsensus(body.Voting)
	case *Packet_Question:
		m.LeaseRequest, err = decodeLeaseRequest(body.Question)
	case *Packet_Answer:
		m.LeaseReply, err = decodeLeaseReply(body.Answer)
	case *Packet_Brief:
		m.AccountSummary, err = decodeAccount(body.Brief)
	case *Packet_Accounts:
		m.StateRequest, err = decodeStateRequest(body.Accounts)
	case *Packet_Told:
		m.StateReply, err = decodeStateReply(body.Told)
	default:
		return false, nil
	}
	return true, err
}

func encodeConsensus(m *Envelope) (isPacket_Body, error) {
	message := m.Consensus
	encoded := &Voting{
		From:     message.From,
		To:       message.To,
		Founding: message.ClusterID,
		Ask:      message.RequestReleaseLog,
		Tell:     encodeReleaseLog(message.ReleaseLog),
	}
	if h := message.Heartbeat; h != nil {
		encoded.Beacon = encodeHeartbeat(h)
	}
	if b := message.Bootstrap; b != nil {
		encoded.Found = &Foundation{
			Founding: b.ClusterID,
			Seats:    b.Voters,
			Order:    encodeReleaseLog(b.ReleaseLog),
		}
	}
	if message.Raft != nil {
		var err error
		if encoded.Raft, err = proto.Marshal(message.Raft); err != nil {
			return nil, err
		}
	}
	return &Packet_Voting{encoded}, nil
}

// decodeConsensus decodes a message between voters.
func decodeConsensus(p *Voting) (*consensus.Message, error) {
	m := &consensus.Message{From: p.From, To: p.To, ClusterID: p.Founding, RequestReleaseLog: p.Ask}
	var err error
	if p.Beacon != nil {
		if m.Heartbeat, err = decodeHeartbeat(p.Beacon); err != nil {
			return nil, err
		}
	}
	if p.Found != nil {
		if m.Bootstrap, err = decodeBootstrap(p.Found); err != nil {
			return nil, err
		}
	}
	if p.Tell != nil {
		if m.ReleaseLog, err = decodeReleaseLog(p.Tell); err != nil {
			return nil, err
		}
	}
	if len(p.Raft) > 0 {
		if m.Raft, err = decodeRaft(p); err != nil {
			return nil, err
		}
	}
	empty := m.Heartbeat == nil && m.Bootstrap == nil && m.ReleaseLog == nil && m.Raft == nil
	if empty && !m.RequestReleaseLog {
		return nil, ErrUnknownBody
	}
	return m, nil
}

func encodeHeartbeat(h *consensus.Heartbeat) *Beacon {
	return &Beacon{
		Name:     h.Name,
		Life:     h.Incarnation,
		Founding: h.ClusterID,
		Known:    h.NewestClusterID,
		Count:    h.AppliedCount,
		Heard:    h.DetachedVoters,
		Seats:    h.Voters,
	}
}

func decodeHeartbeat(p *Beacon) (*consensus.Heartbeat, error) {
	if len(p.Heard) > maxListEntries || len(p.Seats) > maxListEntries || len(p.Name) > maxName {
		return nil, ErrTooLarge
	}
	return &consensus.Heartbeat{
		Name:            p.Name,
		Incarnation:     p.Life,
		ClusterID:       p.Founding,
		NewestClusterID: p.Known,
		AppliedCount:    p.Count,
		DetachedVoters:  p.Heard,
		Voters:          p.Seats,
	}, nil
}

func decodeBootstrap(p *Foundation) (*consensus.Bootstrap, error) {
	if len(p.Seats) > maxListEntries || p.Order == nil || p.Founding == 0 {
		return nil, ErrTooLarge
	}
	log, err := decodeReleaseLog(p.Order)
	if err != nil {
		return nil, err
	}
	return &consensus.Bootstrap{ClusterID: p.Founding, Voters: p.Seats, ReleaseLog: log}, nil
}

// decodeRaft decodes the consensus library's own message, which goes between the same two voters.
func decodeRaft(p *Voting) (*raftpb.Message, error) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(p.Raft, m); err != nil {
		return nil, err
	}
	if m.Type == nil || m.GetFrom() != p.From || m.GetTo() != p.To {
		return nil, ErrOutOfRange
	}
	return m, nil
}
