package fleet

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftcourse/internal/policy/consensus"
)

func encodeConsensus(m *Envelope) (isPacket_Body, error) {
	message := m.Consensus
	encoded := &ConsensusMessage{
		From:              message.From,
		To:                message.To,
		ClusterId:         message.ClusterID,
		RequestReleaseLog: message.RequestReleaseLog,
		ReleaseLog:        encodeReleaseLog(message.ReleaseLog),
	}
	if h := message.Heartbeat; h != nil {
		encoded.Heartbeat = encodeHeartbeat(h)
	}
	if b := message.Bootstrap; b != nil {
		encoded.Bootstrap = &Bootstrap{
			ClusterId:  b.ClusterID,
			Voters:     b.Voters,
			ReleaseLog: encodeReleaseLog(b.ReleaseLog),
		}
	}
	if message.Raft != nil {
		var err error
		if encoded.Raft, err = proto.Marshal(message.Raft); err != nil {
			return nil, err
		}
	}
	return &Packet_Consensus{encoded}, nil
}

// decodeConsensus decodes a message between voters. For a message without any content it returns
// ErrUnknownBody.
func decodeConsensus(encoded *ConsensusMessage) (*consensus.Message, error) {
	message := &consensus.Message{
		From:              encoded.From,
		To:                encoded.To,
		ClusterID:         encoded.ClusterId,
		RequestReleaseLog: encoded.RequestReleaseLog,
	}
	var err error
	if encoded.Heartbeat != nil {
		if message.Heartbeat, err = decodeHeartbeat(encoded.Heartbeat); err != nil {
			return nil, err
		}
	}
	if encoded.Bootstrap != nil {
		if message.Bootstrap, err = decodeBootstrap(encoded.Bootstrap); err != nil {
			return nil, err
		}
	}
	if encoded.ReleaseLog != nil {
		if message.ReleaseLog, err = decodeReleaseLog(encoded.ReleaseLog); err != nil {
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
		return nil, fmt.Errorf("%w: consensus message without content", ErrUnknownBody)
	}
	return message, nil
}

func encodeHeartbeat(heartbeat *consensus.Heartbeat) *Heartbeat {
	return &Heartbeat{
		Name:            heartbeat.Name,
		Incarnation:     heartbeat.Incarnation,
		ClusterId:       heartbeat.ClusterID,
		NewestClusterId: heartbeat.NewestClusterID,
		AppliedCount:    heartbeat.AppliedCount,
		DetachedVoters:  heartbeat.DetachedVoters,
		Voters:          heartbeat.Voters,
	}
}

func decodeHeartbeat(encoded *Heartbeat) (*consensus.Heartbeat, error) {
	if len(encoded.DetachedVoters) > maxShortListEntries || len(encoded.Voters) > maxShortListEntries ||
		len(encoded.Name) > maxName {
		return nil, fmt.Errorf("%w: heartbeat with %d detached voters and %d voters, limit %d each, "+
			"and a name of %d bytes, limit %d", ErrInvalidSize,
			len(encoded.DetachedVoters), len(encoded.Voters), maxShortListEntries, len(encoded.Name), maxName)
	}
	return &consensus.Heartbeat{
		Name:            encoded.Name,
		Incarnation:     encoded.Incarnation,
		ClusterID:       encoded.ClusterId,
		NewestClusterID: encoded.NewestClusterId,
		AppliedCount:    encoded.AppliedCount,
		DetachedVoters:  encoded.DetachedVoters,
		Voters:          encoded.Voters,
	}, nil
}

func decodeBootstrap(encoded *Bootstrap) (*consensus.Bootstrap, error) {
	if len(encoded.Voters) > maxShortListEntries || encoded.ReleaseLog == nil || encoded.ClusterId == 0 {
		return nil, fmt.Errorf("%w: bootstrap of cluster %d (0 is invalid) with %d voters, limit %d; release log: %t",
			ErrInvalidSize, encoded.ClusterId, len(encoded.Voters), maxShortListEntries, encoded.ReleaseLog != nil)
	}
	log, err := decodeReleaseLog(encoded.ReleaseLog)
	if err != nil {
		return nil, err
	}
	return &consensus.Bootstrap{ClusterID: encoded.ClusterId, Voters: encoded.Voters, ReleaseLog: log}, nil
}

// decodeRaft decodes the message of the Raft library. Its sender and receiver must be the same as
// those of the consensus message that contains it.
func decodeRaft(encoded *ConsensusMessage) (*raftpb.Message, error) {
	message := &raftpb.Message{}
	if err := proto.Unmarshal(encoded.Raft, message); err != nil {
		return nil, fmt.Errorf("invalid encoding of the Raft message: %w", err)
	}
	if message.Type == nil || message.GetFrom() != encoded.From || message.GetTo() != encoded.To {
		return nil, fmt.Errorf("%w: Raft message from %d to %d, type present: %t, in a message from %d to %d",
			ErrOutOfRange, message.GetFrom(), message.GetTo(), message.Type != nil, encoded.From, encoded.To)
	}
	return message, nil
}
