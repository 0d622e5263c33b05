package main

import (
	"context"

	"swiftcourse/internal/bench/twolevel"
)

// fleetCommand runs a fleet of two levels as processes.
type fleetCommand struct {
	serverFlags
	logFlags
	outputFlags
	seedFlags
	Forwarders int     `help:"Forwarders." default:"3"`
	Planners   int     `help:"Planners." default:"3"`
	Workers    int     `help:"Workers." default:"4"`
	Seconds    float64 `help:"How long each of the three runs of a seed is." default:"12"`
	KillEvery  float64 `help:"Seconds between two kills." default:"2"`
	Load       float64 `help:"Requested load, over what the workers can do." default:"0.8"`
	Crowd      int     `help:"Idle connections at a forwarder whose memory is measured; 0 for none." default:"0"`
}

// Run runs a fleet of two levels while planners are killed.
func (c *fleetCommand) Run(ctx context.Context) error {
	return runAndWrite(ctx, c.seedFlags, c.outputFlags, twolevel.Columns, func(seed uint64) (twolevel.Row, error) {
		plan := &twolevel.Plan{
			Program:      c.Server,
			Forwarders:   c.Forwarders,
			Planners:     c.Planners,
			Workers:      c.Workers,
			Seconds:      c.Seconds,
			KillInterval: c.KillEvery,
			Load:         c.Load,
			IdleConns:    c.Crowd,
			Seed:         seed,
			Log:          c.writer(),
		}
		if err := plan.Validate(); err != nil {
			return twolevel.Row{}, err
		}
		return twolevel.Run(ctx, plan)
	})
}
