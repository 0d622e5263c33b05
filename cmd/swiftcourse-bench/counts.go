package main

import (
	"context"

	"swiftcourse/internal/bench/simulation"
)

// countsCommand simulates the counters of a fleet.
type countsCommand struct {
	outputFlags
	seedFlags
	Servers int     `help:"Servers." default:"20"`
	Voters  int     `help:"Of these, voters." default:"5"`
	Seconds float64 `help:"How long faults go on." default:"60"`
}

// Run simulates the counters of a fleet.
func (c *countsCommand) Run(ctx context.Context) error {
	if err := checkSeeds(c.Seeds, maxSimulatedSeeds); err != nil {
		return err
	}
	return runAndWrite(ctx, c.seedFlags, c.outputFlags, simulation.CounterColumns, c.simulate)
}

func (c *countsCommand) simulate(seed uint64) (simulation.CounterRow, error) {
	plan := &simulation.CounterPlan{Servers: c.Servers, Voters: c.Voters, Seconds: c.Seconds, Seed: seed}
	if err := plan.Validate(); err != nil {
		return simulation.CounterRow{}, err
	}
	return simulation.RunCounters(plan), nil
}
