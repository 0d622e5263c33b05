package main

import (
	"context"

	"swiftcourse/internal/bench/quotas"
	"swiftcourse/internal/bench/simulation"
)

// faultFromSeed is the value of --fault with which faults of all kinds are drawn from the seed.
const faultFromSeed = "seed"

// sharedCommand runs a fleet whose servers, simulated or processes, share a quota.
type sharedCommand struct {
	outputFlags
	seedFlags
	Program string  `name:"server" help:"Server binary, to run up to 30 processes instead of simulating." type:"path"`
	Fault   string  `help:"With --server: kill, leader, stop, cut, one-way, loss, jump, voters or seed." default:"seed"`
	Servers int     `help:"Servers of the fleet." default:"100"`
	Voters  int     `help:"Number of the servers that are voters, without --server." default:"5"`
	Seconds float64 `help:"Seconds during which faults are injected." default:"60"`
}

// Run runs the experiment with processes if --server is given, and a simulation otherwise.
func (c *sharedCommand) Run(ctx context.Context) error {
	if err := checkSeeds(c.Seeds, maxSimulatedSeeds); err != nil {
		return err
	}
	if c.Program != "" {
		return runAndWrite(ctx, c.seedFlags, c.outputFlags, quotas.Columns, func(seed uint64) (quotas.Row, error) {
			return c.runProcesses(ctx, seed)
		})
	}
	return runAndWrite(ctx, c.seedFlags, c.outputFlags, simulation.QuotaColumns, c.simulate)
}

func (c *sharedCommand) simulate(seed uint64) (simulation.QuotaRow, error) {
	plan := &simulation.QuotaPlan{Servers: c.Servers, Voters: c.Voters, Seconds: c.Seconds, Seed: seed}
	if err := plan.Validate(); err != nil {
		return simulation.QuotaRow{}, err
	}
	return simulation.RunQuota(plan), nil
}

func (c *sharedCommand) runProcesses(ctx context.Context, seed uint64) (quotas.Row, error) {
	plan := &quotas.Plan{Program: c.Program, Servers: c.Servers, Seconds: c.Seconds, Seed: seed}
	if c.Fault != faultFromSeed {
		plan.Fault = quotas.Fault(c.Fault)
	}
	if err := plan.Validate(); err != nil {
		return quotas.Row{}, err
	}
	return quotas.Run(ctx, plan)
}
