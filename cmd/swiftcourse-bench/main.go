// Command swiftcourse-bench is the project's laboratory: it starts the real server with stand-ins for all that it speaks with, on
// loopback, and measures what it does.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"swiftcourse/internal/bench/connflood"
	"swiftcourse/internal/bench/demo"
	"swiftcourse/internal/bench/idleconns"
	"swiftcourse/internal/bench/keyclaims"
	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/bench/quotas"
	"swiftcourse/internal/bench/readiness"
	"swiftcourse/internal/bench/report"
	"swiftcourse/internal/bench/rollouts"
	"swiftcourse/internal/bench/simulation"
	"swiftcourse/internal/bench/twolevel"
)

type program struct {
	Demo    demoCommand    `cmd:"" help:"The real server at work: calm, then overloaded."`
	Idle    idleCommand    `cmd:"" help:"What idle connections cost, and what the busy ones feel of them."`
	Door    doorCommand    `cmd:"" help:"How known clients fare while strangers take every descriptor, with the door off and on."`
	Emulate emulateCommand `cmd:"" help:"A fleet in simulated time, decided by the code that serves, with failures as a scenario says."`
	Audit   auditCommand   `cmd:"" help:"A fleet's versions under releases and faults: the audit's account held against a ledger."`
	Version versionCommand `cmd:"" name:"versions" help:"A fleet's versions in simulated time, decided by the code that serves, at large size."`
	Replica replicaCommand `cmd:"" help:"Keys claimed by several servers while they are killed and cut off: a ledger counts the runs of each."`
	Counts  countsCommand  `cmd:"" help:"What all servers count, in simulated time with faults by the seed, held against the truth."`
	Fleet   fleetCommand   `cmd:"" help:"Forwarders, planners and workers as processes, while planners are killed."`
	Levels  levelsCommand  `cmd:"" help:"Forwarders, planners and workers in simulated time, at large size."`
	Shared  sharedCommand  `cmd:"" help:"A budget that all servers share, in simulated time: demand that moves, a third cut off, faults by the seed."`
	Ready   readyCommand   `cmd:"" help:"How long restarted servers take to serve and to be listed, all at once, with a processor or roster that is late."`
	Hold    holdCommand    `cmd:"" hidden:""`
}

type demoCommand struct {
	Server  string  `help:"The server's program." default:"bin/swiftcourse" type:"path"`
	Seconds float64 `help:"Seconds of each part." default:"10"`
	Over    float64 `help:"What is asked in the second part, over what the cores can do." default:"1.5"`
	Log     bool    `help:"Show the server's log too."`
	Levels  bool    `help:"In place of it two levels, forwarders and planners, while one after the other dies; half a minute."`
	JSON    string  `name:"json" help:"File for the rows, as an array." type:"path"`
}

func (c *demoCommand) Run(ctx context.Context) error {
	if c.Levels {
		plan := &twolevel.Demo{Program: c.Server, Progress: os.Stdout}
		if c.Log {
			plan.Log = os.Stderr
		}
		return plan.Run(ctx)
	}
	if c.Seconds < 0.5 || c.Seconds > 600 || c.Over <= 0 || c.Over > 20 {
		return fmt.Errorf("--seconds %g --over %g: from 0.5 to 600 s, and over 0 and at most 20 times", c.Seconds, c.Over)
	}
	plan := &demo.Plan{Program: c.Server, Seconds: c.Seconds, Overload: c.Over, Progress: os.Stderr}
	if c.Log {
		plan.Log = os.Stderr
	}
	rows, err := demo.Run(ctx, plan)
	return print(c.JSON, demo.Columns, rows, err)
}

type doorCommand struct {
	Server    string  `help:"The server's program." default:"bin/swiftcourse" type:"path"`
	Strangers float64 `help:"Strangers a second; each does a health check and stays." default:"5000"`
	Known     int     `help:"Clients that did tasks before they came." default:"20"`
	Seconds   float64 `help:"How long the strangers come." default:"10"`
	Sockets   int     `help:"Descriptors that the server is told." default:"128"`
	Real      int     `help:"Descriptors that it really has once it serves, so that accept fails; 0 for as many as it was told." default:"0"`
	Core      int     `help:"The server's core; -1 for any." default:"1"`
	Restart   bool    `help:"A server of a fleet of three comes back cold among them, with replica-callers off and on."`
	Log       bool    `help:"Show the server's log too."`
	JSON      string  `name:"json" help:"File for the rows, as an array." type:"path"`
}

