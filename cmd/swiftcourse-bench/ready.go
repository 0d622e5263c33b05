package main

import (
	"context"
	"errors"
	"os"
	"time"

	"swiftcourse/internal/bench/readiness"
)

// readyCommand measures how long restarted servers take to become ready.
type readyCommand struct {
	serverFlags
	outputFlags
	Servers int           `help:"Servers that restart together." default:"30"`
	Rounds  int           `help:"How often, for each case." default:"5"`
	Late    time.Duration `help:"How long after the start the late dependency is there." default:"5s"`
}

// Run measures how long restarted servers take to become ready.
func (c *readyCommand) Run(ctx context.Context) error {
	if c.Servers < 1 || c.Servers > 200 || c.Rounds < 1 || c.Rounds > 100 || c.Late <= 0 || c.Late > 20*time.Second {
		return errors.New("servers are 1 to 200, rounds 1 to 100, late over 0 and up to 20s")
	}
	plan := &readiness.Plan{
		Program:  c.Server,
		Servers:  c.Servers,
		Rounds:   c.Rounds,
		Delay:    c.Late,
		Progress: os.Stderr,
	}
	rows, err := plan.Run(ctx)
	return writeRows(c.outputFlags, readiness.Columns, rows, err)
}
