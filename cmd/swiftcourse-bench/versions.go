package main

import (
	"context"
	"fmt"

	"swiftcourse/internal/bench/simulation"
)

// versionCommand simulates rollouts of a fleet.
type versionCommand struct {
	outputFlags
	seedFlags
	Servers int     `help:"Servers." default:"100"`
	Voters  int     `help:"Of these, voters." default:"5"`
	Seconds float64 `help:"How long releases and faults go on." default:"60"`
	Keys    float64 `help:"Requests a second with a key, over all servers; 0 for none." default:"0"`
	Faults  bool    `help:"Faults; --no-faults has releases alone." default:"true" negatable:""`
}

// Run simulates rollouts of a fleet.
func (c *versionCommand) Run(ctx context.Context) error {
	if err := checkSeeds(c.Seeds, maxSimulatedSeeds); err != nil {
		return err
	}
	return runAndWrite(ctx, c.seedFlags, c.outputFlags, simulation.RolloutColumns, c.simulate)
}

func (c *versionCommand) simulate(seed uint64) (simulation.RolloutRow, error) {
	plan := &simulation.RolloutPlan{
		Servers:  c.Servers,
		Voters:   c.Voters,
		Seconds:  c.Seconds,
		Seed:     seed,
		NoFaults: !c.Faults,
		KeyRate:  c.Keys,
	}
	if err := plan.Validate(); err != nil {
		return simulation.RolloutRow{}, err
	}
	result := simulation.RunRollout(plan)
	if c.Keys > 0 {
		printClaims(seed, &result.Claims)
	}
	return result, nil
}

func printClaims(seed uint64, claims *simulation.ClaimsRow) {
	fmt.Printf("seed %d: %d tries of %d keys, %d runs, told %v, untold %d, twice %d, wrong %d, alarms %d, differ %d; "+
		"grants p50 %.1f ms, p99 %.1f ms\n",
		seed, claims.Attempts, claims.Keys, claims.Runs, claims.Verdicts, claims.Unanswered, claims.RepeatedRuns,
		claims.WrongResults, claims.ConflictingResults, claims.SlotsOutOfSync, claims.ClaimP50, claims.ClaimP99)
}