func (c *doorCommand) Run(ctx context.Context) error {
	plan := &connflood.Plan{Program: c.Server, UntrustedRate: c.Strangers, Trusted: c.Known, Seconds: c.Seconds, Descriptors: c.Sockets, ActualDescriptors: c.Real,
		CPU: c.Core, Progress: os.Stderr}
	if c.Log {
		plan.Log = os.Stderr
	}
	if err := plan.Validate(); err != nil {
		return err
	}
	if err := process.AvoidCPU(c.Core); err != nil {
		return err
	}
	if c.Restart {
		rows, err := connflood.RunRestart(ctx, plan)
		return print(c.JSON, connflood.RestartColumns, rows, err)
	}
	rows, err := connflood.Run(ctx, plan)
	return print(c.JSON, connflood.Columns, rows, err)
}

type readyCommand struct {
	Server  string        `help:"The server's program." default:"bin/swiftcourse" type:"path"`
	Servers int           `help:"Servers that restart together." default:"30"`
	Rounds  int           `help:"How often, for each case." default:"5"`
	Late    time.Duration `help:"How long after the start what is late is there." default:"5s"`
	JSON    string        `name:"json" help:"File for the rows, as an array." type:"path"`
}

func (c *readyCommand) Run(ctx context.Context) error {
	if c.Servers < 1 || c.Servers > 200 || c.Rounds < 1 || c.Rounds > 100 || c.Late <= 0 || c.Late > 20*time.Second {
		return fmt.Errorf("servers are 1 to 200, rounds 1 to 100, late over 0 and up to 20s")
	}
	rows, err := (&readiness.Plan{Program: c.Server, Servers: c.Servers, Rounds: c.Rounds, Delay: c.Late, Progress: os.Stderr}).Run(ctx)
	return print(c.JSON, readiness.Columns, rows, err)
}

type idleCommand struct {
	Server      string        `help:"The server's program." default:"bin/swiftcourse" type:"path"`
	Connections []int         `help:"Numbers of idle connections, a row each." default:"0,1000,10000"`
	Servers     int           `help:"Server processes to spread them over." default:"1"`
	Rate        float64       `help:"Busy tasks a second, over all servers." default:"1000"`
	Busy        int           `help:"Busy connections to each server." default:"8"`
	Checks      bool          `help:"Busy calls are health checks, which the server answers alone, in place of tasks."`
	Seconds     float64       `help:"Seconds of each stretch that is measured." default:"2"`
	Rounds      int           `help:"How often both are measured, in turns; the middle ratio counts." default:"5"`
	Core        int           `help:"The core that all servers share; -1 for any." default:"1"`
	JSON        string        `name:"json" help:"File for the rows, as an array." type:"path"`
	Expire      bool          `help:"Have all idle connections reach their time in the same instant."`
	Silent      time.Duration `help:"With --expire: how long a connection may be silent." default:"6s"`
	Heeds       bool          `help:"With --expire: peers close when asked to; --no-heeds waits for the server." default:"true" negatable:""`
	Counts      bool          `help:"Ask servers for their counts by SIGUSR1; --no-counts for versions that do not know it." default:"true" negatable:""`
}

func (c *idleCommand) Run(ctx context.Context) error {
	plan := &idleconns.Plan{Program: c.Server, Connections: c.Connections, Servers: c.Servers, Rate: c.Rate, Busy: c.Busy,
		Seconds: c.Seconds, Rounds: c.Rounds, CPU: c.Core, Statistics: c.Counts, HealthChecks: c.Checks, Expire: c.Expire, IdleTimeout: c.Silent,
		HonorClose: c.Heeds, Progress: os.Stderr}
	if err := plan.Validate(); err != nil {
		return err
	}
	if err := process.AvoidCPU(c.Core); err != nil {
		return err
	}
	debug.SetGCPercent(400) // the load's own pauses would be taken for the servers'
	if c.Expire {
		phases, err := idleconns.RunExpiry(ctx, plan)
		return print(c.JSON, idleconns.PhaseColumns, phases, err)
	}
	rows, err := idleconns.Run(ctx, plan)
	return print(c.JSON, idleconns.Columns, rows, err)
}

