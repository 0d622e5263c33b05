package main

import (
	"context"
	"fmt"
	"os"

	"swiftcourse/internal/bench/rollouts"
)

// auditCommand compares the audit of a fleet of processes with its logs under faults.
type auditCommand struct {
	serverFlags
	logFlags
	outputFlags
	seedFlags
	Servers int     `help:"Processes." default:"5"`
	Seconds float64 `help:"How long releases and faults go on." default:"8"`
	Rate    float64 `help:"Requests a second and server." default:"40"`
	Faults  bool    `help:"Faults; --no-faults has releases alone." default:"true" negatable:""`
}

// Run releases configurations to a fleet of processes under faults. Violations are printed but are
// no error.
func (c *auditCommand) Run(ctx context.Context) error {
	if err := checkSeeds(c.Seeds, maxProcessSeeds); err != nil {
		return err
	}
	rows, err := runSeeds(ctx, c.seedFlags, func(seed uint64) (rollouts.Row, error) { return c.runSeed(ctx, seed) })
	return writeRows(c.outputFlags, rollouts.Columns, rows, err)
}

func (c *auditCommand) runSeed(ctx context.Context, seed uint64) (rollouts.Row, error) {
	plan := &rollouts.Plan{
		Program:     c.Server,
		Servers:     c.Servers,
		Seconds:     c.Seconds,
		Seed:        seed,
		NoFaults:    !c.Faults,
		RequestRate: c.Rate,
		Log:         c.writer(),
	}
	if err := plan.Validate(); err != nil {
		return rollouts.Row{}, err
	}
	result, err := rollouts.Run(ctx, plan)
	if err != nil {
		return result, err
	}
	if violations := result.Violations(); violations > 0 {
		fmt.Fprintf(os.Stderr, "seed %d: %d violations; to see it again: "+
			"swiftcourse-bench audit --servers %d --seconds %g --seed %d --log\n",
			seed, violations, c.Servers, c.Seconds, seed)
	}
	return result, nil
}
