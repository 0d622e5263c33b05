package main

import (
	"context"

	"swiftcourse/internal/bench/simulation"
)

// levelsCommand simulates a two-level fleet of forwarders and workers, with planners.
type levelsCommand struct {
	outputFlags
	seedFlags
	Forwarders    int     `help:"Simulated forwarders." default:"100"`
	Planners      int     `help:"Simulated planners." default:"5"`
	Workers       int     `help:"Simulated workers." default:"1000"`
	Seconds       float64 `help:"Simulated seconds that are measured." default:"20"`
	FaultInterval float64 `name:"kill-every" help:"Seconds between two faults of planners; 0 for none." default:"2"`
	NoPlanners    bool    `name:"alone" help:"Start no planners."`
	PartialReach  bool    `name:"blind" help:"A third of the forwarders can reach only half of the workers."`
	Load          float64 `help:"Load, as a multiple of the workers' capacity." default:"0.8"`
}

// Run simulates a two-level fleet for each seed.
func (c *levelsCommand) Run(ctx context.Context) error {
	return runAndWrite(ctx, c.seedFlags, c.outputFlags, simulation.TwoLevelColumns, c.simulate)
}

func (c *levelsCommand) simulate(seed uint64) (simulation.TwoLevelRow, error) {
	plan := &simulation.TwoLevelPlan{
		Forwarders:          c.Forwarders,
		Planners:            c.Planners,
		Workers:             c.Workers,
		Seconds:             c.Seconds,
		FaultInterval:       c.FaultInterval,
		NoPlanners:          c.NoPlanners,
		PartialConnectivity: c.PartialReach,
		Load:                c.Load,
		Seed:                seed,
	}
	if err := plan.Validate(); err != nil {
		return simulation.TwoLevelRow{}, err
	}
	return simulation.RunTwoLevel(plan), nil
}
