// Command swiftcourse-bench is the project's test bench: it starts the real server with fakes of
// everything it talks to, on loopback, or simulates a fleet, and reports what it measured.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// program is the command line: one field per command, each in a file of its own.
type program struct {
	Demo    demoCommand    `cmd:"" help:"The real server at work: normal load, then overload."`
	Idle    idleCommand    `cmd:"" help:"What idle connections cost, and how they affect the busy ones."`
	Door    doorCommand    `cmd:"" help:"How trusted clients fare while untrusted ones take every descriptor."`
	Emulate emulateCommand `cmd:"" help:"A fleet in simulated time, with failures from a scenario."`
	Audit   auditCommand   `cmd:"" help:"A fleet's rollouts under faults: the audit compared with the logs."`
	Version versionCommand `cmd:"" name:"versions" help:"A fleet's rollouts in simulated time, at large size."`
	Replica replicaCommand `cmd:"" help:"Keys claimed by several servers while they are killed and partitioned."`
	Counts  countsCommand  `cmd:"" help:"What all servers count, in simulated time, compared with the truth."`
	Fleet   fleetCommand   `cmd:"" help:"Forwarders, planners and workers as processes, while planners are killed."`
	Levels  levelsCommand  `cmd:"" help:"Forwarders, planners and workers in simulated time, at large size."`
	Shared  sharedCommand  `cmd:"" help:"A quota that all servers share, while demand shifts and under faults."`
	Upgrade upgradeCommand `cmd:"" help:"Two builds in one fleet: servers replaced one by one, forwarders mixed."`
	Ready   readyCommand   `cmd:"" help:"How long restarted servers take to serve and to be listed."`
	Hold    holdCommand    `cmd:"" hidden:""`
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
