package main

import (
	"context"
	"fmt"
	"os"

	"swiftcourse/internal/bench/demo"
	"swiftcourse/internal/bench/twolevel"
)

// demoCommand shows a server, or a fleet of two levels, at work.
type demoCommand struct {
	serverFlags
	logFlags
	outputFlags
	Seconds float64 `help:"Seconds of each part." default:"10"`
	Over    float64 `help:"What is asked in the second part, over what the cores can do." default:"1.5"`
	Levels  bool    `help:"Instead, forwarders and planners while they are killed; half a minute."`
}

// Run shows a server under normal load and overload, or a fleet of two levels.
func (c *demoCommand) Run(ctx context.Context) error {
	if c.Levels {
		plan := &twolevel.Demo{Program: c.Server, Progress: os.Stdout, Log: c.writer()}
		return plan.Run(ctx)
	}
	if c.Seconds < 0.5 || c.Seconds > 600 || c.Over <= 0 || c.Over > 20 {
		return fmt.Errorf("--seconds %g --over %g: from 0.5 to 600 s, and over 0 and at most 20 times",
			c.Seconds, c.Over)
	}
	plan := &demo.Plan{
		Program:  c.Server,
		Seconds:  c.Seconds,
		Overload: c.Over,
		Progress: os.Stderr,
		Log:      c.writer(),
	}
	rows, err := demo.Run(ctx, plan)
	return writeRows(c.outputFlags, demo.Columns, rows, err)
}
