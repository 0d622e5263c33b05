package replication

import (
	"fmt"
	"slices"
	"testing"

	"swiftcourse/internal/replicastore"
)

func BenchmarkGrantAndEnd(b *testing.B) {
	replica := threeCaughtUpReplicas(b)[0]
	request := newClaimRequest(replica.placement, firstAttempt, initialTerms())
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now := float64(n) * 1e-4
		request.Key = replicastore.KeyOf("ping", fmt.Sprint(n))
		request.Operation = OpClaim
		request.Attempt = firstAttempt
		replica.HandleClaim(now, request)
		request.Operation = OpReport
		request.Attempt = replicastore.NewFinishedAttempt(firstAttempt.ClaimID, nil)
		replica.HandleClaim(now, request)
	}
}

// BenchmarkCatchUp measures how long a restarted replica takes to receive 100,000 records with
// results of 100 bytes from two others. BenchmarkPlainCopy is the baseline: it copies as many byte
// slices of 200 bytes, about the size of such a record with its key and attempt.
func BenchmarkCatchUp(b *testing.B) {
	const records = 100_000
	replicas := threeCaughtUpReplicas(b)
	fillStores(replicas[1:], records, 100)
	for b.Loop() {
		restarted := NewReplica(ReplicaConfig{
			Placement:   replicas[0].placement,
			Self:        0,
			Terms:       restartedTerms(),
			Store:       replicastore.NewStore(2*records, 1<<30),
			CatchUpRate: 1e12,
		}, 1)
		catchUpFrom(1, restarted, replicas[1], replicas[2])
		if count := restarted.store.Stats().Records; restarted.CatchingUpSlots() > 0 || count != records {
			b.Fatalf("still catching up on %d slots, want 0; got %d records, want %d",
				restarted.CatchingUpSlots(), count, records)
		}
	}
}

func BenchmarkPlainCopy(b *testing.B) {
	from := make([][]byte, 100_000)
	for i := range from {
		from[i] = make([]byte, 200)
	}
	for b.Loop() {
		to := make([][]byte, 0, len(from))
		for _, record := range from {
			to = append(to, slices.Clone(record))
		}
		if len(to) != len(from) {
			b.Fatalf("copied %d records, want %d", len(to), len(from))
		}
	}
}