// print shows what was measured, also where an error cut it short.
func print[T interface{ Cells() []string }](path string, heads []string, rows []T, err error) error {
	var cells [][]string
	for _, r := range rows {
		cells = append(cells, r.Cells())
	}
	if err2 := report.WriteTable(os.Stdout, heads, cells); err == nil {
		err = err2
	}
	if path != "" {
		if err2 := report.WriteJSON(path, rows); err == nil {
			err = err2
		}
	}
	return err
}

type emulateCommand struct {
	Scenario string `arg:"" optional:"" help:"The scenario, in JSON; without one a small fleet with a crash, a drain and a slow server is played." type:"path"`
	Seed     uint64 `help:"The seed, in place of the scenario's; 0 for that."`
	Seeds    int    `help:"How many seeds are played, one after the other." default:"1"`
	JSON     string `name:"json" help:"File for the reports, as an array." type:"path"`
}

func (c *emulateCommand) Run(ctx context.Context) error {
	if c.Seeds < 1 || c.Seeds > 1000 {
		return fmt.Errorf("--seeds %d: from 1 to 1000", c.Seeds)
	}
	text := simulation.Example
	if c.Scenario != "" {
		var err error
		if text, err = os.ReadFile(c.Scenario); err != nil {
			return err
		}
	}
	scenario, err := simulation.ParseScenario(text)
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		scenario.Seed = c.Seed
	}
	var reports []simulation.Report
	broken := 0
	for range c.Seeds {
		from := time.Now()
		r := simulation.Run(scenario)
		took := time.Since(from).Seconds()
		reports = append(reports, r)
		broken += r.Rules
		if err := print("", simulation.Heads, r.Rows, nil); err != nil {
			return err
		}
		fmt.Printf("seed %d: %d runs, %.3f of the work for nobody, %d rules broken\n", r.Seed, r.Runs, r.Wasted, r.Rules)
		for _, b := range r.Broken {
			fmt.Println("  " + b)
		}
		fmt.Fprintf(os.Stderr, "%d events in %.2f s: %.1f simulated seconds a second\n", r.Events, took, scenario.Seconds/took)
		if scenario.Seed++; ctx.Err() != nil {
			break
		}
	}
	if c.JSON != "" {
		if err := report.WriteJSON(c.JSON, reports); err != nil {
			return err
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d rules broken", broken)
	}
	return nil
}

type auditCommand struct {
	Server  string  `help:"The server's program." default:"bin/swiftcourse" type:"path"`
	Servers int     `help:"Processes." default:"5"`
	Seconds float64 `help:"How long releases and faults go on." default:"8"`
	Seed    uint64  `help:"The first seed." default:"1"`
	Seeds   int     `help:"How many seeds are played, one after the other." default:"1"`
	Rate    float64 `help:"Tasks a second and server." default:"40"`
	Faults  bool    `help:"Faults; --no-faults has releases alone." default:"true" negatable:""`
	Log     bool    `help:"Show the servers' logs too."`
	JSON    string  `name:"json" help:"File for the rows, as an array." type:"path"`
}

func (c *auditCommand) Run(ctx context.Context) error {
	if c.Seeds < 1 || c.Seeds > 1000 {
		return fmt.Errorf("--seeds %d: from 1 to 1000", c.Seeds)
	}
	var rows []rollouts.Row
	var err error
	for range c.Seeds {
		plan := &rollouts.Plan{Program: c.Server, Servers: c.Servers, Seconds: c.Seconds, Seed: c.Seed, Quiet: !c.Faults, Rate: c.Rate}
		if c.Log {
			plan.Log = os.Stderr
		}
		if err = plan.Check(); err != nil {
			break
		}
		var row rollouts.Row
		if row, err = rollouts.Run(ctx, plan); err != nil {
			break
		}
		rows = append(rows, row)
		if bad := row.TwoDigests + row.ActedOut + row.Disagrees + row.Unhealed; bad > 0 {
			fmt.Fprintf(os.Stderr, "seed %d: %d of what must not be; swiftcourse-bench audit --servers %d --seconds %g --seed %d --log shows it again\n", row.Seed, bad,
				c.Servers, c.Seconds, row.Seed)
		}
		c.Seed++
	}
	return print(c.JSON, rollouts.Heads, rows, err)
}

