package main

import (
	"context"

	"swiftcourse/internal/bench/simulation"
)

// levelsCommand simulates a fleet of two levels.
type levelsCommand struct {
	outputFlags
	seedFlags
	Forwarders int     `help:"Forwarders." default:"100"`
	Planners   int     `help:"Planners." default:"5"`
	Workers    int     `help:"Workers." default:"1000"`
	Seconds    float64 `help:"How long it is measured." default:"20"`
	KillEvery  float64 `help:"Seconds between two faults among planners; 0 for none." default:"2"`
	Alone      bool    `help:"No planner is there."`
	Blind      bool    `help:"A third of the forwarders reaches only half of the workers."`
	Load       float64 `help:"Requested load, over what the workers can do." default:"0.8"`
}

// Run simulates a fleet of two levels.
func (c *levelsCommand) Run(ctx context.Context) error {
	return runAndWrite(ctx, c.seedFlags, c.outputFlags, simulation.TwoLevelColumns, c.simulate)
}

func (c *levelsCommand) simulate(seed uint64) (simulation.TwoLevelRow, error) {
	plan := &simulation.TwoLevelPlan{
		Forwarders:    c.Forwarders,
		Planners:      c.Planners,
		Workers:       c.Workers,
		Seconds:       c.Seconds,
		FaultInterval: c.KillEvery,
		NoPlanners:    c.Alone,
		PartialReach:  c.Blind,
		Load:          c.Load,
		Seed:          seed,
	}
	if err := plan.Validate(); err != nil {
		return simulation.TwoLevelRow{}, err
	}
	return simulation.RunTwoLevel(plan), nil
}
