package consensus

import (
	"encoding/binary"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// group is a voter's membership in a group: its raft node and what it knows of the leader.
type group struct {
	clusterID      uint32
	joinedAt       float64
	node           *raft.RawNode
	storage        *raft.MemoryStorage
	confState      *pb.ConfState
	compactedIndex uint64 // the last index that a snapshot replaced

	leader          uint64  // incarnation, 0 if none is known
	leaderHeardAt   float64 // when the leader was last heard, or this voter last campaigned
	electionTimeout float64 // how long after leaderHeardAt this voter campaigns

	confirmations map[uint64]float64 // when each confirmation of leadership was requested, by its number
	confirmedAt   float64            // the latest request that a majority confirmed
}

// joinGroup starts a raft node on the given storage as a member of a group. confState is nil if it
// is to come with a snapshot.
func (v *Voter) joinGroup(now float64, clusterID uint32, storage *raft.MemoryStorage, confState *pb.ConfState) {
	first, _ := storage.FirstIndex() // never fails in memory
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

// restartElectionTimer begins another wait for a leader, with a newly drawn timeout.
func (v *Voter) restartElectionTimer(now float64) {
	v.group.leaderHeardAt = now
	v.group.electionTimeout = minElectionTimeout + electionJitter*v.random.drawFloat64()
}

// campaignIfDue stands for election if the leader was not heard for the election timeout.
func (v *Voter) campaignIfDue(now float64) {
	if v.leads() || now <= v.group.leaderHeardAt+v.group.electionTimeout {
		return
	}
	v.restartElectionTimer(now)
	// Refused while a membership change is to be applied: the next timeout tries again.
	_ = v.group.node.Campaign()
}

// confirmationContextBytes is the size of a confirmation's number in raft's read requests.
const confirmationContextBytes = 8

// requestConfirmation asks a majority whether this voter still leads.
func (v *Voter) requestConfirmation(now float64) {
	number := v.random.nextCount()
	v.group.confirmations[number] = now
	v.group.node.ReadIndex(binary.BigEndian.AppendUint64(nil, number))
}

// handleConfirmation records a majority's answer. It confirms all earlier requests too.
func (g *group) handleConfirmation(readState raft.ReadState) {
	if len(readState.RequestCtx) != confirmationContextBytes {
		return
	}
	number := binary.BigEndian.Uint64(readState.RequestCtx)
	g.confirmedAt = max(g.confirmedAt, g.confirmations[number])
	maps.DeleteFunc(g.confirmations, func(other uint64, _ float64) bool { return other <= number })
}

// setLeader records who leads by the raft core. Confirmations under another leader do not count.
func (g *group) setLeader(leader uint64) {
	if leader != g.leader {
		g.confirmedAt = 0
		clear(g.confirmations)
	}
	g.leader = leader
}

// processReady carries out all that the raft core has ready, in the order that it demands: store,
// send, apply, advance.
func (v *Voter) processReady(now float64) {
	for v.group != nil && v.group.node.HasReady() {
		ready := v.group.node.Ready()
		if ready.SoftState != nil {
			v.group.setLeader(ready.Lead)
		}
		if ready.HardState != nil {
			_ = v.group.storage.SetHardState(ready.HardState) // never fails in memory
		}
		if !raft.IsEmptySnap(ready.Snapshot) && !v.installSnapshot(ready.Snapshot) {
			v.detach(now) // the next incarnation is sent another snapshot
			return
		}
		_ = v.group.storage.Append(ready.Entries) // never fails in memory
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

// installSnapshot replaces the release log by a snapshot, and reports whether it could be read and
// stored.
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

// sendRaft sends a message of the raft core to the voter that has the receiving incarnation, if its
// name is known.
func (v *Voter) sendRaft(message *pb.Message) {
	name := v.releaseLog.Voters[message.GetTo()]
	if name == "" {
		name = v.peerName(message.GetTo())
	}
	if message.GetType() == pb.MsgSnap {
		// Reported as sent right away: the raft core sends it again if it was lost.
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

// applyEntry carries out a committed entry. An entry that can't be read is dropped, on every copy
// alike.
func (v *Voter) applyEntry(entry *pb.Entry) {
	switch entry.GetType() {
	case pb.EntryConfChange:
		// never proposed: all changes of members are in the second form
	case pb.EntryConfChangeV2:
		v.applyConfChange(entry)
	default:
		v.applyCommand(entry)
	}
}

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
		return // the first entry of a new leader
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

// compact replaces the raft log by a snapshot once it is long, and after every change of membership:
// a new member can only start from a snapshot that has it among the voters.
func (v *Voter) compact(applied []*pb.Entry) {
	if len(applied) == 0 {
		return
	}
	membershipChanged := slices.ContainsFunc(applied, func(entry *pb.Entry) bool {
		return entry.GetType() == pb.EntryConfChangeV2
	})
	last := applied[len(applied)-1].GetIndex()
	if last < v.group.compactedIndex+compactionThreshold && !membershipChanged {
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
