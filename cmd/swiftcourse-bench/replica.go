package main

import (
	"context"
	"fmt"
	"os"

	"swiftcourse/internal/bench/keyclaims"
)

// replicaCommand measures claims of idempotency keys by server processes under faults.
type replicaCommand struct {
	serverFlags
	logFlags
	outputFlags
	seedFlags
	Servers           int     `help:"Server processes, all of them replicas." default:"5"`
	ReplicationFactor int     `name:"copies" help:"Replicas of each key." default:"3"`
	Kills             int     `help:"Kills, each followed by a restart." default:"5"`
	Seconds           float64 `help:"Seconds during which faults are injected." default:"10"`
	Rate              float64 `help:"Attempts per second, over all servers." default:"60"`
	Faults            bool    `help:"Inject pauses, partitions and loss, not only kills." default:"true" negatable:""`
	CrashPoints       bool    `name:"points" help:"Two servers crash repeatedly, at trace points drawn from the seed."`
	MeasureCost       bool    `name:"cost" help:"First measure the latency that claims add to a request."`
}

// Run sends attempts with the same keys to several servers under faults.
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
		ReplicationFactor: c.ReplicationFactor,
		Kills:             c.Kills,
		Seconds:           c.Seconds,
		Seed:              seed,
		KillsOnly:         !c.Faults,
		CrashPoints:       c.CrashPoints,
		MeasureCost:       c.MeasureCost,
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
		fmt.Fprintf(os.Stderr, "seed %d: %d invariant violations; to reproduce: "+
			"swiftcourse-bench replica --servers %d --copies %d --kills %d --seconds %g --seed %d --log\n",
			seed, violations, c.Servers, c.ReplicationFactor, c.Kills, c.Seconds, seed)
	}
	return result, nil
}
