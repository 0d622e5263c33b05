package consensus

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// maintainGroup updates the group membership according to the peers' heartbeats. It leaves a group
// of which this voter is no member or which can't commit any more, adds restarted voters if this
// voter leads, and bootstraps a group if this voter is in none.
func (v *Voter) maintainGroup(now float64) {
	switch {
	case v.group == nil:
		v.bootstrapIfReady(now)
	case v.joinTimedOut(now), v.isReplaced(now), v.groupLostQuorum(now):
		v.detach(now)
	default:
		v.addMembersIfDue(now)
	}
}

// isMember reports whether the release log lists this voter's incarnation as a voter of the group.
func (v *Voter) isMember() bool {
	return v.releaseLog.Voters[v.incarnation] == v.name
}

// joinTimedOut reports whether this voter is still not a member joinTimeoutSeconds after it joined
// the group. A voter that the leader adds joins with the first raft message that it receives, and
// becomes a member with the leader's snapshot.
func (v *Voter) joinTimedOut(now float64) bool {
	return !v.isMember() && now > v.group.joinedAt+joinTimeoutSeconds
}

// isReplaced reports whether, according to any peer, another incarnation has replaced this voter in
// the group.
func (v *Voter) isReplaced(now float64) bool {
	return v.isMember() && slices.ContainsFunc(v.alivePeers(now), v.isReplacedBy)
}

// groupLostQuorum reports whether the group can never commit again according to the peers'
// heartbeats.
func (v *Voter) groupLostQuorum(now float64) bool {
	if now <= v.group.joinedAt+replacementDelaySeconds {
		return false
	}
	members := incarnationsByName(v.releaseLog.Voters)
	left := map[uint64]bool{}
	for _, peer := range v.alivePeers(now) {
		if member, isVoter := members[peer.Name]; isVoter && v.hasLeft(member, peer) {
			left[member] = true
		}
	}
	return v.cannotReachQuorum(left)
}

// addMembersIfDue proposes detached peers as members if this voter leads.
func (v *Voter) addMembersIfDue(now float64) {
	members := incarnationsByName(v.releaseLog.Voters)
	for _, peer := range v.alivePeers(now) {
		member, isVoter := members[peer.Name]
		v.addMemberIfDue(now, peer, member, isVoter)
	}
}

// isReplacedBy reports whether a peer of the same group that applied more commands lists another
// incarnation under this voter's name.
func (v *Voter) isReplacedBy(peer *peer) bool {
	incarnation := peer.Voters[v.name]
	return peer.ClusterID == v.group.clusterID && peer.AppliedCount > v.releaseLog.AppliedCount &&
		incarnation != 0 && incarnation != v.incarnation
}

// hasLeft reports whether a member's incarnation has ended or is in another group, according to the
// latest heartbeat of the peer with the member's name.
func (v *Voter) hasLeft(member uint64, peer *peer) bool {
	return peer.Incarnation != member || !peer.detached() && peer.ClusterID != v.group.clusterID
}

// addMemberIfDue proposes a detached peer as a member if this voter leads: either as the first
// member of its name, or as the replacement of an incarnation that has ended.
func (v *Voter) addMemberIfDue(now float64, peer *peer, member uint64, isVoter bool) {
	if !peer.detached() || !v.isRaftLeader() || len(v.group.confState.GetVotersOutgoing()) > 0 {
		return
	}
	if !isVoter {
		v.proposeMember(peer.Name, 0, peer.Incarnation)
		return
	}
	if peer.Incarnation != member && now > peer.firstHeartbeatAt+replacementDelaySeconds {
		v.proposeMember(peer.Name, member, peer.Incarnation)
	}
}

// proposeMember proposes to add an incarnation to the group and to remove the incarnation that it
// replaces, 0 if it replaces none.
func (v *Voter) proposeMember(name string, replaced, incarnation uint64) {
	confChange := &pb.ConfChangeV2{
		Context: []byte(name),
		Changes: []*pb.ConfChangeSingle{{Type: pb.ConfChangeAddNode.Enum(), NodeId: &incarnation}},
	}
	if replaced != 0 {
		removal := &pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: &replaced}
		confChange.Changes = append(confChange.Changes, removal)
	}
	// Refused while another membership change is in progress. addMemberIfDue proposes it again
	// later.
	_ = v.group.node.ProposeConfChange(confChange)
}

// cannotReachQuorum reports whether the group can never have a quorum again without the members
// that have left. During a membership change a quorum needs a majority of the old voters too.
func (v *Voter) cannotReachQuorum(left map[uint64]bool) bool {
	confState := v.group.confState
	return v.lostMajority(confState.GetVoters(), left) || v.lostMajority(confState.GetVotersOutgoing(), left)
}

// lostMajority reports whether too few of the given voters remain for a majority.
func (v *Voter) lostMajority(incarnations []uint64, left map[uint64]bool) bool {
	remaining := 0
	for _, incarnation := range incarnations {
		// An incarnation that the release log no longer lists as a voter has ended as well.
		if v.releaseLog.Voters[incarnation] != "" && !left[incarnation] {
			remaining++
		}
	}
	return len(incarnations) > 0 && remaining <= len(incarnations)/2
}
