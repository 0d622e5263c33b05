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

// initialTerms are those of three replicas, and restartedTerms those after the first restarted.
func initialTerms() TermTable   { return TermTable{{10, 1}, {10, 2}, {10, 3}} }
func restartedTerms() TermTable { return TermTable{{11, 4}, {10, 2}, {10, 3}} }

// threeCaughtUpReplicas returns replicas that all hold each slot, each with its own term table.
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

// restartedReplica returns the first of three replicas as it restarts at time 1 with an empty store.
func restartedReplica(placement *Placement, maxEntries, maxBytes int) *Replica {
	return NewReplica(ReplicaConfig{
		Placement:   placement,
		Self:        0,
		Terms:       restartedTerms(),
		Store:       replicastore.NewStore(maxEntries, maxBytes),
		CatchUpRate: 1e9,
	}, 1)
}

// catchUpFrom has a replica pull from others until it has nothing more to ask.
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

// claimRequest asks for a grant of the test key.
func claimRequest(placement *Placement, attempt replicastore.Attempt, terms []Term) *ClaimRequest {
	return &ClaimRequest{
		ConfigDigest: placement.ConfigDigest,
		Operation:    OpClaim,
		Key:          testKey,
		Attempt:      attempt,
		Terms:        terms,
	}
}

// checkClaim checks the status of a replica's reply to a claim.
func checkClaim(
	t *testing.T, now float64, replica *Replica, attempt replicastore.Attempt, terms []Term, want ReplyStatus,
) {
	t.Helper()
	reply := replica.HandleClaim(now, claimRequest(replica.placement, attempt, terms))
	if reply.Status != want {
		t.Errorf("replica %d answers claim %v under terms %v with %s, want %s",
			replica.self, attempt.ClaimID, terms, reply.Status, want)
	}
}

// fillStores stores records of keys that ran, with results of some size.
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

// TestReplica_NewTermFencesEarlierGrants forces this order: a coordinator has the grant of a replica
// that stops, and asks the next one after the replica has restarted and caught up.
func TestReplica_NewTermFencesEarlierGrants(t *testing.T) {
	replicas := threeCaughtUpReplicas(t)
	placement := replicas[0].placement
	checkClaim(t, 1, replicas[0], firstAttempt, initialTerms(), ReplyGranted)
	restarted := restartedReplica(placement, 100, 1<<20)
	checkClaim(t, 1, restarted, secondAttempt, restartedTerms(), ReplyCatchingUp)
	catchUpFrom(1, restarted, replicas[1], replicas[2])
	if !restarted.CaughtUp(testKey.Slot()) {
		t.Fatal("the restarted replica has not caught up")
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

// TestReplica_CorruptedRecordStartsNewTerm: a replica that lost a record catches up on its slot,
// and the others fence its earlier grants.
func TestReplica_CorruptedRecordStartsNewTerm(t *testing.T) {
	replicas := threeCaughtUpReplicas(t)
	checkClaim(t, 1, replicas[0], firstAttempt, initialTerms(), ReplyGranted)
	replicas[0].store.(*corruptibleStore).flipBit(testKey)
	reply := replicas[0].HandleClaim(1.1, claimRequest(replicas[0].placement, secondAttempt, initialTerms()))
	if reply.Status != ReplyStaleTerm || reply.Terms[0].Number != 11 {
		t.Fatalf("the reply is %s with terms %v", reply.Status, reply.Terms)
	}
	slot := testKey.Slot()
	corrupted, other := replicas[0].CaughtUp(slot), replicas[0].CaughtUp(slot^1)
	if corrupted || !other {
		t.Fatalf("caught up on the corrupted slot: %t, on another: %t", corrupted, other)
	}
	catchUpFrom(2, replicas[0], replicas[1], replicas[2])
	checkClaim(t, 2, replicas[1], firstAttempt, initialTerms(), ReplyStaleTerm)
}
