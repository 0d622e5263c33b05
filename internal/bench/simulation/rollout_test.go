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
			t.Errorf("seed %d: %+v", seed, row)
		}
		if row.Faults == 0 {
			t.Errorf("seed %d played no fault", seed)
		}
	}
}

// TestRunRollout_IsDeterministicForASeed: chance comes from the seed alone, the consensus library's
// too.
func TestRunRollout_IsDeterministicForASeed(t *testing.T) {
	plan := &RolloutPlan{Servers: 9, Voters: 3, Seconds: 30, Seed: 4}
	if a, b := RunRollout(plan), RunRollout(plan); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v, and again %+v", a, b)
	}
}

func TestRunRollout_CatchUpIsFastAndTrafficDoesNotGrow(t *testing.T) {
	small := RunRollout(&RolloutPlan{Servers: 15, Voters: 3, Seconds: 20, Seed: 2, NoFaults: true})
	large := RunRollout(&RolloutPlan{Servers: 150, Voters: 3, Seconds: 20, Seed: 2, NoFaults: true})
	for _, row := range []RolloutRow{small, large} {
		if row.Releases == 0 || row.Unhealed > 0 || row.CatchUpP99 > 2000 {
			t.Errorf("%+v", row)
		}
	}
	if large.BytesPerSecond > small.BytesPerSecond {
		t.Errorf("a server sends %.0f bytes a second among 150, %.0f among 15",
			large.BytesPerSecond, small.BytesPerSecond)
	}
}

// TestRunRollout_ClaimsHoldUnderFaults: with faults of all kinds, no key runs twice, and what is
// told of a run is what it came to.
func TestRunRollout_ClaimsHoldUnderFaults(t *testing.T) {
	row := RunRollout(&RolloutPlan{Servers: 12, Voters: 3, Seconds: 40, Seed: 5, KeyRate: 30})
	claims := row.Claims
	if claims.RepeatedRuns+claims.WrongResults+claims.ConflictingResults+claims.Unanswered+claims.SlotsOutOfSync > 0 {
		t.Errorf("%+v", claims)
	}
	if claims.Runs < 100 || slices.Contains(claims.Verdicts[:], 0) || row.Faults == 0 {
		t.Errorf("too little was tried: %+v", row)
	}
	if again := RunRollout(&RolloutPlan{Servers: 12, Voters: 3, Seconds: 40, Seed: 5, KeyRate: 30}); again != row {
		t.Errorf("another run of the seed differs: %+v, %+v", row, again)
	}
}
