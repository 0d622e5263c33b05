package replication

// compareIntervalSeconds is the time between two checksum messages of a replica. It sends them to
// its peers in round-robin order, so three replicas have compared every pair within a few
// seconds.
const compareIntervalSeconds = 1.0

// maintainComparison sends a combined checksum to the next peer if compareIntervalSeconds has
// passed.
func (r *Replica) maintainComparison(now float64) {
	peers := r.catchUp.sortedPeers
	if now < r.nextCompareAt || len(peers) == 0 {
		return
	}
	r.nextCompareAt = now + compareIntervalSeconds
	r.comparisonCount++
	peer := peers[r.comparisonCount%len(peers)]
	checksums := r.sharedChecksums(peer)
	if len(checksums.Slots) == 0 {
		return
	}
	r.outbox.add(Envelope{To: peer, Checksums: &Checksums{
		ConfigDigest: checksums.ConfigDigest,
		Term:         checksums.Term,
		Values:       []uint64{checksums.combined()},
	}})
}

// HandleChecksums compares the checksums of member from with those of this replica. If a combined
// checksum differs, the replica replies with its checksum of each slot. If checksums of slots
// differ, the replica pulls these slots.
func (r *Replica) HandleChecksums(now float64, from int, received *Checksums) {
	peer := r.catchUp.peers[from]
	if peer == nil || received.ConfigDigest != r.placement.ConfigDigest {
		return
	}
	r.observeTerm(now, from, received.Term)
	if len(received.Slots) == 0 {
		own := r.sharedChecksums(from)
		if len(own.Slots) > 0 && len(received.Values) == 1 && received.Values[0] != own.combined() {
			r.outbox.add(Envelope{To: from, Checksums: own})
		}
		return
	}
	for i, slot := range received.Slots {
		if i == len(received.Values) {
			break
		}
		if r.placement.replicates(r.self, slot) && r.store.Checksum(slot) != received.Values[i] {
			peer.wantedSlots[slot] = true
		}
	}
}

// sharedChecksums returns the checksums of the slots on which this replica has caught up and that
// the given member also replicates.
func (r *Replica) sharedChecksums(member int) *Checksums {
	checksums := &Checksums{ConfigDigest: r.placement.ConfigDigest, Term: r.ownTerm()}
	for _, slot := range r.placement.SlotsOf(r.self) {
		if r.CaughtUp(slot) && r.placement.replicates(member, slot) {
			checksums.Slots = append(checksums.Slots, slot)
			checksums.Values = append(checksums.Values, r.store.Checksum(slot))
		}
	}
	return checksums
}

// combined returns the XOR of all values.
func (c *Checksums) combined() uint64 {
	combined := uint64(0)
	for _, value := range c.Values {
		combined ^= value
	}
	return combined
}
