package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"swiftcourse/internal/bench/report"
	"swiftcourse/internal/bench/simulation"
)

// emulateCommand simulates a fleet with the requests and failures of a scenario.
type emulateCommand struct {
	Scenario string `arg:"" optional:"" help:"JSON file of the scenario; default: an example with faults." type:"path"`
	Seed     uint64 `help:"Seed that replaces the scenario's; 0 to use the scenario's."`
	Seeds    int    `help:"Number of consecutive seeds to run." default:"1"`
	JSON     string `name:"json" help:"File to which the reports are written, as a JSON array." type:"path"`
}

// Run simulates the scenario for each seed.
func (c *emulateCommand) Run(ctx context.Context) error {
	if err := checkSeeds(c.Seeds, maxProcessSeeds); err != nil {
		return err
	}
	scenario, err := c.readScenario()
	if err != nil {
		return err
	}
	var reports []simulation.Report
	violations := 0
	for range c.Seeds {
		result, err := simulateAndPrint(scenario)
		if err != nil {
			return err
		}
		reports = append(reports, result)
		violations += result.ViolationCount
		scenario.Seed++
		if ctx.Err() != nil {
			break
		}
	}
	if c.JSON != "" {
		if err := report.WriteJSON(c.JSON, reports); err != nil {
			return err
		}
	}
	if violations > 0 {
		return fmt.Errorf("%d invariant violations over all seeds", violations)
	}
	return nil
}

func (c *emulateCommand) readScenario() (*simulation.Scenario, error) {
	text := simulation.ExampleScenario
	if c.Scenario != "" {
		var err error
		if text, err = os.ReadFile(c.Scenario); err != nil {
			return nil, err
		}
	}
	scenario, err := simulation.ParseScenario(text)
	if err != nil {
		return nil, err
	}
	if c.Seed != 0 {
		scenario.Seed = c.Seed
	}
	return scenario, nil
}

// simulateAndPrint runs a scenario once. It writes the report to standard output, which depends
// only on the scenario and its seed, and the speed of the simulation to standard error.
func simulateAndPrint(scenario *simulation.Scenario) (simulation.Report, error) {
	started := time.Now()
	result := simulation.Run(scenario)
	elapsed := time.Since(started).Seconds()
	if err := writeRows(outputFlags{}, simulation.ClassColumns, result.Rows, nil); err != nil {
		return result, err
	}
	fmt.Printf("seed %d: %d runs, %.3f of the work wasted, %d invariant violations\n",
		result.Seed, result.Runs, result.WastedShare, result.ViolationCount)
	for _, violation := range result.Violations {
		fmt.Println("  " + violation)
	}
	fmt.Fprintf(os.Stderr, "%d events in %.2f s: %.1f simulated seconds per second\n",
		result.Events, elapsed, scenario.Seconds/elapsed)
	return result, nil
}
