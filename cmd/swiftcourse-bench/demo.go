package main

import (
	"context"
	"fmt"
	"os"

	"swiftcourse/internal/bench/demo"
	"swiftcourse/internal/bench/twolevel"
)

// demoCommand demonstrates a server or a two-level fleet.
type demoCommand struct {
	serverFlags
	logFlags
	outputFlags
	Seconds  float64 `help:"Duration of each of the two parts, in seconds." default:"10"`
	Overload float64 `name:"over" help:"Load of the second part, as a multiple of the capacity." default:"1.5"`
	TwoLevel bool    `name:"levels" help:"Instead, run forwarders and planners that are killed; takes half a minute."`
}

// Run runs a server under normal load and then overload, or a two-level fleet.
func (c *demoCommand) Run(ctx context.Context) error {
	if c.TwoLevel {
		plan := &twolevel.Demo{Program: c.Server, Progress: os.Stdout, Log: c.writer()}
		return plan.Run(ctx)
	}
	if c.Seconds < 0.5 || c.Seconds > 600 || c.Overload <= 0 || c.Overload > 20 {
		return fmt.Errorf("--seconds %g --over %g: must be from 0.5 to 600 s, and over 0 and at most 20 times "+
			"the capacity", c.Seconds, c.Overload)
	}
	plan := &demo.Plan{
		Program:  c.Server,
		Seconds:  c.Seconds,
		Overload: c.Overload,
		Progress: os.Stderr,
		Log:      c.writer(),
	}
	rows, err := demo.Run(ctx, plan)
	return writeRows(c.outputFlags, demo.Columns, rows, err)
}
