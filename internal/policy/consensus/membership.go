package consensus

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// maintainGroup compares the group with the voters that are heard. It leaves a group that this voter
// has no place in or that can't commit any more, has the leader add a voter that restarted, and
// bootstraps a group if this voter is in none.
func (v *Voter) maintainGroup(now float64) {
	switch {
	case v.group == nil:
		v.bootstrapIfReady(now)
	case v.joinTimedOut(now), v.isReplaced(now), v.quorumIsGone(now):
		v.detach(now)
	default:
		v.addMembersIfDue(now)
	}
}

// isMember reports whether the release log has this voter's incarnation among the group's voters.
func (v *Voter) isMember() bool {
	return v.releaseLog.Voters[v.incarnation] == v.name
}

// joinTimedOut reports whether this voter is still no member of the group it joined. A new member
// learns of its membership from the snapshot that it is sent.
func (v *Voter) joinTimedOut(now float64) bool {
	return !v.isMember() && now > v.group.joinedAt+joinTimeout
}

// isReplaced reports whether any peer knows that this voter lost its place in the group.
func (v *Voter) isReplaced(now float64) bool {
	return v.isMember() && slices.ContainsFunc(v.freshPeers(now), v.isReplacedBy)
}

// quorumIsGone reports whether the group can never commit again, by what its peers say.
func (v *Voter) quorumIsGone(now float64) bool {
	if now <= v.group.joinedAt+deadAfter {
		return false
	}
	members := incarnationsByName(v.releaseLog.Voters)
	gone := map[uint64]bool{}
	for _, peer := range v.freshPeers(now) {
		if member, isVoter := members[peer.Name]; isVoter && v.hasLeft(member, peer) {
			gone[member] = true
		}
	}
	return v.majorityGone(gone)
}

// addMembersIfDue has the leader make detached peers members.
func (v *Voter) addMembersIfDue(now float64) {
	members := incarnationsByName(v.releaseLog.Voters)
	for _, peer := range v.freshPeers(now) {
		member, isVoter := members[peer.Name]
		v.addMemberIfDue(now, peer, member, isVoter)
	}
}

// isReplacedBy reports whether a peer of the same group, which applied more commands, knows another
// incarnation in this voter's place.
func (v *Voter) isReplacedBy(peer *peer) bool {
	incarnation := peer.Voters[v.name]
	return peer.ClusterID == v.group.clusterID && peer.AppliedCount > v.releaseLog.AppliedCount &&
		incarnation != 0 && incarnation != v.incarnation
}

// hasLeft reports whether a member's incarnation has ended or is in another group, by the heartbeat
// of the peer that has its name.
func (v *Voter) hasLeft(member uint64, peer *peer) bool {
	return peer.Incarnation != member || !peer.detached() && peer.ClusterID != v.group.clusterID
}

// addMemberIfDue has the leader make a detached peer a member, for the first time or in place of its
// name's earlier incarnation, which has ended.
func (v *Voter) addMemberIfDue(now float64, peer *peer, member uint64, isVoter bool) {
	if !peer.detached() || !v.leads() || len(v.group.confState.GetVotersOutgoing()) > 0 {
		return
	}
	if !isVoter {
		v.proposeMember(peer.Name, 0, peer.Incarnation)
		return
	}
	if peer.Incarnation != member && now > peer.firstHeardAt+deadAfter {
		v.proposeMember(peer.Name, member, peer.Incarnation)
	}
}

// proposeMember proposes to make an incarnation a member in place of the one that its name had, 0
// for none.
func (v *Voter) proposeMember(name string, replaced, incarnation uint64) {
	confChange := &pb.ConfChangeV2{
		Context: []byte(name),
		Changes: []*pb.ConfChangeSingle{{Type: pb.ConfChangeAddNode.Enum(), NodeId: &incarnation}},
	}
	if replaced != 0 {
		removal := &pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: &replaced}
		confChange.Changes = append(confChange.Changes, removal)
	}
	// Refused while another change is under way: addMemberIfDue proposes it again later.
	_ = v.group.node.ProposeConfChange(confChange)
}

// majorityGone reports whether the group never has a quorum again without the members that are gone.
// During a change of membership a quorum needs a majority of the old voters too.
func (v *Voter) majorityGone(gone map[uint64]bool) bool {
	confState := v.group.confState
	return v.quorumLost(confState.GetVoters(), gone) || v.quorumLost(confState.GetVotersOutgoing(), gone)
}

// quorumLost reports whether too few of a configuration's voters remain for a majority.
func (v *Voter) quorumLost(incarnations []uint64, gone map[uint64]bool) bool {
	remaining := 0
	for _, incarnation := range incarnations {
		// An incarnation that is no voter of the release log any more has ended as well.
		if v.releaseLog.Voters[incarnation] != "" && !gone[incarnation] {
			remaining++
		}
	}
	return len(incarnations) > 0 && remaining <= len(incarnations)/2
}
