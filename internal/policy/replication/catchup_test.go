package replication

import (
	"testing"

	"swiftcourse/internal/replicastore"
)

// TestReplica_LatePullReplyIgnored checks that a pull reply does not count for the catch-up if it
// answers a request of an earlier term, whether it arrives once or twice.
func TestReplica_LatePullReplyIgnored(t *testing.T) {
	replicas := threeCaughtUpReplicas(t)
	placement := replicas[0].placement
	restarted := restartedReplica(placement, 100, 1<<20)
	restarted.Maintain(1)
	var late []*PullReply
	for _, envelope := range restarted.TakeOutbox() {
		late = append(late, replicas[envelope.To].HandlePull(1, 0, envelope.Pull))
	}
	restarted.observeTerms(1, []int{0}, []Term{{20, 9}}) // a later term of the replica, of another incarnation
	if number := restarted.ownTerm().Number; number != 21 {
		t.Fatalf("after observing term 20 of another incarnation the replica is in term %d, want 21", number)
	}
	restarted.Maintain(2)
	if again := restarted.TakeOutbox(); len(again) == 0 || again[0].Pull.Sequence == late[0].Sequence {
		t.Errorf("in the new term the replica sends %+v, want a pull request with a new sequence number", again)
	}
	for i, reply := range late {
		restarted.HandlePullReply(2, i+1, reply, 1)
		restarted.HandlePullReply(2, i+1, reply, 1)
	}
	if slots := len(placement.SlotsOf(0)); restarted.CatchingUpSlots() != slots {
		t.Errorf("catching up on %d slots after late replies, want all %d", restarted.CatchingUpSlots(), slots)
	}
}

// TestReplica_CatchUpResumesAfterLoss checks that a replica gets all records although every third
// pull reply is lost and a peer loses the records of a slot during the catch-up.
func TestReplica_CatchUpResumesAfterLoss(t *testing.T) {
	const records = 3000
	replicas := threeCaughtUpReplicas(t)
	fillStores(replicas[1:], records, 40)
	restarted := restartedReplica(replicas[0].placement, 10_000, 1<<24)
	now := 1.0
	lost := 0
	for n := 0; restarted.CatchingUpSlots() > 0 && n < 10_000; n++ {
		restarted.Maintain(now)
		for _, envelope := range restarted.TakeOutbox() {
			if envelope.Pull == nil {
				continue
			}
			reply := replicas[envelope.To].HandlePull(now, 0, envelope.Pull)
			if n%3 > 0 {
				restarted.HandlePullReply(now, envelope.To, reply, 1)
			} else {
				lost++
			}
			if n == 4 {
				replicas[1].resetSlot(now, 200)
				catchUpFrom(now, replicas[1], replicas[2])
			}
		}
		now += 0.05
	}
	if count := restarted.store.Stats().Records; count != records || lost == 0 {
		t.Errorf("got %d records, want %d; %d replies were lost, want at least 1", count, records, lost)
	}
	for slot := range replicastore.SlotCount {
		if restarted.Checksum(slot) != replicas[2].Checksum(slot) {
			t.Fatalf("slot %d has checksum %x, want %x as on the peer",
				slot, restarted.Checksum(slot), replicas[2].Checksum(slot))
		}
	}
}

// TestReplica_PullsPartialSlotAgainWhenPeerReplaced checks that a partially received slot is pulled
// again from its start if the peer was replaced meanwhile, because the new incarnation may lack
// records that the previous one had.
func TestReplica_PullsPartialSlotAgainWhenPeerReplaced(t *testing.T) {
	replicas := threeCaughtUpReplicas(t)
	slot := testKey.Slot()
	for n := range 40 { // too many for one reply
		key := testKey
		key[15] = byte(n)
		id := replicastore.ClaimID{UnixMilli: 1, Incarnation: 1, Sequence: uint64(n)}
		replicas[1].store.Put(replicastore.Record{
			Key:       key,
			ExpiresAt: 1e9,
			Attempts:  []replicastore.Attempt{replicastore.NewFinishedAttempt(id, make([]byte, 4000))},
		})
	}
	restarted := restartedReplica(replicas[0].placement, 10_000, 1<<24)
	peer := restarted.catchUp.peers[1]
	pull := func() *PullReply {
		restarted.sendPull(1, 1, peer)
		envelopes := restarted.TakeOutbox()
		return replicas[1].HandlePull(1, 0, envelopes[len(envelopes)-1].Pull)
	}
	peer.wantedSlots = map[int]bool{slot: true}
	pull()
	reply := pull() // a retry; a reply to either request is accepted
	restarted.HandlePullReply(1, 1, reply, 1)
	if restarted.catchUp.lastSequence != 1 {
		t.Errorf("a request and its retry used %d sequence numbers, want 1", restarted.catchUp.lastSequence)
	}
	if !peer.resumes || reply.Slots[0].Complete {
		t.Fatal("the first reply completed the slot, want a part of it")
	}
	replicas[1].terms[1] = Term{12, 9}
	restarted.HandlePullReply(1, 1, pull(), 1)
	if peer.resumes || len(restarted.catchUp.slots[slot].receivedFrom) > 0 {
		t.Error("the replica resumes the partial slot with the peer's next incarnation, want a pull from its start")
	}
}
