package replication

import (
	"fmt"
	"testing"

	"swiftcourse/internal/replicastore"
)

var (
	testKey       = replicastore.KeyOf("ping", "k")
	firstAttempt  = replicastore.Attempt{ClaimID: replicastore.ClaimID{UnixMilli: 1, Incarnation: 7, Sequence: 1}}
	secondAttempt = replicastore.Attempt{ClaimID: replicastore.ClaimID{UnixMilli: 2, Incarnation: 8, Sequence: 1}}
)

// initialTerms returns the terms of three replicas; restartedTerms those after replica 0 restarted.
func initialTerms() TermTable   { return TermTable{{10, 1}, {10, 2}, {10, 3}} }
func restartedTerms() TermTable { return TermTable{{11, 4}, {10, 2}, {10, 3}} }

// threeCaughtUpReplicas returns three replicas of all slots, each with its own term table.
func threeCaughtUpReplicas(t testing.TB) []*Replica {
	t.Helper()
	placement := newTestPlacement(t, testConfig(3, 3))
	var replicas []*Replica
	for i := range 3 {
		replica := NewReplica(ReplicaConfig{
			Placement:   placement,
			Self:        i,
			Terms:       initialTerms(),
			Store:       newCorruptibleStore(200_000, 1<<30),
			CatchUpRate: 1e12,
		}, 0)
		for slot := range replicastore.SlotCount {
			replica.markCaughtUp(slot)
		}
		replicas = append(replicas, replica)
	}
	return replicas
}

// restartedReplica returns replica 0 of three, restarted at time 1 with an empty store.
func restartedReplica(placement *Placement, maxEntries, maxBytes int) *Replica {
	return NewReplica(ReplicaConfig{
		Placement:   placement,
		Self:        0,
		Terms:       restartedTerms(),
		Store:       replicastore.NewStore(maxEntries, maxBytes),
		CatchUpRate: 1e9,
	}, 1)
}

// catchUpFrom makes a replica pull from others until it sends no more requests.
func catchUpFrom(now float64, replica *Replica, others ...*Replica) {
	for range 100_000 {
		replica.Maintain(now)
		envelopes := replica.TakeOutbox()
		if len(envelopes) == 0 {
			return
		}
		for _, envelope := range envelopes {
			for _, other := range others {
				if other.self == envelope.To && envelope.Pull != nil {
					reply := other.HandlePull(now, replica.self, envelope.Pull)
					replica.HandlePullReply(now, other.self, reply, 1)
				}
			}
		}
		now += 1e-6
	}
}

// newClaimRequest returns a request to grant a claim of testKey.
func newClaimRequest(placement *Placement, attempt replicastore.Attempt, terms []Term) *ClaimRequest {
	return &ClaimRequest{
		ConfigDigest: placement.ConfigDigest,
		Operation:    OpClaim,
		Key:          testKey,
		Attempt:      attempt,
		Terms:        terms,
	}
}

// checkClaim checks the status of a replica's reply to a claim of testKey.
func checkClaim(
	t *testing.T, now float64, replica *Replica, attempt replicastore.Attempt, terms []Term, want ReplyStatus,
) {
	t.Helper()
	reply := replica.HandleClaim(now, newClaimRequest(replica.placement, attempt, terms))
	if reply.Status != want {
		t.Errorf("replica %d: reply to claim %v under terms %v has status %s, want %s",
			replica.self, attempt.ClaimID, terms, reply.Status, want)
	}
}

// fillStores stores records of finished attempts with results of resultSize bytes in all replicas.
func fillStores(replicas []*Replica, records, resultSize int) {
	for i := range records {
		id := replicastore.ClaimID{UnixMilli: int64(i), Incarnation: 1, Sequence: uint64(i)}
		record := replicastore.Record{
			Key:       replicastore.KeyOf("ping", fmt.Sprint(i)),
			ExpiresAt: 1e9,
			Attempts:  []replicastore.Attempt{replicastore.NewFinishedAttempt(id, make([]byte, resultSize))},
		}
		for _, replica := range replicas {
			replica.store.Put(record)
		}
	}
}

// TestReplica_NewTermFencesEarlierGrants guards against a quorum that includes a lost grant: a
// replica grants a claim and restarts without its records; after it has caught up, the
// coordinator requests the same claim from the other replicas under the terms known before the
// restart.
func TestReplica_NewTermFencesEarlierGrants(t *testing.T) {
	replicas := threeCaughtUpReplicas(t)
	placement := replicas[0].placement
	checkClaim(t, 1, replicas[0], firstAttempt, initialTerms(), ReplyGranted)
	restarted := restartedReplica(placement, 100, 1<<20)
	checkClaim(t, 1, restarted, secondAttempt, restartedTerms(), ReplyCatchingUp)
	catchUpFrom(1, restarted, replicas[1], replicas[2])
	if !restarted.CaughtUp(testKey.Slot()) {
		t.Fatal("the restarted replica has not caught up on the slot of testKey after pulling from two peers")
	}
	for _, replica := range replicas[1:] {
		checkClaim(t, 1.5, replica, firstAttempt, initialTerms(), ReplyStaleTerm)
	}
	for _, replica := range []*Replica{restarted, replicas[1]} {
		checkClaim(t, 1.6, replica, secondAttempt, restartedTerms(), ReplyGranted)
	}
	for _, replica := range []*Replica{restarted, replicas[1]} {
		checkClaim(t, 1.7, replica, firstAttempt, restartedTerms(), ReplyConflict)
	}
}

// TestReplica_CorruptedRecordStartsNewTerm checks that a replica with a corrupted record begins a
// new term and catches up on that slot only, and that its peers then refuse claims under its
// earlier term.
func TestReplica_CorruptedRecordStartsNewTerm(t *testing.T) {
	replicas := threeCaughtUpReplicas(t)
	checkClaim(t, 1, replicas[0], firstAttempt, initialTerms(), ReplyGranted)
	replicas[0].store.(*corruptibleStore).flipBit(testKey)
	reply := replicas[0].HandleClaim(1.1, newClaimRequest(replicas[0].placement, secondAttempt, initialTerms()))
	if reply.Status != ReplyStaleTerm || reply.Terms[0].Number != 11 {
		t.Fatalf("reply has status %s and terms %v, want %s and term 11 of replica 0",
			reply.Status, reply.Terms, ReplyStaleTerm)
	}
	slot := testKey.Slot()
	corrupted, other := replicas[0].CaughtUp(slot), replicas[0].CaughtUp(slot^1)
	if corrupted || !other {
		t.Fatalf("caught up on the corrupted slot: %t, want false; on another slot: %t, want true", corrupted, other)
	}
	catchUpFrom(2, replicas[0], replicas[1], replicas[2])
	checkClaim(t, 2, replicas[1], firstAttempt, initialTerms(), ReplyStaleTerm)
}
