package main

import (
	"context"
	"os"

	"swiftcourse/internal/bench/connflood"
	"swiftcourse/internal/bench/process"
)

// doorCommand floods a server with connections.
type doorCommand struct {
	serverFlags
	logFlags
	outputFlags
	Strangers float64 `help:"Untrusted clients a second; each does a health check and stays." default:"5000"`
	Known     int     `help:"Trusted clients, whose requests finished before." default:"20"`
	Seconds   float64 `help:"How long the untrusted clients come." default:"10"`
	Sockets   int     `help:"Descriptors that the server is told." default:"128"`
	Real      int     `help:"Descriptors that it really has, so that accept fails; 0 for as many as told." default:"0"`
	Core      int     `help:"The server's core; -1 for any." default:"1"`
	Restart   bool    `help:"A server of a fleet of three restarts among them, with replica-callers off and on."`
}

// Run floods a server with connections of untrusted clients.
func (c *doorCommand) Run(ctx context.Context) error {
	plan := &connflood.Plan{
		Program:           c.Server,
		UntrustedRate:     c.Strangers,
		Trusted:           c.Known,
		Seconds:           c.Seconds,
		Descriptors:       c.Sockets,
		ActualDescriptors: c.Real,
		CPU:               c.Core,
		Progress:          os.Stderr,
		Log:               c.writer(),
	}
	if err := plan.Validate(); err != nil {
		return err
	}
	if err := process.AvoidCPU(c.Core); err != nil {
		return err
	}
	if c.Restart {
		rows, err := connflood.RunRestart(ctx, plan)
		return writeRows(c.outputFlags, connflood.RestartColumns, rows, err)
	}
	rows, err := connflood.Run(ctx, plan)
	return writeRows(c.outputFlags, connflood.Columns, rows, err)
}