type replicaCommand struct {
	Server  string  `help:"The server's program." default:"bin/swiftcourse" type:"path"`
	Servers int     `help:"Processes; all of them hold copies." default:"5"`
	Copies  int     `help:"Copies of each key." default:"3"`
	Kills   int     `help:"Kills, each with a cold return." default:"5"`
	Seconds float64 `help:"How long faults go on." default:"10"`
	Seed    uint64  `help:"The first seed." default:"1"`
	Seeds   int     `help:"How many seeds are played, one after the other." default:"1"`
	Rate    float64 `help:"Tries a second, over all servers." default:"60"`
	Faults  bool    `help:"Stops, cuts and losses too; --no-faults has kills alone." default:"true" negatable:""`
	Points  bool    `help:"Two servers die at points of claims and copies that the seed draws, again and again."`
	Cost    bool    `help:"Measure first what claims add to latency."`
	Log     bool    `help:"Show the servers' logs too."`
	JSON    string  `name:"json" help:"File for the rows, as an array." type:"path"`
}

func (c *replicaCommand) Run(ctx context.Context) error {
	if c.Seeds < 1 || c.Seeds > 1000 {
		return fmt.Errorf("--seeds %d: from 1 to 1000", c.Seeds)
	}
	var rows []keyclaims.Row
	var err error
	bad := 0
	for range c.Seeds {
		plan := &keyclaims.Plan{Program: c.Server, Servers: c.Servers, Copies: c.Copies, Kills: c.Kills, Seconds: c.Seconds, Seed: c.Seed, Quiet: !c.Faults,
			Points: c.Points, Cost: c.Cost, Rate: c.Rate}
		if c.Log {
			plan.Log = os.Stderr
		}
		if err = plan.Check(); err != nil {
			break
		}
		var row keyclaims.Row
		if row, err = keyclaims.Run(ctx, plan); err != nil {
			break
		}
		rows = append(rows, row)
		bad += row.Bad()
		if row.Bad() > 0 {
			fmt.Fprintf(os.Stderr, "seed %d: %d of what must not be; swiftcourse-bench replica --servers %d --copies %d --kills %d --seconds %g --seed %d --log shows it again\n",
				row.Seed, row.Bad(), c.Servers, c.Copies, c.Kills, c.Seconds, row.Seed)
		}
		if c.Seed++; ctx.Err() != nil {
			break
		}
	}
	if err == nil && bad > 0 {
		err = fmt.Errorf("%d of what must not be", bad)
	}
	return print(c.JSON, keyclaims.Heads, rows, err)
}

type versionCommand struct {
	Servers int     `help:"Servers." default:"100"`
	Voters  int     `help:"Of these, voters." default:"5"`
	Seconds float64 `help:"How long releases and faults go on." default:"60"`
	Seed    uint64  `help:"The first seed." default:"1"`
	Seeds   int     `help:"How many seeds are played, one after the other." default:"1"`
	Keys    float64 `help:"Tasks a second, over all servers, that bear a key and are claimed; 0 for none." default:"0"`
	Faults  bool    `help:"Faults; --no-faults has releases alone." default:"true" negatable:""`
	JSON    string  `name:"json" help:"File for the rows, as an array." type:"path"`
}

func (c *versionCommand) Run(ctx context.Context) error {
	if c.Seeds < 1 || c.Seeds > 10_000 {
		return fmt.Errorf("--seeds %d: from 1 to 10000", c.Seeds)
	}
	var rows []simulation.VersionsRow
	broken := 0
	for range c.Seeds {
		plan := &simulation.Versions{Servers: c.Servers, Voters: c.Voters, Seconds: c.Seconds, Seed: c.Seed, Quiet: !c.Faults, Keys: c.Keys}
		if err := plan.Check(); err != nil {
			return err
		}
		row := simulation.RunVersions(plan)
		if k := row.Claimed; c.Keys > 0 {
			fmt.Printf("seed %d: %d tries of %d keys, %d runs, told %v, untold %d, twice %d, wrong %d, alarms %d, differ %d; grants p50 %.1f ms, p99 %.1f ms\n", row.Seed,
				k.Tries, k.Keys, k.Runs, k.Told, k.Untold, k.Twice, k.Wrong, k.Alarms, k.Differ, k.ClaimP50, k.ClaimP99)
			broken += k.Untold + k.Twice + k.Wrong + k.Alarms + k.Differ
		}
		rows = append(rows, row)
		broken += row.TwoDigests + row.ActedOut + row.TooMany + row.Unhealed
		if c.Seed++; ctx.Err() != nil {
			break
		}
	}
	var err error
	if broken > 0 {
		err = fmt.Errorf("%d of what must not be", broken)
	}
	return print(c.JSON, simulation.VersionsHeads, rows, err)
}

