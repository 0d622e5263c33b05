package consensus

import (
	pb "go.etcd.io/raft/v3/raftpb"
)

// maintainGroup compares the group with the voters that are there. It leaves a group that can't
// commit any more, has the leader take in a voter that restarted, and bootstraps a group where
// there is none.
func (v *Voter) maintainGroup(now float64) {
	if v.group == nil {
		v.bootstrapIfReady(now)
		return
	}
	// A voter that was just made a member learns of it from the snapshot that it is sent.
	isMember := v.releaseLog.Voters[v.incarnation] == v.name
	if !isMember && now > v.group.joinedAt+joinTimeout {
		v.detach(now)
		return
	}
	members := incarnationsByName(v.releaseLog.Voters)
	gone := map[uint64]bool{} // members that will never be heard again, or are in another group
	for _, name := range v.voterNames {
		peer := v.peers[name]
		if !peer.fresh(now) {
			continue
		}
		if isMember && v.isReplacedBy(peer) {
			v.detach(now)
			return
		}
		member, isVoter := members[name]
		if isVoter && v.hasLeft(member, peer) {
			gone[member] = true
		}
		v.takeInIfDue(now, peer, member, isVoter)
	}
	if now > v.group.joinedAt+deadAfter && v.majorityGone(gone) {
		v.detach(now)
	}
}

// isReplacedBy reports whether a peer of the same group, which applied more, knows another
// incarnation in this voter's place.
func (v *Voter) isReplacedBy(peer *peer) bool {
	incarnation := peer.Voters[v.name]
	return peer.ClusterID == v.group.clusterID && peer.AppliedCount > v.releaseLog.AppliedCount &&
		incarnation != 0 && incarnation != v.incarnation
}

// hasLeft reports whether a member is over, or in another group, by what its name's process says.
func (v *Voter) hasLeft(member uint64, peer *peer) bool {
	return peer.Incarnation != member || !peer.detached() && peer.ClusterID != v.group.clusterID
}

// takeInIfDue has the leader make a detached peer a member, for the first time or in place of an
// incarnation that is dead.
func (v *Voter) takeInIfDue(now float64, peer *peer, member uint64, isVoter bool) {
	if !peer.detached() || !v.leads() || len(v.group.confState.GetVotersOutgoing()) > 0 {
		return
	}
	if !isVoter {
		v.proposeMember(peer.Name, 0, peer.Incarnation)
		return
	}
	if peer.Incarnation != member && now > peer.firstAt+deadAfter {
		v.proposeMember(peer.Name, member, peer.Incarnation)
	}
}

// proposeMember asks the group to make an incarnation a member in place of the one that its name
// had, 0 for none.
func (v *Voter) proposeMember(name string, old, incarnation uint64) {
	change := &pb.ConfChangeV2{
		Context: []byte(name),
		Changes: []*pb.ConfChangeSingle{{Type: pb.ConfChangeAddNode.Enum(), NodeId: &incarnation}},
	}
	if old != 0 {
		removal := &pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: &old}
		change.Changes = append(change.Changes, removal)
	}
	// Refused while another change is under way: the next round asks again.
	_ = v.group.node.ProposeConfChange(change)
}

// majorityGone reports whether so many members are gone that the group never has a quorum again.
func (v *Voter) majorityGone(gone map[uint64]bool) bool {
	conf := v.group.confState
	return v.quorumLost(conf.GetVoters(), gone) || v.quorumLost(conf.GetVotersOutgoing(), gone)
}

func (v *Voter) quorumLost(incarnations []uint64, gone map[uint64]bool) bool {
	left := 0
	for _, incarnation := range incarnations {
		// An incarnation that is no voter of the release log any more was gone before.
		if v.releaseLog.Voters[incarnation] != "" && !gone[incarnation] {
			left++
		}
	}
	return len(incarnations) > 0 && left <= len(incarnations)/2
}
