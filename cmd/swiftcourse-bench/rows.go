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

// seedRow is the result of one seed, which counts its violations.
type seedRow interface {
	row
	Violations() int
}

// writeRows prints the table and writes the JSON file if one is asked for, also of an experiment that
// ended early with err. It returns err, or the first error of its own if err is nil.
func writeRows[R row](output outputFlags, columns []string, rows []R, err error) error {
	cells := make([][]string, 0, len(rows))
	for _, one := range rows {
		cells = append(cells, one.Cells())
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

// runSeeds runs an experiment for each seed and returns the rows of those that ended without an
// error. It stops after the seed at which the context ended.
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

// violationError returns an error if any row has violations.
func violationError[R seedRow](rows []R) error {
	violations := 0
	for _, one := range rows {
		violations += one.Violations()
	}
	if violations > 0 {
		return fmt.Errorf("%d violations", violations)
	}
	return nil
}

// runAndWrite runs all seeds, prints their rows, and returns an error if there are violations.
// Nothing is printed if a seed could not be run.
func runAndWrite[R seedRow](ctx context.Context, seeds seedFlags, output outputFlags, columns []string,
	run func(seed uint64) (R, error)) error {
	rows, err := runSeeds(ctx, seeds, run)
	if err != nil {
		return err
	}
	return writeRows(output, columns, rows, violationError(rows))
}
