package main

import (
	"context"
	"fmt"
	"os"

	"swiftcourse/internal/bench/report"
)

// row is a line of an experiment's table.
type row interface {
	Cells() []string
}

// seedRow is the result of an experiment with one seed.
type seedRow interface {
	row
	Violations() int // number of violated invariants
}

// writeRows prints the table and, if output.JSON is set, writes the JSON file, even if the
// experiment ended early with err. It returns err, or if that is nil, the first error of its own.
func writeRows[R row](output outputFlags, columns []string, rows []R, err error) error {
	cells := make([][]string, 0, len(rows))
	for _, r := range rows {
		cells = append(cells, r.Cells())
	}
	if tableErr := report.WriteTable(os.Stdout, columns, cells); err == nil {
		err = tableErr
	}
	if output.JSON == "" {
		return err
	}
	if jsonErr := report.WriteJSON(output.JSON, rows); err == nil {
		err = jsonErr
	}
	return err
}

// runSeeds runs an experiment for each seed and returns their rows. It stops at the first error,
// and after the seed during which the context ended.
func runSeeds[R seedRow](ctx context.Context, seeds seedFlags, run func(seed uint64) (R, error)) ([]R, error) {
	var rows []R
	for i := range seeds.Seeds {
		result, err := run(seeds.Seed + uint64(i))
		if err != nil {
			return rows, err
		}
		rows = append(rows, result)
		if ctx.Err() != nil {
			break
		}
	}
	return rows, nil
}

// violationError returns an error if any row has violated invariants.
func violationError[R seedRow](rows []R) error {
	violations := 0
	for _, r := range rows {
		violations += r.Violations()
	}
	if violations > 0 {
		return fmt.Errorf("%d invariant violations over all seeds", violations)
	}
	return nil
}

// runAndWrite runs all seeds, writes their rows, and returns an error if there are violations. If
// the experiment fails for a seed, no rows are written.
func runAndWrite[R seedRow](ctx context.Context, seeds seedFlags, output outputFlags, columns []string,
	run func(seed uint64) (R, error)) error {
	rows, err := runSeeds(ctx, seeds, run)
	if err != nil {
		return err
	}
	return writeRows(output, columns, rows, violationError(rows))
}
