package main

import (
	"context"

	"swiftcourse/internal/bench/simulation"
)

// countsCommand simulates the fleet-wide counters.
type countsCommand struct {
	outputFlags
	seedFlags
	Servers int     `help:"Simulated servers." default:"20"`
	Voters  int     `help:"Number of the servers that are voters." default:"5"`
	Seconds float64 `help:"Simulated seconds during which faults are injected." default:"60"`
}

// Run simulates the counters for each seed.
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
