package replication

import (
	"maps"
	"slices"
)

// sendPull sends a pull request for the wanted slots to a peer. An unanswered request is resent with
// the same sequence number, so that a late reply to the first copy is still accepted.
func (r *Replica) sendPull(now float64, member int, peer *peerSync) {
	if peer.sentAt <= 0 {
		slots := peer.nextSlots() // may clear resumes, so it comes before resumes is read
		r.catchUp.lastSequence++
		peer.lastRequest = &PullRequest{
			ConfigDigest: r.placement.ConfigDigest,
			Sequence:     r.catchUp.lastSequence,
			Term:         r.ownTerm(),
			Slots:        slots,
			AfterKey:     peer.afterKey,
			HasAfterKey:  peer.resumes,
		}
	}
	peer.sentAt = now
	r.outbox.add(Envelope{To: member, Pull: peer.lastRequest})
}

// nextSlots returns the slots of the next request: the partially received slot first, then the
// others in ascending order.
func (p *peerSync) nextSlots() []int {
	slots := slices.Sorted(maps.Keys(p.wantedSlots))
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

// HandlePullReply handles a pull reply of member from; size is the size of its message in bytes. A
// reply to an earlier request is ignored, because the peer may have sent it before it observed this
// replica's current term.
func (r *Replica) HandlePullReply(now float64, from int, reply *PullReply, size int) {
	peer := r.catchUp.peers[from]
	if peer == nil || reply.ConfigDigest != r.placement.ConfigDigest {
		return
	}
	if peer.sentAt == 0 || reply.Sequence != peer.lastRequest.Sequence {
		return
	}
	if reply.RequesterTerm.Compare(r.ownTerm()) > 0 {
		r.observeTerm(now, r.self, reply.RequesterTerm)
		peer.abandonRequest()
		return
	}
	r.observeTerm(now, from, reply.Term)
	if peer.resumes && reply.Term != peer.partialTerm {
		// The peer may have lost records of the partially received slot: pull the slot from its
		// start.
		peer.abandonRequest()
		peer.nextRequestAt = now
		return
	}
	peer.sentAt = 0
	peer.nextRequestAt = now + float64(size)/r.catchUpRate
	if len(reply.Slots) == 0 {
		peer.nextRequestAt = now + catchingUpRetryIntervalSeconds
		return
	}
	for i := range reply.Slots {
		if slices.Contains(peer.lastRequest.Slots, reply.Slots[i].Slot) {
			r.acceptSlot(now, from, reply.Term, &reply.Slots[i])
		}
	}
}

// acceptSlot merges the records of one slot that member from sent in the given term.
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
		// The slot stays wanted: the peer may have caught up by the next request.
		peer.nextRequestAt = max(peer.nextRequestAt, now+catchingUpRetryIntervalSeconds)
		return
	}
	delete(peer.wantedSlots, received.Slot)
	if progress == nil {
		return
	}
	progress.receivedFrom[from] = term
	if len(progress.receivedFrom) >= r.placement.CatchUpQuorum {
		r.markCaughtUp(received.Slot)
		r.catchUp.caughtUpByPeers++
	}
}

// mergeCopy merges a record received from a peer into the store.
func (r *Replica) mergeCopy(now float64, slot int, received RecordCopy) {
	if received.Record.Key.Slot() != slot || !(received.TimeToLive > 0) { // refuses NaN too
		return
	}
	// A copy is kept no longer than a new record, even if the peer sent a wrong TimeToLive.
	maxTimeToLive := r.placement.MaxClaimDuration + r.placement.RetentionWindow
	received.Record.ExpiresAt = now + min(received.TimeToLive, maxTimeToLive)
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
