package consensus

import (
	"encoding/binary"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// group is the state of a voter that is in a group: its raft node and the known state of the
// leader.
type group struct {
	clusterID      uint32
	joinedAt       float64
	node           *raft.RawNode
	storage        *raft.MemoryStorage
	confState      *pb.ConfState
	compactedIndex uint64 // index of the last entry that a snapshot replaced

	leader             uint64  // incarnation of the leader, 0 if none is known
	electionTimerStart float64 // when a message from the leader last arrived, or this voter last campaigned
	electionTimeout    float64 // how long after electionTimerStart this voter campaigns

	confirmations map[uint64]float64 // time of each pending request for confirmation, by its number
	confirmedAt   float64            // time of the latest request that a majority confirmed
}

// joinGroup starts a raft node on the given storage as a member of a group. confState is nil if the
// voter has yet to receive it with a snapshot.
func (v *Voter) joinGroup(now float64, clusterID uint32, storage *raft.MemoryStorage, confState *pb.ConfState) {
	first, _ := storage.FirstIndex() // MemoryStorage never returns an error
	compactedIndex := first - 1
	node, err := raft.NewRawNode(&raft.Config{
		ID:                        v.incarnation,
		ElectionTick:              noRaftElectionTicks,
		HeartbeatTick:             raftHeartbeatTicks,
		Storage:                   storage,
		Applied:                   compactedIndex,
		MaxSizePerMsg:             maxRaftMessageBytes,
		MaxInflightMsgs:           maxRaftInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		PreVote:                   true,
		Logger:                    discardLogger{},
	})
	if err != nil {
		v.detach(now)
		return
	}
	v.group = &group{
		clusterID:      clusterID,
		joinedAt:       now,
		node:           node,
		storage:        storage,
		confState:      confState,
		compactedIndex: compactedIndex,
		confirmations:  map[uint64]float64{},
	}
	v.restartElectionTimer(now)
}

// restartElectionTimer restarts the election timer with a newly drawn timeout.
func (v *Voter) restartElectionTimer(now float64) {
	v.group.electionTimerStart = now
	v.group.electionTimeout = minElectionTimeoutSeconds + maxElectionJitterSeconds*v.random.drawFloat64()
}

// campaignIfDue starts an election if no message from a leader arrived within the election timeout.
func (v *Voter) campaignIfDue(now float64) {
	if v.isRaftLeader() || now <= v.group.electionTimerStart+v.group.electionTimeout {
		return
	}
	v.restartElectionTimer(now)
	// Campaign fails while a committed membership change is not applied yet; the next timeout
	// retries.
	_ = v.group.node.Campaign()
}

// confirmationContextBytes is the size of the number that identifies a confirmation in raft's read
// requests.
const confirmationContextBytes = 8

// requestConfirmation requests that a majority confirm that this voter still leads.
func (v *Voter) requestConfirmation(now float64) {
	number := v.random.nextNumber()
	v.group.confirmations[number] = now
	v.group.node.ReadIndex(binary.BigEndian.AppendUint64(nil, number))
}

// handleConfirmation records a majority's confirmation, which covers all earlier requests too.
func (g *group) handleConfirmation(readState raft.ReadState) {
	if len(readState.RequestCtx) != confirmationContextBytes {
		return
	}
	number := binary.BigEndian.Uint64(readState.RequestCtx)
	g.confirmedAt = max(g.confirmedAt, g.confirmations[number])
	maps.DeleteFunc(g.confirmations, func(other uint64, _ float64) bool { return other <= number })
}

// setLeader records the leader that the raft core reports. A change of leader invalidates all
// confirmations.
func (g *group) setLeader(leader uint64) {
	if leader != g.leader {
		g.confirmedAt = 0
		clear(g.confirmations)
	}
	g.leader = leader
}

// processReady handles the raft core's pending output in the order that the core requires: store,
// send, apply, advance.
func (v *Voter) processReady(now float64) {
	for v.group != nil && v.group.node.HasReady() {
		ready := v.group.node.Ready()
		if ready.SoftState != nil {
			v.group.setLeader(ready.Lead)
		}
		if ready.HardState != nil {
			_ = v.group.storage.SetHardState(ready.HardState) // MemoryStorage never returns an error
		}
		if !raft.IsEmptySnap(ready.Snapshot) && !v.installSnapshot(ready.Snapshot) {
			v.detach(now) // the leader sends another snapshot to the new incarnation
			return
		}
		_ = v.group.storage.Append(ready.Entries) // MemoryStorage never returns an error
		for _, message := range ready.Messages {
			v.sendRaft(message)
		}
		for _, entry := range ready.CommittedEntries {
			v.applyEntry(entry)
		}
		for _, readState := range ready.ReadStates {
			v.group.handleConfirmation(readState)
		}
		v.group.node.Advance(ready)
		v.compact(ready.CommittedEntries)
	}
}

// installSnapshot replaces the release log by the one in a snapshot, and reports whether the
// snapshot could be decoded and stored.
func (v *Voter) installSnapshot(snapshot *pb.Snapshot) bool {
	log, err := v.codec.UnmarshalLog(snapshot.GetData())
	if err != nil || v.group.storage.ApplySnapshot(snapshot) != nil {
		return false
	}
	v.releaseLog = log
	v.group.confState = snapshot.GetMetadata().GetConfState()
	v.group.compactedIndex = snapshot.GetMetadata().GetIndex()
	return true
}

// sendRaft sends a message of the raft core to the voter that has the receiving incarnation. It
// drops the message if the name of that voter is not known.
func (v *Voter) sendRaft(message *pb.Message) {
	name := v.releaseLog.Voters[message.GetTo()]
	if name == "" {
		name = v.peerName(message.GetTo())
	}
	if message.GetType() == pb.MsgSnap {
		// The snapshot is reported as received right away. The raft core sends it again if it was
		// lost.
		v.group.node.ReportSnapshot(message.GetTo(), raft.SnapshotFinish)
	}
	if name != "" {
		v.send(name, Message{
			From:      v.incarnation,
			To:        message.GetTo(),
			ClusterID: v.group.clusterID,
			Raft:      message,
		})
	}
}

// applyEntry applies a committed entry. An entry that can't be decoded is dropped. Every replica
// drops the same entries, so the replicas stay equal.
func (v *Voter) applyEntry(entry *pb.Entry) {
	switch entry.GetType() {
	case pb.EntryConfChange:
		// never proposed: all membership changes use ConfChangeV2
	case pb.EntryConfChangeV2:
		v.applyConfChange(entry)
	default:
		v.applyCommand(entry)
	}
}

// applyConfChange applies a committed membership change. Its context is the name of the added voter,
// see proposeMember.
func (v *Voter) applyConfChange(entry *pb.Entry) {
	confChange := &pb.ConfChangeV2{}
	if proto.Unmarshal(entry.GetData(), confChange) != nil {
		return
	}
	v.group.confState = v.group.node.ApplyConfChange(confChange)
	log := v.releaseLog.Clone()
	for _, change := range confChange.GetChanges() {
		if change.GetType() == pb.ConfChangeAddNode {
			log.Voters[change.GetNodeId()] = string(confChange.GetContext())
		} else {
			delete(log.Voters, change.GetNodeId())
		}
	}
	log.AppliedCount++
	v.releaseLog = log
}

func (v *Voter) applyCommand(entry *pb.Entry) {
	if len(entry.GetData()) == 0 {
		return // a new leader's first entry is empty
	}
	command, err := v.codec.UnmarshalCommand(entry.GetData())
	if err != nil {
		return
	}
	log := v.releaseLog.Clone()
	err = log.Apply(command)
	v.releaseLog = log
	v.results = append(v.results, CommandResult{Command: command, Err: err})
}

// compact replaces the raft log by a snapshot once the log has compactionThresholdEntries entries,
// and after every membership change: a new member can start only from a snapshot that lists it as a
// voter.
func (v *Voter) compact(applied []*pb.Entry) {
	if len(applied) == 0 {
		return
	}
	membershipChanged := slices.ContainsFunc(applied, func(entry *pb.Entry) bool {
		return entry.GetType() == pb.EntryConfChangeV2
	})
	last := applied[len(applied)-1].GetIndex()
	if last < v.group.compactedIndex+compactionThresholdEntries && !membershipChanged {
		return
	}
	storage := v.group.storage
	if _, err := storage.CreateSnapshot(last, v.group.confState, v.codec.MarshalLog(v.releaseLog)); err != nil {
		return
	}
	if storage.Compact(last) == nil {
		v.group.compactedIndex = last
	}
}
