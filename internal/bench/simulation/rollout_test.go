package simulation

import (
	"reflect"
	"slices"
	"testing"
)

func TestRunRollout_InvariantsHoldUnderFaults(t *testing.T) {
	for seed := range uint64(12) {
		plan := &RolloutPlan{Servers: 5 + int(seed), Voters: 3, Seconds: 40, Seed: seed}
		if err := plan.Validate(); err != nil {
			t.Fatal(err)
		}
		row := RunRollout(plan)
		if row.ConflictingDigests+row.ServedWhileEjected+row.TooManyUnavailable+row.Unhealed > 0 {
			t.Errorf("seed %d: want no violated invariants: %+v", seed, row)
		}
		if row.Faults == 0 {
			t.Errorf("seed %d: no faults, want at least one", seed)
		}
	}
}

// All random numbers must come from the seed, those of the consensus library included.
func TestRunRollout_IsDeterministicForSeed(t *testing.T) {
	plan := &RolloutPlan{Servers: 9, Voters: 3, Seconds: 30, Seed: 4}
	if a, b := RunRollout(plan), RunRollout(plan); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs of a seed differ: %+v, %+v", a, b)
	}
}

func TestRunRollout_CatchUpLatencyAndTrafficPerServer(t *testing.T) {
	small := RunRollout(&RolloutPlan{Servers: 15, Voters: 3, Seconds: 20, Seed: 2, NoFaults: true})
	large := RunRollout(&RolloutPlan{Servers: 150, Voters: 3, Seconds: 20, Seed: 2, NoFaults: true})
	for _, row := range []RolloutRow{small, large} {
		if row.Releases == 0 || row.Unhealed > 0 || row.CatchUpP99 > 2000 {
			t.Errorf("want releases, no unhealed servers and a p99 catch-up of at most 2000 ms: %+v", row)
		}
	}
	if large.BytesPerSecond > small.BytesPerSecond {
		t.Errorf("a server sends %.0f bytes per second in a fleet of 150 and %.0f in one of 15, want no more",
			large.BytesPerSecond, small.BytesPerSecond)
	}
}

// Under faults of all kinds no key may run twice, and every returned result must be that of the
// key's run.
func TestRunRollout_ClaimInvariantsHoldUnderFaults(t *testing.T) {
	row := RunRollout(&RolloutPlan{Servers: 12, Voters: 3, Seconds: 40, Seed: 5, KeyRate: 30})
	claims := row.Claims
	if claims.RepeatedRuns+claims.WrongResults+claims.ConflictingResults+claims.Unanswered+claims.SlotsOutOfSync > 0 {
		t.Errorf("want no violated invariants of claims: %+v", claims)
	}
	if claims.Runs < 100 || slices.Contains(claims.Verdicts[:], 0) || row.Faults == 0 {
		t.Errorf("want at least 100 runs, every kind of verdict and a fault: %+v", row)
	}
	if again := RunRollout(&RolloutPlan{Servers: 12, Voters: 3, Seconds: 40, Seed: 5, KeyRate: 30}); again != row {
		t.Errorf("two runs of a seed differ: %+v, %+v", row, again)
	}
}
