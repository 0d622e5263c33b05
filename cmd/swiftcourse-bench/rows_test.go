package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"swiftcourse/internal/bench/keyclaims"
	"swiftcourse/internal/bench/quotas"
	"swiftcourse/internal/bench/rollouts"
	"swiftcourse/internal/bench/simulation"
)

func TestCells_MatchColumns(t *testing.T) {
	for _, c := range []struct {
		name    string
		columns []string
		row     row
	}{
		{"scenario", simulation.ClassColumns, simulation.ClassRow{}},
		{"simulated rollouts", simulation.RolloutColumns, simulation.RolloutRow{}},
		{"simulated quota", simulation.QuotaColumns, simulation.QuotaRow{}},
		{"simulated counters", simulation.CounterColumns, simulation.CounterRow{}},
		{"simulated levels", simulation.TwoLevelColumns, simulation.TwoLevelRow{}},
		{"rollouts", rollouts.Columns, rollouts.Row{}},
		{"key claims", keyclaims.Columns, keyclaims.Row{}},
		{"quotas", quotas.Columns, quotas.Row{}},
	} {
		if got := len(c.row.Cells()); got != len(c.columns) {
			t.Errorf("%s: got %d cells, want %d, one per column", c.name, got, len(c.columns))
		}
	}
}

func TestCheckSeeds(t *testing.T) {
	for _, c := range []struct {
		seeds int
		valid bool
	}{{0, false}, {1, true}, {1000, true}, {1001, false}, {-1, false}} {
		if err := checkSeeds(c.seeds, maxProcessSeeds); (err == nil) != c.valid {
			t.Errorf("%d seeds: got error %v, want valid %t with limit %d", c.seeds, err, c.valid, maxProcessSeeds)
		}
	}
}

func TestRunSeeds_ReturnsRowsOnError(t *testing.T) {
	failure := errors.New("fleet did not start")
	run := func(seed uint64) (simulation.CounterRow, error) {
		if seed == 7 {
			return simulation.CounterRow{}, failure
		}
		return simulation.CounterRow{Seed: seed}, nil
	}
	rows, err := runSeeds(context.Background(), seedFlags{Seed: 5, Seeds: 4}, run)
	if !errors.Is(err, failure) || len(rows) != 2 || rows[0].Seed != 5 || rows[1].Seed != 6 {
		t.Errorf("got rows %+v and error %v, want the rows of seeds 5 and 6 and error %v", rows, err, failure)
	}
}

func TestRunSeeds_StopsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	rows, err := runSeeds(ctx, seedFlags{Seed: 1, Seeds: 9}, func(seed uint64) (simulation.CounterRow, error) {
		if seed == 2 {
			cancel()
		}
		return simulation.CounterRow{Seed: seed}, nil
	})
	if err != nil || len(rows) != 2 {
		t.Errorf("got rows %+v and error %v, want 2 rows and no error", rows, err)
	}
}

func TestViolationError(t *testing.T) {
	if err := violationError([]simulation.CounterRow{{}, {}}); err != nil {
		t.Errorf("rows without violations: got error %v, want none", err)
	}
	if err := violationError([]simulation.CounterRow{{}, {Overcount: 3}}); err == nil {
		t.Error("a row with violations: got no error, want one")
	}
}

func TestWriteRows_ReturnsExperimentErrorAndWritesFile(t *testing.T) {
	failure := errors.New("experiment ended early")
	path := filepath.Join(t.TempDir(), "rows.json")
	rows := []simulation.CounterRow{{Seed: 3}}
	if err := writeRows(outputFlags{JSON: path}, simulation.CounterColumns, rows, failure); !errors.Is(err, failure) {
		t.Errorf("got error %v, want %v", err, failure)
	}
	if text, err := os.ReadFile(path); err != nil || len(text) == 0 {
		t.Errorf("JSON file: got content %q and error %v, want rows", text, err)
	}
}
