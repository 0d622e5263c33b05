package replication

// compareInterval is how often a replica sends its checksums to a peer, in seconds. The peers take
// turns: three replicas have compared each pair within a few seconds.
const compareInterval = 1.0

// maintainComparison sends the combined checksum to the next peer every compareInterval.
func (r *Replica) maintainComparison(now float64) {
	peers := r.catchUp.peerOrder
	if now < r.nextCompareAt || len(peers) == 0 {
		return
	}
	r.nextCompareAt = now + compareInterval
	r.compareTurn++
	peer := peers[r.compareTurn%len(peers)]
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

// HandleChecksums compares the checksums of the member with index from with this replica's. It
// answers a combined checksum that differs with one for each slot, and pulls the slots that differ.
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
			peer.wanted[slot] = true
		}
	}
}

// sharedChecksums lists the checksums of the slots that this replica has caught up on and
// that another member replicates too.
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
