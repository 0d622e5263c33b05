package replication

import (
	"maps"
	"slices"
)

// sendPull asks a peer for the wanted slots. A request without a reply is sent again under the
// same sequence number, so that a reply that takes long still counts.
func (r *Replica) sendPull(now float64, member int, peer *peerSync) {
	if peer.sentAt <= 0 {
		slots := peer.nextSlots() // first, as it may clear resumes
		r.catchUp.lastSequence++
		peer.request = &PullRequest{
			ConfigDigest: r.placement.ConfigDigest,
			Sequence:     r.catchUp.lastSequence,
			Term:         r.ownTerm(),
			Slots:        slots,
			AfterKey:     peer.afterKey,
			Resumes:      peer.resumes,
		}
	}
	peer.sentAt = now
	r.outbox.add(Envelope{To: member, Pull: peer.request})
}

// nextSlots lists the slots to ask for: the one that was received in part first, the others in
// ascending order.
func (p *peerSync) nextSlots() []int {
	slots := slices.Sorted(maps.Keys(p.wanted))
	if p.resumes {
		partial := slices.Index(slots, p.afterKey.Slot())
		if partial >= 0 {
			slots = slices.Concat(slots[partial:partial+1], slots[:partial], slots[partial+1:])
		} else {
			p.resumes = false
		}
	}
	return slots[:min(len(slots), maxPullSlots)]
}

// HandlePullReply handles the reply of the member with index from; size is that of its message in
// bytes. A reply to an earlier request is ignored: the peer may have sent it before it knew this
// replica's term.
func (r *Replica) HandlePullReply(now float64, from int, reply *PullReply, size int) {
	peer := r.catchUp.peers[from]
	if peer == nil || reply.ConfigDigest != r.placement.ConfigDigest {
		return
	}
	if peer.sentAt == 0 || reply.Sequence != peer.request.Sequence {
		return
	}
	if reply.RequesterTerm.Compare(r.ownTerm()) > 0 {
		r.observeTerm(now, r.self, reply.RequesterTerm)
		peer.abandonRequest()
		return
	}
	r.observeTerm(now, from, reply.Term)
	if peer.resumes && reply.Term != peer.partialTerm {
		// The peer may have lost records of the slot that was received in part: start it again.
		peer.abandonRequest()
		peer.notBefore = now
		return
	}
	peer.sentAt = 0
	peer.notBefore = now + float64(size)/r.catchUpRate
	if len(reply.Slots) == 0 {
		peer.notBefore = now + catchingUpRetryInterval
		return
	}
	for i := range reply.Slots {
		if slices.Contains(peer.request.Slots, reply.Slots[i].Slot) {
			r.acceptSlot(now, from, reply.Term, &reply.Slots[i])
		}
	}
}

// acceptSlot merges the records of one slot that the member with index from sent in a term.
func (r *Replica) acceptSlot(now float64, from int, term Term, received *SlotRecords) {
	peer := r.catchUp.peers[from]
	for _, recordCopy := range received.Copies {
		r.mergeCopy(now, received.Slot, recordCopy)
	}
	if !received.Complete {
		if count := len(received.Copies); count > 0 {
			peer.afterKey = received.Copies[count-1].Record.Key
			peer.resumes = true
			peer.partialTerm = term
		}
		return
	}
	peer.resumes = false
	progress := r.catchUp.slots[received.Slot]
	if !received.CaughtUp && progress != nil {
		// The slot stays wanted: the peer may have caught up when it is asked again.
		peer.notBefore = max(peer.notBefore, now+catchingUpRetryInterval)
		return
	}
	delete(peer.wanted, received.Slot)
	if progress == nil {
		return
	}
	progress.receivedFrom[from] = term
	if len(progress.receivedFrom) >= r.placement.CatchUpQuorum {
		r.markCaughtUp(received.Slot)
		r.catchUp.caughtUpByPeers++
	}
}

// mergeCopy merges one record that a peer sent.
func (r *Replica) mergeCopy(now float64, slot int, received RecordCopy) {
	if received.Record.Key.Slot() != slot || !(received.TimeToLive > 0) { // NaN is refused too
		return
	}
	// A copy is kept no longer than a new record, even if the peer sent a wrong TimeToLive.
	longest := r.placement.MaxClaimDuration + r.placement.RetentionWindow
	received.Record.ExpiresAt = now + min(received.TimeToLive, longest)
	stored, intact := r.store.Get(received.Record.Key)
	if !intact {
		r.resetSlot(now, slot)
		return
	}
	if stored != nil {
		merged := Merge(stored, received.Record)
		if sameAttempts(&merged, stored) {
			return
		}
	}
	if r.CaughtUp(slot) {
		r.repairedRecords++
	}
	r.mergeIntoStore(stored, received.Record)
}
