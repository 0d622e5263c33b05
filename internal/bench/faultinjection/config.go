package faultinjection

import (
	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/upstream"
	"swiftcourse/internal/wire/catalogue"
	"swiftcourse/internal/wire/simulator"
)

// Config says how a fleet of processes is started.
type Config struct {
	Shape               process.Config
	Servers             int
	Voters              int
	ExtraSettings       string            // more lines of every operator's file
	ExtraSettingsByName map[string]string // more lines of one process's file
	ClockByName         map[string]string // SWIFTCOURSE_TEST_CLOCK of one process
	BuildByName         map[string]string // SWIFTCOURSE_BUILD of one process
	ProgramByName       map[string]string // binary of one process, in place of the shape's; see Fleet.SetProgram
	Seed                uint64
	RunLog              *RunLog // of the fake executors; nil for none
	RunSeconds          float64 // of a request; 0 for that of the shape
	// CrashPointByName is SWIFTCOURSE_TEST_DIE of one process: POINT,N or POINT,N,S has it die when
	// it passes that trace point for the Nth time, from S seconds after its start on.
	CrashPointByName map[string]string
	NoRelays         bool               // connect directly, for measurements in fractions of a millisecond
	FleetDisabled    bool               // the processes are no fleet
	Tenants          []simulator.Tenant // none for a service without tenants

	// Planners and Forwarders, if there are any, are the processes of this fleet instead of
	// servers: p1 and on, which are the voters, and f1 and on. Workers are then servers without a
	// fleet behind the forwarders, with WorkerShape.
	Planners    int
	Forwarders  int
	Workers     int
	WorkerShape process.Config

	// CallOutcome has each request make a call upstream and returns the response to the nth call of
	// a process; nil for no calls.
	CallOutcome func(name string, n int, call catalogue.Call) upstream.Response
}

// VoterCount returns how many of a number of servers vote in an experiment: three, and two more for
// every fifteen servers.
func VoterCount(servers int) int { return min(servers, 3+2*(servers/15)) }

// names returns the names of the fleet's processes.
func (c *Config) names() []string {
	names := numberedNames("n", c.Servers)
	names = append(names, numberedNames("p", c.Planners)...)
	return append(names, numberedNames("f", c.Forwarders)...)
}
