package replication

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/replicastore"
)

// TestClaims_NoKeyRunsTwice plays drawn schedules; the cluster itself checks each run.
func TestClaims_NoKeyRunsTwice(t *testing.T) {
	verdicts := map[serving.ClaimVerdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		c := playSchedule(t, rapid.Uint64().Draw(t, "seed"))
		for _, outcome := range c.outcomes {
			verdicts[outcome.Verdict]++
		}
	})
	for _, verdict := range []serving.ClaimVerdict{
		serving.ClaimGranted, serving.ClaimCached, serving.ClaimOutcomeUnknown, serving.ClaimNoQuorum,
	} {
		if verdicts[verdict] == 0 {
			t.Errorf("no request had the verdict %s: %v", verdict, verdicts)
		}
	}
}

func TestReplicas_ConvergeOnceHealed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := playSchedule(t, rapid.Uint64().Draw(t, "seed"))
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
			t.Fatalf("replicas differ 30 s after the last fault")
		}
		// One claim may still fail for good reason: its request has little time, or a message is an
		// old one. Five in a row may not.
		verdict := serving.ClaimNoQuorum
		for i := 0; i < 5 && verdict != serving.ClaimGranted; i++ {
			id := c.claim(c.nodes[0], replicastore.KeyOf("ping", fmt.Sprint("fresh", i)))
			c.advance(1.1)
			verdict = c.outcomes[id].Verdict
		}
		if verdict != serving.ClaimGranted {
			t.Fatalf("healed, five new keys in a row are not granted, the last verdict is %s", verdict)
		}
	})
}
