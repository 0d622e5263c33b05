package main

import (
	"context"
	"os"

	"swiftcourse/internal/bench/connflood"
	"swiftcourse/internal/bench/process"
)

// doorCommand floods a server with connections of untrusted clients.
type doorCommand struct {
	serverFlags
	logFlags
	outputFlags
	UntrustedRate     float64 `name:"strangers" help:"Untrusted clients per second that stay connected." default:"5000"`
	Trusted           int     `name:"known" help:"Trusted clients, which were served before the flood." default:"20"`
	Seconds           float64 `help:"Duration of the flood, in seconds." default:"10"`
	Descriptors       int     `name:"sockets" help:"Descriptor limit in the server's configuration." default:"128"`
	ActualDescriptors int     `name:"real" help:"Actual limit, so that accept fails; 0 for --sockets." default:"0"`
	CPU               int     `name:"core" help:"CPU core of the server; -1 for any." default:"1"`
	Restart           bool    `help:"Restart one of three servers in the flood, with replica-callers off and on."`
}

// Run measures service to trusted clients during the flood.
func (c *doorCommand) Run(ctx context.Context) error {
	plan := &connflood.Plan{
		Program:           c.Server,
		UntrustedRate:     c.UntrustedRate,
		Trusted:           c.Trusted,
		Seconds:           c.Seconds,
		Descriptors:       c.Descriptors,
		ActualDescriptors: c.ActualDescriptors,
		CPU:               c.CPU,
		Progress:          os.Stderr,
		Log:               c.writer(),
	}
	if err := plan.Validate(); err != nil {
		return err
	}
	if err := process.AvoidCPU(c.CPU); err != nil {
		return err
	}
	if c.Restart {
		rows, err := connflood.RunRestart(ctx, plan)
		return writeRows(c.outputFlags, connflood.RestartColumns, rows, err)
	}
	rows, err := connflood.Run(ctx, plan)
	return writeRows(c.outputFlags, connflood.Columns, rows, err)
}
