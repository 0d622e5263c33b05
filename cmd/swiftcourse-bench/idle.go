package main

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"swiftcourse/internal/bench/idleconns"
	"swiftcourse/internal/bench/process"
)

// benchGCPercent keeps pauses of the load generator rare: they would be taken for the servers'.
const benchGCPercent = 400

// idleCommand measures the cost of idle connections.
type idleCommand struct {
	serverFlags
	outputFlags
	Connections []int         `help:"Numbers of idle connections, a row each." default:"0,1000,10000"`
	Servers     int           `help:"Server processes to spread them over." default:"1"`
	Rate        float64       `help:"Busy requests a second, over all servers." default:"1000"`
	Busy        int           `help:"Busy connections to each server." default:"8"`
	Checks      bool          `help:"Busy calls are health checks instead of requests."`
	Seconds     float64       `help:"Seconds of each measurement." default:"2"`
	Rounds      int           `help:"How often both are measured, in turns; the median ratio counts." default:"5"`
	Core        int           `help:"The core that all servers share; -1 for any." default:"1"`
	Expire      bool          `help:"Have all idle connections time out in the same instant."`
	Silent      time.Duration `help:"With --expire: how long a connection may be idle." default:"6s"`
	Heeds       bool          `help:"With --expire: peers close when asked to." default:"true" negatable:""`
	Counts      bool          `help:"Ask servers for statistics by SIGUSR1." default:"true" negatable:""`
}

// Run measures the cost of idle connections.
func (c *idleCommand) Run(ctx context.Context) error {
	plan := &idleconns.Plan{
		Program:      c.Server,
		Connections:  c.Connections,
		Servers:      c.Servers,
		Rate:         c.Rate,
		Busy:         c.Busy,
		Seconds:      c.Seconds,
		Rounds:       c.Rounds,
		CPU:          c.Core,
		Statistics:   c.Counts,
		HealthChecks: c.Checks,
		IdleTimeout:  c.Silent,
		HonorClose:   c.Heeds,
		Progress:     os.Stderr,
	}
	if err := plan.Validate(); err != nil {
		return err
	}
	if err := process.AvoidCPU(c.Core); err != nil {
		return err
	}
	debug.SetGCPercent(benchGCPercent)
	if c.Expire {
		phases, err := idleconns.RunExpiry(ctx, plan)
		return writeRows(c.outputFlags, idleconns.PhaseColumns, phases, err)
	}
	rows, err := idleconns.Run(ctx, plan)
	return writeRows(c.outputFlags, idleconns.Columns, rows, err)
}
