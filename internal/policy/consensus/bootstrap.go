package consensus

import (
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"swiftcourse/internal/policy/release"
)

// bootstrapIfReady bootstraps a group once all configured voters send heartbeats, all are detached,
// and all report the same incarnations. Only the voter whose name sorts first does so, at most once
// per incarnation. A voter's incarnation ends when the voter leaves a group, so no incarnation is
// ever in two groups. Of two groups bootstrapped with a voter in common, at least one never has a
// majority, unless most names have two processes each.
func (v *Voter) bootstrapIfReady(now float64) {
	if v.name != v.voterNames[0] || now < v.detachedAt+bootstrapDelaySeconds {
		return
	}
	voters, ready := v.readyVoters(now)
	if !ready || len(voters) != len(v.voterNames) {
		return
	}
	incarnations := incarnationsByName(voters)
	for _, name := range v.voterNames[1:] {
		if !maps.Equal(v.peers[name].DetachedVoters, incarnations) {
			return
		}
	}
	clusterID := v.nextClusterID(now)
	bootstrap := &Bootstrap{
		ClusterID:  clusterID,
		Voters:     voters,
		ReleaseLog: release.BootstrapLog(v.releaseLog, clusterID, voters),
	}
	for _, name := range v.voterNames[1:] {
		v.send(name, Message{From: v.incarnation, To: incarnations[name], Bootstrap: bootstrap})
	}
	v.joinBootstrap(now, bootstrap)
}

// readyVoters returns the names of all voters by incarnation, and whether they are ready for a
// bootstrap. They are not ready while one of them sends no heartbeats, is in a group, or has a newer
// release log than this voter. In the last case this voter requests that log.
func (v *Voter) readyVoters(now float64) (voters map[uint64]string, ready bool) {
	voters = map[uint64]string{v.incarnation: v.name}
	for _, name := range v.voterNames[1:] {
		peer := v.peers[name]
		if !peer.isAlive(now) || !peer.detached() {
			return nil, false
		}
		voters[peer.Incarnation] = name
		if v.peerHasNewerLog(peer) {
			v.send(name, Message{From: v.incarnation, To: peer.Incarnation, RequestReleaseLog: true})
			return nil, false
		}
	}
	return voters, true
}

// peerHasNewerLog reports whether a peer has a newer release log than this voter, according to its
// latest heartbeat.
func (v *Voter) peerHasNewerLog(peer *peer) bool {
	position := release.Position{ClusterID: peer.NewestClusterID, AppliedCount: peer.AppliedCount}
	return position.After(v.releaseLog.Position())
}

// nextClusterID returns a cluster ID above all known ones and not below the seconds since
// clusterIDEpochUnixSeconds. If no voter knows the cluster ID of the last group any more, the clock
// still yields a higher one.
func (v *Voter) nextClusterID(now float64) uint32 {
	seconds := uint32(max(1, now+v.clockOffset-clusterIDEpochUnixSeconds))
	return max(v.releaseLog.Current.Epoch.ClusterID()+1, v.highestClusterID+1, seconds)
}

// joinBootstrap joins the group that a bootstrap creates. The bootstrap's release log becomes the
// first snapshot of the raft log.
func (v *Voter) joinBootstrap(now float64, bootstrap *Bootstrap) {
	v.releaseLog = bootstrap.ReleaseLog.Clone()
	index := uint64(1)
	term := uint64(1)
	confState := &pb.ConfState{Voters: slices.Sorted(maps.Keys(bootstrap.Voters))}
	storage := raft.NewMemoryStorage()
	// Fails only if the storage has a newer snapshot, and this storage is empty.
	_ = storage.ApplySnapshot(&pb.Snapshot{
		Data:     v.codec.MarshalLog(v.releaseLog),
		Metadata: &pb.SnapshotMetadata{ConfState: confState, Index: &index, Term: &term},
	})
	hardState := &pb.HardState{Term: &term, Commit: &index, Vote: new(uint64)}
	_ = storage.SetHardState(hardState) // MemoryStorage never returns an error
	v.joinGroup(now, bootstrap.ClusterID, storage, confState)
}
