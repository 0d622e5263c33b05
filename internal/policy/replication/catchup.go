package replication

import (
	"maps"
	"slices"

	"swiftcourse/internal/replicastore"
)

const (
	// maxPullReplyBytes bounds the records in one PullReply: some tens of packets, a millisecond of
	// the sender's time.
	maxPullReplyBytes = 32 << 10
	// maxPullSlots bounds the slots of one PullRequest. Empty ones cost little, so that one round
	// trip does for many.
	maxPullSlots = 64
	// A record's size in a PullReply is estimated by these, in bytes, and its results.
	recordCopyOverhead  = 64
	attemptCopyOverhead = 48

	// pullRetryInterval is when a PullRequest without a reply is sent again, in seconds: longer than
	// almost all delays among servers that hear one another.
	pullRetryInterval = 0.5
	// catchingUpRetryInterval is when a peer that was catching up itself is asked again, in seconds.
	catchingUpRetryInterval = 0.25
)

// catchUpState is how a replica gets records from its peers, the members that share a slot with it:
// those of slots on which it catches up, and of slots that differ.
type catchUpState struct {
	slots             map[int]*slotProgress // on which the replica has not caught up
	since             float64               // when catching up last began, in seconds
	peers             map[int]*peerSync     // by member index
	peerOrder         []int                 // the peers' indexes in ascending order
	lastSequence      uint64                // of pull requests
	caughtUpByPeers   int                   // slots on which the replica caught up by hearing enough peers
	caughtUpByTimeout int                   // slots on which it caught up by waiting
}

// slotProgress is how far a replica has caught up on one slot.
type slotProgress struct {
	receivedFrom map[int]Term // peers that had caught up themselves and sent all of the slot
}

// peerSync is what a replica asks of one peer. Times are in seconds.
type peerSync struct {
	wanted      map[int]bool // slots
	requested   []int        // slots of the last request
	sequence    uint64       // of the last request
	request     *PullRequest // the last one
	afterKey    replicastore.Key
	resumes     bool    // requested[0] was received in part, up to afterKey
	partialTerm Term    // of the peer when it sent that part
	sentAt      float64 // of the request in flight, 0 if there is none
	notBefore   float64 // when the next request may be sent
}

// abandonRequest forgets the request in flight and that a slot was received in part.
func (p *peerSync) abandonRequest() {
	p.sentAt = 0
	p.resumes = false
}

// CaughtUp reports whether the replica may answer for a slot.
func (r *Replica) CaughtUp(slot int) bool { return r.catchUp.slots[slot] == nil }

// CatchingUp returns the number of slots for which the replica may not answer yet.
func (r *Replica) CatchingUp() int { return len(r.catchUp.slots) }

// OutOfSync returns the number of slots for which the replica waits for a peer's records.
func (r *Replica) OutOfSync() int {
	slots := map[int]bool{}
	for _, peer := range r.catchUp.peers {
		maps.Copy(slots, peer.wanted)
	}
	return len(slots)
}

// startCatchUp has the replica catch up on slots: it may not answer for them before.
func (r *Replica) startCatchUp(now float64, slots []int) {
	r.catchUp.since = now
	for _, slot := range slots {
		r.catchUp.slots[slot] = &slotProgress{receivedFrom: map[int]Term{}}
		for _, member := range r.otherReplicas(slot) {
			peer := r.catchUp.peers[member]
			peer.wanted[slot] = true
			peer.abandonRequest() // it was sent under the term before
		}
	}
}

// markCaughtUp ends catching up on a slot.
func (r *Replica) markCaughtUp(slot int) {
	delete(r.catchUp.slots, slot)
	for _, member := range r.otherReplicas(slot) {
		delete(r.catchUp.peers[member].wanted, slot)
	}
}

// catchUpTimeoutAt returns when catching up ends by waiting, in seconds: by then no claim that was
// granted before the replica's term began counts any more.
func (r *Replica) catchUpTimeoutAt() float64 {
	return r.catchUp.since + r.placement.RetentionWindow + 2*r.placement.MaxClaimDuration
}

// maintainCatchUp sends the pull requests that are due, and ends catching up by timeout.
func (r *Replica) maintainCatchUp(now float64) {
	if len(r.catchUp.slots) > 0 && now >= r.catchUpTimeoutAt() {
		for slot := range r.catchUp.slots {
			r.markCaughtUp(slot)
			r.catchUp.caughtUpByTimeout++
		}
	}
	for _, member := range r.catchUp.peerOrder {
		peer := r.catchUp.peers[member]
		inFlight := peer.sentAt > 0 && now < peer.sentAt+pullRetryInterval
		if len(peer.wanted) > 0 && now >= peer.notBefore && !inFlight {
			r.sendPull(now, member, peer)
		}
	}
}

