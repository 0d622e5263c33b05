package replication

import (
	"maps"

	"swiftcourse/internal/replicastore"
)

const (
	// maxPullReplyBytes bounds the estimated size of the records in one PullReply: a few tens of
	// packets, which take the sender about 1 ms.
	maxPullReplyBytes = 32 << 10
	// maxPullSlots bounds the slots of one PullRequest. Empty slots cost little, so one round trip
	// can cover many of them.
	maxPullSlots = 64
	// The estimated size of a record in a PullReply is recordCopyOverheadBytes, plus
	// attemptCopyOverheadBytes for each attempt, plus the lengths of the results.
	recordCopyOverheadBytes  = 64
	attemptCopyOverheadBytes = 48

	// pullRetryIntervalSeconds is how long a replica waits for the reply to a PullRequest before
	// it sends the request again. Replies of reachable servers almost always take less.
	pullRetryIntervalSeconds = 0.5
	// catchingUpRetryIntervalSeconds is how long a replica waits before it sends the next
	// PullRequest to a peer that was itself catching up.
	catchingUpRetryIntervalSeconds = 0.25
)

// catchUpState tracks which slots a replica still has to pull from its peers, the members that
// share a slot with it: slots on which it is catching up and slots whose checksums differ.
type catchUpState struct {
	slots             map[int]*slotProgress // slots on which the replica is catching up
	startedAt         float64               // when the latest catch-up began, in seconds
	peers             map[int]*peerSync     // by member index
	sortedPeers       []int                 // member indexes of the peers, ascending
	lastSequence      uint64                // of the pull requests sent
	caughtUpByPeers   int                   // slots completed with the records of enough peers
	caughtUpByTimeout int                   // slots completed by timeout
}

// slotProgress is a replica's progress in catching up on one slot.
type slotProgress struct {
	receivedFrom map[int]Term // by member index: term of each caught-up peer that sent the whole slot
}

// peerSync tracks a replica's pull requests to one peer. Times are in seconds.
type peerSync struct {
	wantedSlots   map[int]bool     // slots to pull from the peer
	lastRequest   *PullRequest     // the request in flight, or else the latest one sent
	afterKey      replicastore.Key // last key received of a partially received slot
	resumes       bool             // the next request continues a slot after afterKey
	partialTerm   Term             // the peer's term when it sent the partial slot
	sentAt        float64          // when the request in flight was sent, 0 if none is
	nextRequestAt float64          // earliest time of the next request
}

// abandonRequest discards the request in flight and the position within a partially received slot.
func (p *peerSync) abandonRequest() {
	p.sentAt = 0
	p.resumes = false
}

// CaughtUp reports whether the replica has caught up on a slot, so that it may grant claims of the
// slot's keys and answer queries for them.
func (r *Replica) CaughtUp(slot int) bool { return r.catchUp.slots[slot] == nil }

// CatchingUpSlots returns the number of slots on which the replica has not caught up yet.
func (r *Replica) CatchingUpSlots() int { return len(r.catchUp.slots) }

// OutOfSyncSlots returns the number of slots that the replica still has to pull from a peer.
func (r *Replica) OutOfSyncSlots() int {
	slots := map[int]bool{}
	for _, peer := range r.catchUp.peers {
		maps.Copy(slots, peer.wantedSlots)
	}
	return len(slots)
}

// startCatchUp makes the replica catch up on slots. Until then it grants no claims of their keys and
// answers no queries for them.
func (r *Replica) startCatchUp(now float64, slots []int) {
	r.catchUp.startedAt = now
	for _, slot := range slots {
		r.catchUp.slots[slot] = &slotProgress{receivedFrom: map[int]Term{}}
		for _, member := range r.otherReplicas(slot) {
			peer := r.catchUp.peers[member]
			peer.wantedSlots[slot] = true
			peer.abandonRequest() // the request in flight carries the previous term
		}
	}
}

// markCaughtUp ends the catch-up on a slot, and the pulls of the slot from peers.
func (r *Replica) markCaughtUp(slot int) {
	delete(r.catchUp.slots, slot)
	for _, member := range r.otherReplicas(slot) {
		delete(r.catchUp.peers[member].wantedSlots, slot)
	}
}

// catchUpTimeoutAt returns when catch-up ends without the peers, in seconds. By then the retention
// window of every claim that was granted before the replica's term began has passed.
func (r *Replica) catchUpTimeoutAt() float64 {
	return r.catchUp.startedAt + r.placement.RetentionWindow + 2*r.placement.MaxClaimDuration
}

// maintainCatchUp sends the pull requests that are due and ends a catch-up that timed out.
func (r *Replica) maintainCatchUp(now float64) {
	r.endCatchUpByTimeout(now)
	for _, member := range r.catchUp.sortedPeers {
		peer := r.catchUp.peers[member]
		inFlight := peer.sentAt > 0 && now < peer.sentAt+pullRetryIntervalSeconds
		if len(peer.wantedSlots) > 0 && now >= peer.nextRequestAt && !inFlight {
			r.sendPull(now, member, peer)
		}
	}
}

// endCatchUpByTimeout marks all slots as caught up once catchUpTimeoutAt has passed.
func (r *Replica) endCatchUpByTimeout(now float64) {
	if now < r.catchUpTimeoutAt() {
		return
	}
	for slot := range r.catchUp.slots {
		r.markCaughtUp(slot)
		r.catchUp.caughtUpByTimeout++
	}
}

// nextCatchUpWakeup returns when maintainCatchUp must next be called, in seconds.
func (r *Replica) nextCatchUpWakeup(now float64) float64 {
	next := never
	if len(r.catchUp.slots) > 0 {
		next = r.catchUpTimeoutAt()
	}
	for _, peer := range r.catchUp.peers {
		switch {
		case len(peer.wantedSlots) == 0:
		case peer.sentAt > 0:
			next = min(next, peer.sentAt+pullRetryIntervalSeconds)
		default:
			next = min(next, max(now, peer.nextRequestAt))
		}
	}
	return next
}
