package main

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"swiftcourse/internal/bench/idleconns"
	"swiftcourse/internal/bench/process"
)

// benchGCPercent makes garbage collections of this process rare, because their pauses would be
// measured as latency of the servers.
const benchGCPercent = 400

// idleCommand measures the cost of idle connections.
type idleCommand struct {
	serverFlags
	outputFlags
	Connections  []int         `help:"Numbers of idle connections; each gives a row." default:"0,1000,10000"`
	Servers      int           `help:"Server processes, over which the connections are spread." default:"1"`
	Rate         float64       `help:"Requests per second on the busy connections, over all servers." default:"1000"`
	Busy         int           `help:"Busy connections to each server." default:"8"`
	HealthChecks bool          `name:"checks" help:"Send health checks instead of requests on the busy connections."`
	Seconds      float64       `help:"Duration of each measurement, in seconds." default:"2"`
	Rounds       int           `help:"Measurement pairs, with and without idle connections; gives medians." default:"5"`
	CPU          int           `name:"core" help:"CPU core that all servers run on; -1 for any." default:"1"`
	MassExpiry   bool          `name:"expire" help:"Let all idle connections time out at once, and measure the effect."`
	IdleTimeout  time.Duration `name:"silent" help:"Idle timeout of connections, with --expire." default:"6s"`
	HonorClose   bool          `name:"heeds" help:"Idle clients close on go-away messages." default:"true" negatable:""`
	Statistics   bool          `name:"counts" help:"Read server statistics with SIGUSR1." default:"true" negatable:""`
}

// Run measures the cost of idle connections.
func (c *idleCommand) Run(ctx context.Context) error {
	plan := &idleconns.Plan{
		Program:      c.Server,
		Connections:  c.Connections,
		Servers:      c.Servers,
		Rate:         c.Rate,
		BusyConns:    c.Busy,
		Seconds:      c.Seconds,
		Rounds:       c.Rounds,
		CPU:          c.CPU,
		Statistics:   c.Statistics,
		HealthChecks: c.HealthChecks,
		IdleTimeout:  c.IdleTimeout,
		HonorClose:   c.HonorClose,
		Progress:     os.Stderr,
	}
	if err := plan.Validate(); err != nil {
		return err
	}
	if err := process.AvoidCPU(c.CPU); err != nil {
		return err
	}
	debug.SetGCPercent(benchGCPercent)
	if c.MassExpiry {
		phases, err := idleconns.RunExpiry(ctx, plan)
		return writeRows(c.outputFlags, idleconns.PhaseColumns, phases, err)
	}
	rows, err := idleconns.Run(ctx, plan)
	return writeRows(c.outputFlags, idleconns.Columns, rows, err)
}