// nextCatchUpWakeup returns when maintainCatchUp has something to do, in seconds.
func (r *Replica) nextCatchUpWakeup(now float64) float64 {
	next := never
	if len(r.catchUp.slots) > 0 {
		next = r.catchUpTimeoutAt()
	}
	for _, peer := range r.catchUp.peers {
		switch {
		case len(peer.wanted) == 0:
		case peer.sentAt > 0:
			next = min(next, peer.sentAt+pullRetryInterval)
		default:
			next = min(next, max(now, peer.notBefore))
		}
	}
	return next
}

// sendPull asks a peer for the wanted slots. A request without a reply is sent again under the
// same sequence number, so that a reply that takes long still counts.
func (r *Replica) sendPull(now float64, member int, peer *peerSync) {
	if peer.sentAt <= 0 {
		peer.requested = peer.nextSlots()
		r.catchUp.lastSequence++
		peer.sequence = r.catchUp.lastSequence
		peer.request = &PullRequest{
			ConfigDigest: r.placement.ConfigDigest,
			Sequence:     peer.sequence,
			Term:         r.ownTerm(),
			Slots:        peer.requested,
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

// HandlePull answers a pull request of the member with index from, nil if it can't be answered.
// The requester's term is taken over first: what is granted from then on counts on that term.
func (r *Replica) HandlePull(now float64, from int, request *PullRequest) *PullReply {
	if request.ConfigDigest != r.placement.ConfigDigest || from < 0 {
		return nil
	}
	r.observeTerms(now, []int{from}, []Term{request.Term})
	reply := &PullReply{
		ConfigDigest:  r.placement.ConfigDigest,
		Sequence:      request.Sequence,
		Term:          r.ownTerm(),
		RequesterTerm: r.terms[from],
	}
	if reply.RequesterTerm != request.Term {
		return reply // the requester has begun a later term
	}
	left := maxPullReplyBytes
	for i, slot := range request.Slots {
		if i == maxPullSlots || left <= 0 && i > 0 {
			break
		}
		if !r.placement.replicates(r.self, slot) || !r.placement.replicates(from, slot) {
			continue
		}
		var after *replicastore.Key
		if i == 0 && request.Resumes {
			after = &request.AfterKey
		}
		records, size := r.slotRecords(now, slot, after, left)
		left -= size
		reply.Slots = append(reply.Slots, records)
		if !records.Complete {
			break
		}
	}
	reply.Term = r.ownTerm() // a corrupted record may have begun a new one
	return reply
}

// slotRecords copies the records of a slot after a key, for about maxBytes, and returns their
// estimated size in a message.
func (r *Replica) slotRecords(
	now float64, slot int, after *replicastore.Key, maxBytes int,
) (records SlotRecords, size int) {
	scan := r.store.Scan(slot, after, maxBytes)
	if !scan.Intact {
		r.resetSlot(now, slot)
	}
	records = SlotRecords{Slot: slot, CaughtUp: r.CaughtUp(slot), Complete: scan.Complete}
	for _, record := range scan.Records {
		records.Copies = append(records.Copies, RecordCopy{
			Record:     record,
			TimeToLive: max(0, record.ExpiresAt-now),
		})
		size += recordCopyOverhead + attemptCopyOverhead*len(record.Attempts)
		for i := range record.Attempts {
			size += len(record.Attempts[i].Result)
		}
	}
	return records, size
}

// HandlePullReply takes the reply of the member with index from; size is that of its message in
// bytes. A reply to an earlier request is ignored: the peer may have sent it before it knew this
// replica's term.
func (r *Replica) HandlePullReply(now float64, from int, reply *PullReply, size int) {
	peer := r.catchUp.peers[from]
	if peer == nil || reply.ConfigDigest != r.placement.ConfigDigest {
		return
	}
	if peer.sentAt == 0 || reply.Sequence != peer.sequence {
		return
	}
	if reply.RequesterTerm.Compare(r.ownTerm()) > 0 {
		r.observeTerms(now, []int{r.self}, []Term{reply.RequesterTerm})
		peer.abandonRequest()
		return
	}
	r.observeTerms(now, []int{from}, []Term{reply.Term})
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
		if slices.Contains(peer.requested, reply.Slots[i].Slot) {
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
		// The slot stays wanted: the peer may have caught up by then.
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
	if received.Record.Key.Slot() != slot || !(received.TimeToLive > 0) {
		return
	}
	// A copy is never kept longer than a new record, whatever the peer's clock or a delayed
	// message make of it.
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
	r.mergeIntoStore(stored, received.Record, ReplyRecorded)
}