type sharedCommand struct {
	Program string  `name:"server" help:"The server's program: processes of it in place of simulated time; at most 30 servers." type:"path"`
	Fault   string  `help:"With --server: one fault that comes again and again (kill, leader, stop, cut, one-way, loss, jump, voters), or seed." default:"seed"`
	Servers int     `help:"Servers." default:"100"`
	Voters  int     `help:"Of these, voters." default:"5"`
	Seconds float64 `help:"How long faults go on." default:"60"`
	Seed    uint64  `help:"The first seed." default:"1"`
	Seeds   int     `help:"How many seeds are played, one after the other." default:"1"`
	JSON    string  `name:"json" help:"File for the rows, as an array." type:"path"`
}

func (c *sharedCommand) Run(ctx context.Context) error {
	if c.Seeds < 1 || c.Seeds > 10_000 {
		return fmt.Errorf("--seeds %d: from 1 to 10000", c.Seeds)
	}
	if c.Program != "" {
		return c.processes(ctx)
	}
	return emulated(ctx, c.Seeds, c.JSON, simulation.SharedHeads, func() (simulation.SharedRow, error) {
		plan := &simulation.Shared{Servers: c.Servers, Voters: c.Voters, Seconds: c.Seconds, Seed: c.Seed}
		c.Seed++
		if err := plan.Check(); err != nil {
			return simulation.SharedRow{}, err
		}
		return simulation.RunShared(plan), nil
	})
}

// emulated plays seeds one after the other, and prints their rows.
func emulated[R interface {
	Bad() int
	Cells() []string
}](ctx context.Context, seeds int, json string, heads []string, play func() (R, error)) error {
	var rows []R
	bad := 0
	for range seeds {
		row, err := play()
		if err != nil {
			return err
		}
		rows = append(rows, row)
		bad += row.Bad()
		if ctx.Err() != nil {
			break
		}
	}
	var err error
	if bad > 0 {
		err = fmt.Errorf("%d of what must not be", bad)
	}
	return print(json, heads, rows, err)
}

type countsCommand struct {
	Servers int     `help:"Servers." default:"20"`
	Voters  int     `help:"Of these, voters." default:"5"`
	Seconds float64 `help:"How long faults go on." default:"60"`
	Seed    uint64  `help:"The first seed." default:"1"`
	Seeds   int     `help:"How many seeds are played, one after the other." default:"1"`
	JSON    string  `name:"json" help:"File for the rows, as an array." type:"path"`
}

func (c *countsCommand) Run(ctx context.Context) error {
	if c.Seeds < 1 || c.Seeds > 10_000 {
		return fmt.Errorf("--seeds %d: from 1 to 10000", c.Seeds)
	}
	return emulated(ctx, c.Seeds, c.JSON, simulation.CountsHeads, func() (simulation.CountsRow, error) {
		plan := &simulation.Counts{Servers: c.Servers, Voters: c.Voters, Seconds: c.Seconds, Seed: c.Seed}
		c.Seed++
		if err := plan.Check(); err != nil {
			return simulation.CountsRow{}, err
		}
		return simulation.RunCounts(plan), nil
	})
}

