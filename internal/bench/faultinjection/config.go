package faultinjection

import (
	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/upstream"
	"swiftcourse/internal/wire/catalogue"
	"swiftcourse/internal/wire/simulator"
)

// Config is the configuration of a Fleet.
type Config struct {
	ProcessConfig       process.Config
	Servers             int
	Voters              int
	ExtraSettings       string            // additional lines of every process's operator file
	ExtraSettingsByName map[string]string // additional lines of the operator file, by process name
	ClockByName         map[string]string // SWIFTCOURSE_TEST_CLOCK by process name
	BuildByName         map[string]string // SWIFTCOURSE_BUILD by process name
	ProgramByName       map[string]string // binaries in place of ProcessConfig.Program, by process name
	Seed                uint64
	RunLog              *RunLog // records the runs of the fake executors; nil to record none
	RunSeconds          float64 // CPU time of a request; 0 for that of ProcessConfig
	// CrashPointByName is SWIFTCOURSE_TEST_DIE by process name. With POINT,N or POINT,N,S the
	// process crashes when it passes the trace point for the Nth time, counted from S seconds after
	// its start.
	CrashPointByName map[string]string
	NoRelays         bool               // connect directly, for measurements that the relays' latency would distort
	FleetDisabled    bool               // start the processes as single servers
	Tenants          []simulator.Tenant // none for a service without tenants

	// If Forwarders is over 0, the fleet consists of planners (p1, p2 and so on), which are the
	// voters, and forwarders (f1, f2 and so on) instead of servers. The workers behind the
	// forwarders are single servers with WorkerConfig.
	Planners     int
	Forwarders   int
	Workers      int
	WorkerConfig process.Config

	// CallOutcome returns the response to the nth downstream call of a process. If it is nil,
	// requests make no calls.
	CallOutcome func(name string, n int, call catalogue.Call) upstream.Response
}

// VoterCount returns the number of voters in a fleet of experiments: three, and two more for every
// fifteen servers.
func VoterCount(servers int) int { return min(servers, 3+2*(servers/15)) }

// names returns the names of the fleet's processes.
func (c *Config) names() []string {
	names := numberedNames("n", c.Servers)
	names = append(names, numberedNames("p", c.Planners)...)
	return append(names, numberedNames("f", c.Forwarders)...)
}
