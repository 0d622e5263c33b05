package replication

import (
	"maps"

	"swiftcourse/internal/replicastore"
)

const (
	// maxPullReplyBytes bounds the records in one PullReply: some tens of packets, a millisecond of
	// the sender's time.
	maxPullReplyBytes = 32 << 10
	// maxPullSlots bounds the slots of one PullRequest. Empty ones cost little, so that one round
	// trip does for many.
	maxPullSlots = 64
	// The size of a record in a PullReply is estimated as these, in bytes, plus its results.
	recordCopyOverhead  = 64
	attemptCopyOverhead = 48

	// pullRetryInterval is when a PullRequest without a reply is sent again, in seconds: longer than
	// almost all delays among servers that hear one another.
	pullRetryInterval = 0.5
	// catchingUpRetryInterval is when a peer that was catching up itself is asked again, in seconds.
	catchingUpRetryInterval = 0.25
)

// catchUpState tracks which records a replica still has to get from its peers, the members that
// share a slot with it: those of slots on which it catches up, and of slots whose checksums differ.
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

// peerSync tracks the pull requests of a replica to one peer. Times are in seconds.
type peerSync struct {
	wanted      map[int]bool     // slots
	request     *PullRequest     // the last one
	afterKey    replicastore.Key // of the last record received of a slot in part
	resumes     bool             // the first slot of request was received in part, up to afterKey
	partialTerm Term             // of the peer when it sent that part
	sentAt      float64          // of the request in flight, 0 if there is none
	notBefore   float64          // when the next request may be sent
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
	r.endCatchUpByTimeout(now)
	for _, member := range r.catchUp.peerOrder {
		peer := r.catchUp.peers[member]
		inFlight := peer.sentAt > 0 && now < peer.sentAt+pullRetryInterval
		if len(peer.wanted) > 0 && now >= peer.notBefore && !inFlight {
			r.sendPull(now, member, peer)
		}
	}
}

// endCatchUpByTimeout marks all slots caught up once it is certain without the peers.
func (r *Replica) endCatchUpByTimeout(now float64) {
	if now < r.catchUpTimeoutAt() {
		return
	}
	for slot := range r.catchUp.slots {
		r.markCaughtUp(slot)
		r.catchUp.caughtUpByTimeout++
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
