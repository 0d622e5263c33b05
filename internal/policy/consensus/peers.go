package consensus

import "slices"

// peer is another voter as its heartbeats show it.
type peer struct {
	Heartbeat            // the latest
	heardAt      float64 // when it came
	firstHeardAt float64 // when the first one of its incarnation came
}

// fresh reports whether the peer was heard lately; a nil peer was not.
func (p *peer) fresh(now float64) bool {
	return p != nil && now <= p.heardAt+heartbeatTTL
}

// detached reports whether the peer is in no group.
func (p *peer) detached() bool { return p.ClusterID == 0 }

// freshPeers returns the peers that were heard lately, in the order of their names.
func (v *Voter) freshPeers(now float64) []*peer {
	var peers []*peer
	for _, name := range v.voterNames {
		if peer := v.peers[name]; peer.fresh(now) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// sendHeartbeats sends this voter's heartbeat to all other voters.
func (v *Voter) sendHeartbeats(now float64) {
	heartbeat := &Heartbeat{
		Name:            v.name,
		Incarnation:     v.incarnation,
		NewestClusterID: v.releaseLog.Current.Epoch.ClusterID(),
		AppliedCount:    v.releaseLog.AppliedCount,
	}
	if v.group == nil {
		heartbeat.DetachedVoters = v.detachedVoters(now)
	} else {
		heartbeat.ClusterID = v.group.clusterID
		heartbeat.Voters = incarnationsByName(v.releaseLog.Voters)
	}
	for _, name := range v.voterNames {
		if name != v.name {
			v.send(name, Message{From: v.incarnation, Heartbeat: heartbeat})
		}
	}
}

// detachedVoters returns the incarnations of the detached voters that were heard lately, and of
// this one, by name.
func (v *Voter) detachedVoters(now float64) map[string]uint64 {
	incarnations := map[string]uint64{v.name: v.incarnation}
	for name, peer := range v.peers {
		if peer.detached() && now < peer.heardAt+heartbeatTTL {
			incarnations[name] = peer.Incarnation
		}
	}
	return incarnations
}

// handleHeartbeat records a peer's heartbeat, unless another incarnation of its name that is in a
// group is still heard.
func (v *Voter) handleHeartbeat(now float64, heartbeat *Heartbeat) {
	if heartbeat.Name == v.name || !slices.Contains(v.voterNames, heartbeat.Name) {
		// Not a voter by the configuration, or a second process of this voter's name, which gets no
		// lease.
		return
	}
	known := v.peers[heartbeat.Name]
	switch {
	case known == nil:
		known = &peer{firstHeardAt: now}
		v.peers[heartbeat.Name] = known
	case known.Incarnation == heartbeat.Incarnation:
		// the same process
	case now < known.heardAt+deadAfter && !known.detached():
		return
	default:
		known.firstHeardAt = now
	}
	known.Heartbeat = *heartbeat
	known.heardAt = now
}

// peerName returns the name of the peer that has an incarnation, "" if it was not heard.
func (v *Voter) peerName(incarnation uint64) string {
	for name, peer := range v.peers {
		if peer.Incarnation == incarnation {
			return name
		}
	}
	return ""
}

// incarnationsByName inverts a group's voters.
func incarnationsByName(voters map[uint64]string) map[string]uint64 {
	incarnations := make(map[string]uint64, len(voters))
	for incarnation, name := range voters {
		incarnations[name] = incarnation
	}
	return incarnations
}
