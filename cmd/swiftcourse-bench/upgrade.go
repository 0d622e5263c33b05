package main

import (
	"context"

	"swiftcourse/internal/bench/rollouts"
	"swiftcourse/internal/bench/twolevel"
)

// upgradeCommand runs two builds of the program in one fleet.
type upgradeCommand struct {
	serverFlags
	logFlags
	seedFlags
	Old     string  `help:"The server's program of the earlier build." required:"" type:"path"`
	Servers int     `help:"Processes, replaced one by one." default:"5"`
	Rate    float64 `help:"Requests a second and server." default:"20"`
	Seconds float64 `help:"How long each mix of forwarders and planners has load." default:"10"`
}

// Run replaces the servers of a fleet one by one, then runs forwarders of one build with planners and
// workers of the other, both ways.
func (c *upgradeCommand) Run(ctx context.Context) error {
	if err := checkSeeds(c.Seeds, maxProcessSeeds); err != nil {
		return err
	}
	run := func(seed uint64) (rollouts.UpgradeRow, error) { return c.replaceServers(ctx, seed) }
	if err := runAndWrite(ctx, c.seedFlags, outputFlags{}, rollouts.UpgradeColumns, run); err != nil {
		return err
	}
	for _, plan := range []twolevel.MixedPlan{
		{Direction: "old-forwarders", ForwarderProgram: c.Old, OtherProgram: c.Server},
		{Direction: "new-forwarders", ForwarderProgram: c.Server, OtherProgram: c.Old},
	} {
		run := func(seed uint64) (twolevel.MixedRow, error) {
			plan.Seconds = c.Seconds
			plan.Seed = seed
			plan.Log = c.writer()
			return twolevel.RunMixed(ctx, &plan)
		}
		if err := runAndWrite(ctx, c.seedFlags, outputFlags{}, twolevel.MixedColumns, run); err != nil {
			return err
		}
	}
	return nil
}

// replaceServers runs a fleet whose servers are replaced one by one.
func (c *upgradeCommand) replaceServers(ctx context.Context, seed uint64) (rollouts.UpgradeRow, error) {
	plan := &rollouts.UpgradePlan{
		OldProgram:  c.Old,
		NewProgram:  c.Server,
		Servers:     c.Servers,
		Seed:        seed,
		RequestRate: c.Rate,
		Log:         c.writer(),
	}
	if err := plan.Validate(); err != nil {
		return rollouts.UpgradeRow{}, err
	}
	return rollouts.RunUpgrade(ctx, plan)
}
