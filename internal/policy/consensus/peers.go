package consensus

import "slices"

// peer is the state of another voter according to its heartbeats.
type peer struct {
	Heartbeat                // latest one received
	lastHeartbeatAt  float64 // when the latest heartbeat was received
	firstHeartbeatAt float64 // when the first heartbeat of the incarnation was received
}

// isAlive reports whether a heartbeat of the peer was received within heartbeatTTLSeconds. It returns
// false for a nil peer.
func (p *peer) isAlive(now float64) bool {
	return p != nil && now <= p.lastHeartbeatAt+heartbeatTTLSeconds
}

// detached reports whether the peer is in no group.
func (p *peer) detached() bool { return p.ClusterID == 0 }

// alivePeers returns the peers with a heartbeat within heartbeatTTLSeconds, ordered by name.
func (v *Voter) alivePeers(now float64) []*peer {
	var peers []*peer
	for _, name := range v.voterNames {
		if peer := v.peers[name]; peer.isAlive(now) {
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

// detachedVoters returns, by name, the incarnations of this voter and of the detached peers with a
// heartbeat within heartbeatTTLSeconds.
func (v *Voter) detachedVoters(now float64) map[string]uint64 {
	incarnations := map[string]uint64{v.name: v.incarnation}
	for name, peer := range v.peers {
		if peer.detached() && now < peer.lastHeartbeatAt+heartbeatTTLSeconds {
			incarnations[name] = peer.Incarnation
		}
	}
	return incarnations
}

// handleHeartbeat records a peer's heartbeat. It ignores the heartbeat if another incarnation of
// the same name is in a group and sent a heartbeat within replacementDelaySeconds.
func (v *Voter) handleHeartbeat(now float64, heartbeat *Heartbeat) {
	if heartbeat.Name == v.name || !slices.Contains(v.voterNames, heartbeat.Name) {
		// The sender is not a configured voter, or it is a second process with this voter's name,
		// which gets no lease.
		return
	}
	known := v.peers[heartbeat.Name]
	switch {
	case known == nil:
		known = &peer{firstHeartbeatAt: now}
		v.peers[heartbeat.Name] = known
	case known.Incarnation == heartbeat.Incarnation:
		// the peer still has the same incarnation
	case now < known.lastHeartbeatAt+replacementDelaySeconds && !known.detached():
		return
	default:
		known.firstHeartbeatAt = now
	}
	known.Heartbeat = *heartbeat
	known.lastHeartbeatAt = now
}

// peerName returns the name of the peer with the given incarnation, "" if no peer has it.
func (v *Voter) peerName(incarnation uint64) string {
	for name, peer := range v.peers {
		if peer.Incarnation == incarnation {
			return name
		}
	}
	return ""
}

// incarnationsByName inverts a map from incarnation to name.
func incarnationsByName(voters map[uint64]string) map[string]uint64 {
	incarnations := make(map[string]uint64, len(voters))
	for incarnation, name := range voters {
		incarnations[name] = incarnation
	}
	return incarnations
}
