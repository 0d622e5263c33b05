package replication

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/replicastore"
)

// TestClaims_NoKeyRunsTwice simulates drawn schedules. node.run fails the test if a key runs
// twice within the retention window.
func TestClaims_NoKeyRunsTwice(t *testing.T) {
	verdicts := map[serving.ClaimVerdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		c := runSchedule(t, rapid.Uint64().Draw(t, "seed"))
		for _, outcome := range c.outcomes {
			verdicts[outcome.Verdict]++
		}
	})
	for _, verdict := range []serving.ClaimVerdict{
		serving.ClaimGranted, serving.ClaimCached, serving.ClaimOutcomeUnknown, serving.ClaimNoQuorum,
	} {
		if verdicts[verdict] == 0 {
			t.Errorf("no request had verdict %s, want at least 1; verdicts: %v", verdict, verdicts)
		}
	}
}

func TestReplicas_ConvergeAfterNetworkHeals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := runSchedule(t, rapid.Uint64().Draw(t, "seed"))
		c.healNetwork()
		for _, n := range c.nodes {
			if !n.up {
				n.start()
			}
		}
		for range 60 {
			c.advance(0.5)
			if c.converged() {
				break
			}
		}
		if !c.converged() {
			t.Fatalf("replicas have not converged 30 s after the last fault, want all caught up with equal checksums")
		}
		// A single claim may still fail, because its request has little time or because of a message
		// from before the network healed. Five in a row must not fail.
		verdict := serving.ClaimNoQuorum
		for i := 0; i < 5 && verdict != serving.ClaimGranted; i++ {
			id := c.claim(c.nodes[0], replicastore.KeyOf("ping", fmt.Sprint("fresh", i)))
			c.advance(1.1)
			verdict = c.outcomes[id].Verdict
		}
		if verdict != serving.ClaimGranted {
			t.Fatalf("claims of five new keys in a row failed in a healed network; last verdict %s, want %s",
				verdict, serving.ClaimGranted)
		}
	})
}
