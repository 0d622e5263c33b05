package replication

// compareInterval is how often a replica sends its checksums to another one, in seconds: of
// three replicas each pair has compared within some seconds.
const compareInterval = 1.0

// maintainComparison sends the combined checksum to the next peer when it is time.
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
		Values:       []uint64{combineChecksums(checksums)},
	}})
}

// HandleChecksums compares the checksums of the member with index from with this replica's. It
// answers a combined checksum that differs with one for each slot, and pulls the slots that differ.
func (r *Replica) HandleChecksums(now float64, from int, received *Checksums) {
	peer := r.catchUp.peers[from]
	if peer == nil || received.ConfigDigest != r.placement.ConfigDigest {
		return
	}
	r.observeTerms(now, []int{from}, []Term{received.Term})
	if len(received.Slots) == 0 {
		own := r.sharedChecksums(from)
		if len(own.Slots) > 0 && len(received.Values) == 1 && received.Values[0] != combineChecksums(own) {
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

// sharedChecksums lists the checksums of the slots that another member replicates too, of those
// that this replica has caught up on.
func (r *Replica) sharedChecksums(with int) *Checksums {
	checksums := &Checksums{ConfigDigest: r.placement.ConfigDigest, Term: r.ownTerm()}
	for _, slot := range r.placement.SlotsOf(r.self) {
		if r.CaughtUp(slot) && r.placement.replicates(with, slot) {
			checksums.Slots = append(checksums.Slots, slot)
			checksums.Values = append(checksums.Values, r.store.Checksum(slot))
		}
	}
	return checksums
}

// combineChecksums returns the XOR over all slots.
func combineChecksums(checksums *Checksums) uint64 {
	combined := uint64(0)
	for _, value := range checksums.Values {
		combined ^= value
	}
	return combined
}
