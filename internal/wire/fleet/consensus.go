package fleet

import (
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftcourse/internal/policy/consensus"
)

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

// decodeConsensus decodes a message between voters; one without any content is ErrUnknownBody.
func decodeConsensus(encoded *Voting) (*consensus.Message, error) {
	message := &consensus.Message{
		From:              encoded.From,
		To:                encoded.To,
		ClusterID:         encoded.Founding,
		RequestReleaseLog: encoded.Ask,
	}
	var err error
	if encoded.Beacon != nil {
		if message.Heartbeat, err = decodeHeartbeat(encoded.Beacon); err != nil {
			return nil, err
		}
	}
	if encoded.Found != nil {
		if message.Bootstrap, err = decodeBootstrap(encoded.Found); err != nil {
			return nil, err
		}
	}
	if encoded.Tell != nil {
		if message.ReleaseLog, err = decodeReleaseLog(encoded.Tell); err != nil {
			return nil, err
		}
	}
	if len(encoded.Raft) > 0 {
		if message.Raft, err = decodeRaft(encoded); err != nil {
			return nil, err
		}
	}
	empty := message.Heartbeat == nil && message.Bootstrap == nil && message.ReleaseLog == nil && message.Raft == nil
	if empty && !message.RequestReleaseLog {
		return nil, ErrUnknownBody
	}
	return message, nil
}

func encodeHeartbeat(heartbeat *consensus.Heartbeat) *Beacon {
	return &Beacon{
		Name:     heartbeat.Name,
		Life:     heartbeat.Incarnation,
		Founding: heartbeat.ClusterID,
		Known:    heartbeat.NewestClusterID,
		Count:    heartbeat.AppliedCount,
		Heard:    heartbeat.DetachedVoters,
		Seats:    heartbeat.Voters,
	}
}

func decodeHeartbeat(encoded *Beacon) (*consensus.Heartbeat, error) {
	if len(encoded.Heard) > maxListEntries || len(encoded.Seats) > maxListEntries || len(encoded.Name) > maxName {
		return nil, ErrTooLarge
	}
	return &consensus.Heartbeat{
		Name:            encoded.Name,
		Incarnation:     encoded.Life,
		ClusterID:       encoded.Founding,
		NewestClusterID: encoded.Known,
		AppliedCount:    encoded.Count,
		DetachedVoters:  encoded.Heard,
		Voters:          encoded.Seats,
	}, nil
}

func decodeBootstrap(encoded *Foundation) (*consensus.Bootstrap, error) {
	if len(encoded.Seats) > maxListEntries || encoded.Order == nil || encoded.Founding == 0 {
		return nil, ErrTooLarge
	}
	log, err := decodeReleaseLog(encoded.Order)
	if err != nil {
		return nil, err
	}
	return &consensus.Bootstrap{ClusterID: encoded.Founding, Voters: encoded.Seats, ReleaseLog: log}, nil
}

// decodeRaft decodes the Raft library's own message. Its sender and receiver must be those of the
// message around it.
func decodeRaft(encoded *Voting) (*raftpb.Message, error) {
	message := &raftpb.Message{}
	if err := proto.Unmarshal(encoded.Raft, message); err != nil {
		return nil, err
	}
	if message.Type == nil || message.GetFrom() != encoded.From || message.GetTo() != encoded.To {
		return nil, ErrOutOfRange
	}
	return message, nil
}
