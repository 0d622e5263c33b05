package main

import (
	"context"
	"fmt"

	"swiftcourse/internal/bench/simulation"
)

// versionsCommand simulates rollouts in a fleet.
type versionsCommand struct {
	outputFlags
	seedFlags
	Servers int     `help:"Simulated servers." default:"100"`
	Voters  int     `help:"Number of the servers that are voters." default:"5"`
	Seconds float64 `help:"Simulated seconds during which versions are released and faults are injected." default:"60"`
	KeyRate float64 `name:"keys" help:"Requests per second with a key, over all servers; 0 for none." default:"0"`
	Faults  bool    `help:"Inject faults; --no-faults only releases versions." default:"true" negatable:""`
}

// Run simulates rollouts for each seed.
func (c *versionsCommand) Run(ctx context.Context) error {
	if err := checkSeeds(c.Seeds, maxSimulatedSeeds); err != nil {
		return err
	}
	return runAndWrite(ctx, c.seedFlags, c.outputFlags, simulation.RolloutColumns, c.simulate)
}

func (c *versionsCommand) simulate(seed uint64) (simulation.RolloutRow, error) {
	plan := &simulation.RolloutPlan{
		Servers:  c.Servers,
		Voters:   c.Voters,
		Seconds:  c.Seconds,
		Seed:     seed,
		NoFaults: !c.Faults,
		KeyRate:  c.KeyRate,
	}
	if err := plan.Validate(); err != nil {
		return simulation.RolloutRow{}, err
	}
	result := simulation.RunRollout(plan)
	if c.KeyRate > 0 {
		printClaims(seed, &result.Claims)
	}
	return result, nil
}

func printClaims(seed uint64, claims *simulation.ClaimsRow) {
	fmt.Printf("seed %d: %d attempts with %d keys, %d runs, verdicts %v, unanswered %d, repeated runs %d, "+
		"wrong results %d, conflicting results %d, slots out of sync %d; "+
		"claim latency p50 %.1f ms, p99 %.1f ms\n",
		seed, claims.Attempts, claims.Keys, claims.Runs, claims.Verdicts, claims.Unanswered, claims.RepeatedRuns,
		claims.WrongResults, claims.ConflictingResults, claims.SlotsOutOfSync, claims.ClaimP50, claims.ClaimP99)
}
