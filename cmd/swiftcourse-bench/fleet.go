package main

import (
	"context"

	"swiftcourse/internal/bench/twolevel"
)

// fleetCommand runs a two-level fleet of forwarders and workers, with planners, as processes.
type fleetCommand struct {
	serverFlags
	logFlags
	outputFlags
	seedFlags
	Forwarders   int     `help:"Forwarder processes." default:"3"`
	Planners     int     `help:"Planner processes." default:"3"`
	Workers      int     `help:"Worker processes." default:"4"`
	Seconds      float64 `help:"Seconds of each of the three runs per seed." default:"12"`
	KillInterval float64 `name:"kill-every" help:"Seconds between two kills of planners." default:"2"`
	Load         float64 `help:"Load, as a multiple of the workers' capacity." default:"0.8"`
	IdleConns    int     `name:"crowd" help:"Idle connections to measure a forwarder's memory; 0 for none." default:"0"`
}

// Run runs a two-level fleet while planners are killed.
func (c *fleetCommand) Run(ctx context.Context) error {
	return runAndWrite(ctx, c.seedFlags, c.outputFlags, twolevel.Columns, func(seed uint64) (twolevel.Row, error) {
		plan := &twolevel.Plan{
			Program:      c.Server,
			Forwarders:   c.Forwarders,
			Planners:     c.Planners,
			Workers:      c.Workers,
			Seconds:      c.Seconds,
			KillInterval: c.KillInterval,
			Load:         c.Load,
			IdleConns:    c.IdleConns,
			Seed:         seed,
			Log:          c.writer(),
		}
		if err := plan.Validate(); err != nil {
			return twolevel.Row{}, err
		}
		return twolevel.Run(ctx, plan)
	})
}
