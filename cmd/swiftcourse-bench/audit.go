package main

import (
	"context"
	"fmt"
	"os"

	"swiftcourse/internal/bench/rollouts"
)

// auditCommand compares the audit of a fleet of processes with the servers' logs, under faults.
type auditCommand struct {
	serverFlags
	logFlags
	outputFlags
	seedFlags
	Servers int     `help:"Server processes." default:"5"`
	Seconds float64 `help:"Seconds during which versions are released and faults are injected." default:"8"`
	Rate    float64 `help:"Requests per second to each server." default:"40"`
	Faults  bool    `help:"Inject faults; --no-faults only releases versions." default:"true" negatable:""`
}

// Run releases configurations to a fleet of processes under faults. It prints violations but
// returns no error for them.
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
		fmt.Fprintf(os.Stderr, "seed %d: %d invariant violations; to reproduce: "+
			"swiftcourse-bench audit --servers %d --seconds %g --seed %d --log\n",
			seed, violations, c.Servers, c.Seconds, seed)
	}
	return result, nil
}
