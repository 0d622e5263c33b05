package fleetcmd

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// commandLine declares the commands. A field has the name of its command, a type that of what it
// shows or sends.
type commandLine struct {
	At string `help:"The fleet-control of any server." env:"SWIFTCOURSE_FLEET" default:"127.0.0.1:7950"`

	Status   statusCommand   `cmd:"" help:"Show the servers, their versions and which of them lag."`
	Audit    auditCommand    `cmd:"" help:"Show which server acted on which version when; exit status 2 at an alarm."`
	Diff     replicasCommand `cmd:"" help:"Show the state of all replicas and their faults; exit status 2 at an alarm."`
	Budgets  quotasCommand   `cmd:"" help:"Show the server's shares of fleet quotas and, at the leader, all grants."`
	Counts   countersCommand `cmd:"" help:"Show the fleet's request counters, and what they may lack; known to voters."`
	Demo     demoCommand     `cmd:"" help:"Show two levels while processes die; needs swiftcourse-bench."`
	Plans    plansCommand    `cmd:"" help:"Show a forwarder's load plan; at the leading planner, all that it knows."`
	Release  releaseCommand  `cmd:"" help:"Release a version."`
	Rollback rollbackCommand `cmd:"" help:"Release the text of the version before, as a new version."`
	Evict    ejectCommand    `cmd:"" help:"Eject a server until it is readmitted."`
	Admit    readmitCommand  `cmd:"" help:"Readmit an ejected server."`
}

// session is what a command needs.
type session struct {
	addr   string    // of a server's control API
	out    io.Writer // for what the command shows
	alarms io.Writer
}

// Run runs the command that the arguments name. The error is cli.ErrAlarm if the command showed an
// alarm of the fleet.
func Run(args []string) error {
	var commands commandLine
	parser, err := kong.New(&commands, kong.Name("swiftcourse fleet"),
		kong.Description("Inspect and operate a fleet, by any of its servers."))
	if err != nil {
		return err
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return parsed.Run(&session{addr: commands.At, out: os.Stdout, alarms: os.Stderr})
}

// FlagError reports the value of a flag that can't be read.
type FlagError struct {
	Flag   string // such as "--waves"
	Value  string
	Reason string
}

// Error names the flag, its value and what is wrong with it.
func (e *FlagError) Error() string { return fmt.Sprintf("%s: %q %s", e.Flag, e.Value, e.Reason) }
