package replication

import (
	"testing"

	"swiftcourse/internal/policy/serving"
)

// TestCoordinator_CountsGrantsUnderOneTermListOnly guards against a quorum of grants under
// different terms. Replicas 0 and 2 grant under the terms from before replica 0 was replaced, and
// replica 1 under the later terms. There is a quorum only once replica 2 grants under the later
// terms too.
func TestCoordinator_CountsGrantsUnderOneTermListOnly(t *testing.T) {
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
	receive(0, ReplyGranted, before) // duplicate of the replaced replica's grant
	receive(2, ReplyGranted, before)
	if outcomes := coordinator.TakeOutcomes(); len(outcomes) > 0 {
		t.Fatalf("outcomes %v without a quorum of grants under one list of terms, want none", outcomes)
	}
	receive(2, ReplyGranted, after)
	outcomes := coordinator.TakeOutcomes()
	if len(outcomes) != 1 || outcomes[0].Verdict != serving.ClaimGranted {
		t.Errorf("outcomes %v after a quorum of grants, want one with verdict %s", outcomes, serving.ClaimGranted)
	}
}