// processes plays it with the real program.
func (c *sharedCommand) processes(ctx context.Context) error {
	var rows []quotas.Row
	bad := 0
	for range c.Seeds {
		plan := &quotas.Plan{Program: c.Program, Servers: c.Servers, Seconds: c.Seconds, Seed: c.Seed}
		if c.Fault != "seed" {
			plan.Fault = c.Fault
		}
		if err := plan.Check(); err != nil {
			return err
		}
		row, err := quotas.Run(ctx, plan)
		if err != nil {
			return err
		}
		rows = append(rows, row)
		bad += row.Bad()
		if c.Seed++; ctx.Err() != nil {
			break
		}
	}
	var err error
	if bad > 0 {
		err = fmt.Errorf("%d of what must not be", bad)
	}
	return print(c.JSON, quotas.Heads, rows, err)
}

type fleetCommand struct {
	Server     string  `help:"The server's program." default:"bin/swiftcourse" type:"path"`
	Forwarders int     `help:"Forwarders." default:"3"`
	Planners   int     `help:"Planners." default:"3"`
	Workers    int     `help:"Workers." default:"4"`
	Seconds    float64 `help:"How long each of the three plays of a seed is." default:"12"`
	KillEvery  float64 `help:"Seconds between two kills." default:"2"`
	Load       float64 `help:"What is asked for, over what the workers can do." default:"0.8"`
	Crowd      int     `help:"Connections that say nothing at a forwarder while its memory is measured; 0 for not." default:"0"`
	Seed       uint64  `help:"The first seed." default:"1"`
	Seeds      int     `help:"How many seeds are played, one after the other." default:"1"`
	Log        bool    `help:"Show the processes' logs too."`
	JSON       string  `name:"json" help:"File for the rows, as an array." type:"path"`
}

func (c *fleetCommand) Run(ctx context.Context) error {
	return emulated(ctx, c.Seeds, c.JSON, twolevel.Columns, func() (twolevel.Row, error) {
		plan := &twolevel.Plan{Program: c.Server, Forwarders: c.Forwarders, Planners: c.Planners, Workers: c.Workers, Seconds: c.Seconds, KillInterval: c.KillEvery,
			Load: c.Load, IdleConns: c.Crowd, Seed: c.Seed}
		if c.Log {
			plan.Log = os.Stderr
		}
		c.Seed++
		if err := plan.Validate(); err != nil {
			return twolevel.Row{}, err
		}
		return twolevel.Run(ctx, plan)
	})
}

type levelsCommand struct {
	Forwarders int     `help:"Forwarders." default:"100"`
	Planners   int     `help:"Planners." default:"5"`
	Workers    int     `help:"Workers." default:"1000"`
	Seconds    float64 `help:"How long it is measured." default:"20"`
	KillEvery  float64 `help:"Seconds between two faults among planners; 0 for none." default:"2"`
	Alone      bool    `help:"No planner is there."`
	Blind      bool    `help:"A third of the forwarders reaches half of the workers alone."`
	Load       float64 `help:"What is asked for, over what the workers can do." default:"0.8"`
	Seed       uint64  `help:"The first seed." default:"1"`
	Seeds      int     `help:"How many seeds are played, one after the other." default:"1"`
	JSON       string  `name:"json" help:"File for the rows, as an array." type:"path"`
}

func (c *levelsCommand) Run(ctx context.Context) error {
	return emulated(ctx, c.Seeds, c.JSON, simulation.LevelsHeads, func() (simulation.LevelsRow, error) {
		plan := &simulation.Levels{Forwarders: c.Forwarders, Planners: c.Planners, Workers: c.Workers, Seconds: c.Seconds, KillEvery: c.KillEvery, Alone: c.Alone,
			Blind: c.Blind, Load: c.Load, Seed: c.Seed}
		c.Seed++
		if err := plan.Check(); err != nil {
			return simulation.LevelsRow{}, err
		}
		return simulation.RunLevels(plan), nil
	})
}

type holdCommand struct {
	Addr  string `arg:""`
	N     int    `arg:""`
	Heeds bool
}

func (c *holdCommand) Run() error {
	return idleconns.ServeHolder(os.Stdin, os.Stdout, c.Addr, c.N, c.Heeds)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var p program
	words := kong.Parse(&p, kong.Name("swiftcourse-bench"), kong.Description("The laboratory of swiftcourse: experiments with real servers on loopback."),
		kong.UsageOnError(), kong.BindTo(ctx, (*context.Context)(nil)))
	if err := words.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "swiftcourse-bench:", err)
		stop()
		os.Exit(1)
	}
}
