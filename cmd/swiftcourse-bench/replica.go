package main

import (
	"context"
	"fmt"
	"os"

	"swiftcourse/internal/bench/keyclaims"
)

// replicaCommand has processes claim keys under faults.
type replicaCommand struct {
	serverFlags
	logFlags
	outputFlags
	seedFlags
	Servers int     `help:"Processes; all of them are replicas." default:"5"`
	Copies  int     `help:"Replicas of each key." default:"3"`
	Kills   int     `help:"Kills, each with a restart." default:"5"`
	Seconds float64 `help:"How long faults go on." default:"10"`
	Rate    float64 `help:"Attempts a second, over all servers." default:"60"`
	Faults  bool    `help:"Pauses, partitions and losses too; --no-faults has kills alone." default:"true" negatable:""`
	Points  bool    `help:"Two servers crash again and again at trace points that the seed draws."`
	Cost    bool    `help:"Measure first what claims add to latency."`
}

// Run sends attempts of the same keys to several servers under faults.
func (c *replicaCommand) Run(ctx context.Context) error {
	if err := checkSeeds(c.Seeds, maxProcessSeeds); err != nil {
		return err
	}
	rows, err := runSeeds(ctx, c.seedFlags, func(seed uint64) (keyclaims.Row, error) { return c.runSeed(ctx, seed) })
	if err == nil {
		err = violationError(rows)
	}
	return writeRows(c.outputFlags, keyclaims.Columns, rows, err)
}

func (c *replicaCommand) runSeed(ctx context.Context, seed uint64) (keyclaims.Row, error) {
	plan := &keyclaims.Plan{
		Program:           c.Server,
		Servers:           c.Servers,
		ReplicationFactor: c.Copies,
		Kills:             c.Kills,
		Seconds:           c.Seconds,
		Seed:              seed,
		KillsOnly:         !c.Faults,
		CrashPoints:       c.Points,
		MeasureCost:       c.Cost,
		AttemptRate:       c.Rate,
		Log:               c.writer(),
	}
	if err := plan.Validate(); err != nil {
		return keyclaims.Row{}, err
	}
	result, err := keyclaims.Run(ctx, plan)
	if err != nil {
		return result, err
	}
	if violations := result.Violations(); violations > 0 {
		fmt.Fprintf(os.Stderr, "seed %d: %d violations; to see it again: "+
			"swiftcourse-bench replica --servers %d --copies %d --kills %d --seconds %g --seed %d --log\n",
			seed, violations, c.Servers, c.Copies, c.Kills, c.Seconds, seed)
	}
	return result, nil
}
