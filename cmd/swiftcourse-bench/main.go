// Command swiftcourse-bench runs the project's experiments. It starts real servers on loopback,
// with fakes of all services that they depend on, or simulates a fleet, and reports measurements.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// program is the command line. It has one field per command.
type program struct {
	Demo    demoCommand     `cmd:"" help:"Run the real server under normal load and then under overload."`
	Idle    idleCommand     `cmd:"" help:"Measure the cost of idle connections and their effect on busy ones."`
	Door    doorCommand     `cmd:"" help:"Measure service to trusted clients while untrusted ones use all descriptors."`
	Emulate emulateCommand  `cmd:"" help:"Simulate a fleet, with failures from a scenario."`
	Audit   auditCommand    `cmd:"" help:"Compare the audit of rollouts under faults with the servers' logs."`
	Version versionsCommand `cmd:"" name:"versions" help:"Simulate rollouts in a large fleet."`
	Replica replicaCommand  `cmd:"" help:"Check key claims by several servers while they are killed and partitioned."`
	Counts  countsCommand   `cmd:"" help:"Simulate the fleet-wide counters and compare them with the exact counts."`
	Fleet   fleetCommand    `cmd:"" help:"Run forwarders, planners and workers as processes while planners are killed."`
	Levels  levelsCommand   `cmd:"" help:"Simulate a large fleet of forwarders, planners and workers."`
	Shared  sharedCommand   `cmd:"" help:"Check a quota that all servers share, while demand shifts and under faults."`
	Upgrade upgradeCommand  `cmd:"" help:"Run two builds in one fleet: replaced one by one, then mixed by level."`
	Ready   readyCommand    `cmd:"" help:"Measure how long restarted servers take to become healthy and listed."`
	Hold    holdCommand     `cmd:"" hidden:""`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var arguments program
	command := kong.Parse(&arguments,
		kong.Name("swiftcourse-bench"),
		kong.Description("The test bench of swiftcourse: experiments with real servers and simulated fleets."),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "swiftcourse-bench:", err)
		stop()
		os.Exit(1)
	}
}
