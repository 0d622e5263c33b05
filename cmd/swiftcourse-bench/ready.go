package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"swiftcourse/internal/bench/readiness"
)

// readyCommand measures how long restarted servers take to become healthy and listed.
type readyCommand struct {
	serverFlags
	outputFlags
	Servers int           `help:"Servers, which restart at the same time." default:"30"`
	Rounds  int           `help:"Restarts for each set of late dependencies." default:"5"`
	Delay   time.Duration `name:"late" help:"Time from the servers' start until late dependencies start." default:"5s"`
}

// Run measures how long restarted servers take with different late dependencies.
func (c *readyCommand) Run(ctx context.Context) error {
	if c.Servers < 1 || c.Servers > 200 || c.Rounds < 1 || c.Rounds > 100 || c.Delay <= 0 || c.Delay > 20*time.Second {
		return fmt.Errorf("--servers %d --rounds %d --late %s: "+
			"must be from 1 to 200, from 1 to 100, and over 0s and at most 20s", c.Servers, c.Rounds, c.Delay)
	}
	plan := &readiness.Plan{
		Program:  c.Server,
		Servers:  c.Servers,
		Rounds:   c.Rounds,
		Delay:    c.Delay,
		Progress: os.Stderr,
	}
	rows, err := plan.Run(ctx)
	return writeRows(c.outputFlags, readiness.Columns, rows, err)
}
