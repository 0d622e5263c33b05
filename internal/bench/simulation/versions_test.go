package simulation

import (
	"reflect"
	"slices"
	"testing"
)

func TestAFleetsVersionsInSimulatedTime(t *testing.T) {
	for seed := range uint64(12) {
		v := &Versions{Servers: 5 + int(seed), Voters: 3, Seconds: 40, Seed: seed}
		if err := v.Check(); err != nil {
			t.Fatal(err)
		}
		r := RunVersions(v)
		if r.TwoDigests+r.ActedOut+r.TooMany+r.Unhealed > 0 {
			t.Errorf("seed %d: %+v", seed, r)
		}
		if r.Faults == 0 {
			t.Errorf("seed %d played no fault", seed)
		}
	}
}

// TestTheSameSeedIsTheSameRun: chance comes from the seed alone, the consensus library's too.
func TestTheSameSeedIsTheSameRun(t *testing.T) {
	v := &Versions{Servers: 9, Voters: 3, Seconds: 30, Seed: 4}
	if a, b := RunVersions(v), RunVersions(v); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v, and again %+v", a, b)
	}
}

func TestCatchingUpIsSoonAndTalkDoesNotGrow(t *testing.T) {
	small := RunVersions(&Versions{Servers: 15, Voters: 3, Seconds: 20, Seed: 2, Quiet: true})
	large := RunVersions(&Versions{Servers: 150, Voters: 3, Seconds: 20, Seed: 2, Quiet: true})
	for _, r := range []VersionsRow{small, large} {
		if r.Releases == 0 || r.Unhealed > 0 || r.CatchUpP99 > 2000 {
			t.Errorf("%+v", r)
		}
	}
	if large.Bytes > small.Bytes {
		t.Errorf("a server sends %.0f bytes a second among 150, %.0f among 15", large.Bytes, small.Bytes)
	}
}

// TestClaimsInAFleetThatFails: with faults of all kinds, no key runs twice, and what is told of a run is what it came to.
func TestClaimsInAFleetThatFails(t *testing.T) {
	row := RunVersions(&Versions{Servers: 12, Voters: 3, Seconds: 40, Seed: 5, Keys: 30})
	k := row.Claimed
	if k.Twice+k.Wrong+k.Alarms+k.Untold+k.Differ > 0 {
		t.Errorf("%+v", k)
	}
	if k.Runs < 100 || slices.Contains(k.Told[:], 0) || row.Faults == 0 {
		t.Errorf("too little was tried: %+v", row)
	}
	if again := RunVersions(&Versions{Servers: 12, Voters: 3, Seconds: 40, Seed: 5, Keys: 30}); again != row {
		t.Errorf("another run of the seed differs: %+v, %+v", row, again)
	}
}

func TestABudgetOfAFleet(t *testing.T) {
	for seed := range uint64(2) {
		r := RunShared(&Shared{Servers: 20, Voters: 3, Seconds: 15, Seed: seed + 1})
		if r.Over > 0 {
			t.Errorf("seed %d: %.3f over the budget", r.Seed, r.Over)
		}
		if r.Used < 0.95 || r.UsedCut < 0.8 || r.UsedAfter < 0.95 || r.Divided > 0.8 {
			t.Errorf("seed %d: %.3f used, %.3f with a third silent, %.3f after the faults, %.3f by dividing", r.Seed, r.Used, r.UsedCut, r.UsedAfter, r.Divided)
		}
		if r.Silent < sharedFloor || r.HotAfter > 1000 {
			t.Errorf("seed %d: the silent serve %.3f of what they did, a jump took %.0f ms", r.Seed, r.Silent, r.HotAfter)
		}
	}
}
