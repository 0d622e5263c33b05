package replication

import (
	"testing"

	"swiftcourse/internal/policy/serving"
)

// TestCoordinator_GrantsCountUnderOneTermList forces this order: one replica grants under the terms
// before a replica was replaced, two others under the terms after it.
func TestCoordinator_GrantsCountUnderOneTermList(t *testing.T) {
	placement := newTestPlacement(t, testConfig(3, 3))
	unixTime := func() float64 { return 1 }
	coordinator := NewCoordinator(placement, make(TermTable, 3), 7, unixTime, 0)
	coordinator.StartClaim(0, "t", testKey, 1)
	claimID := coordinator.TakeOutbox()[0].Claim.Attempt.ClaimID
	receive := func(from int, status ReplyStatus, terms []Term) {
		reply := &ClaimReply{Key: testKey, ClaimID: claimID, Status: status, Terms: terms}
		coordinator.HandleReply(0.01, from, reply)
	}
	before := []Term{{10, 1}, {10, 2}, {10, 3}}
	after := []Term{{11, 4}, {10, 2}, {10, 3}}
	receive(0, ReplyStaleTerm, before)
	receive(0, ReplyGranted, before)
	receive(1, ReplyStaleTerm, after)
	receive(1, ReplyGranted, after)
	receive(0, ReplyGranted, before) // the replaced replica's grant, once more
	receive(2, ReplyGranted, before)
	if outcomes := coordinator.TakeOutcomes(); len(outcomes) > 0 {
		t.Fatalf("outcomes %v by one grant under each list of terms", outcomes)
	}
	receive(2, ReplyGranted, after)
	outcomes := coordinator.TakeOutcomes()
	if len(outcomes) != 1 || outcomes[0].Verdict != serving.ClaimGranted {
		t.Errorf("outcomes %v, want one that is granted", outcomes)
	}
}
