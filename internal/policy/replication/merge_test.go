package replication

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/replicastore"
)

// drawRecord draws a record with up to 4 attempts. The range of ClaimIDs is small, so that two drawn
// records often have attempts in common.
func drawRecord(t *rapid.T, label string) *replicastore.Record {
	record := &replicastore.Record{ExpiresAt: rapid.Float64Range(0, 9).Draw(t, label+" expiry")}
	for n := range rapid.IntRange(0, 4).Draw(t, label+" attempts") {
		id := replicastore.ClaimID{
			UnixMilli:   int64(n),
			Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
			Sequence:    1,
		}
		attempt := replicastore.Attempt{
			ClaimID: id,
			State:   replicastore.AttemptState(rapid.IntRange(0, 2).Draw(t, "state")),
		}
		if rapid.Bool().Draw(t, "finished") {
			result := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "result")
			attempt = replicastore.NewFinishedAttempt(id, []byte(result))
			if rapid.Bool().Draw(t, "dropped") {
				attempt.Result = nil
			}
		}
		record.Attempts = append(record.Attempts, attempt)
	}
	return record
}

func TestMerge_IndependentOfOrder(t *testing.T) {
	merge := func(x, y *replicastore.Record) *replicastore.Record {
		merged := Merge(x, y)
		return &merged
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		for _, law := range []struct {
			name string
			x, y *replicastore.Record
		}{
			{"commutativity", merge(a, b), merge(b, a)},
			{"associativity", merge(a, merge(b, c)), merge(merge(a, b), c)},
			{"idempotence", merge(a, merge(a, b)), merge(a, b)},
			{"equality of Merge(a, nil) and Merge(a, a)", merge(a, nil), merge(a, a)},
		} {
			if !reflect.DeepEqual(law.x, law.y) {
				t.Fatalf("Merge violates %s: got %+v and %+v, want equal records", law.name, law.x, law.y)
			}
		}
		for _, merged := range merge(a, b).Attempts {
			checkStateNotLowered(t, merged, a)
			checkStateNotLowered(t, merged, b)
		}
	})
}

// checkStateNotLowered checks that the state of a merged attempt is not lower than in the given
// copy.
func checkStateNotLowered(t *rapid.T, merged replicastore.Attempt, from *replicastore.Record) {
	t.Helper()
	for _, attempt := range from.Attempts {
		if attempt.ClaimID == merged.ClaimID && attempt.State > merged.State {
			t.Fatalf("Merge lowered the state of attempt %+v: got %+v, want state %s or higher",
				attempt, merged, attempt.State)
		}
	}
}
