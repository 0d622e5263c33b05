package fleetcmd

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// commandLine declares the commands. The name of a field is the command's name on the command line;
// the type is named after what the command shows or sends.
type commandLine struct {
	At string `help:"The fleet-control address of any server." env:"SWIFTCOURSE_FLEET" default:"127.0.0.1:7950"`

	Status   statusCommand   `cmd:"" help:"Show the servers, their versions and which servers lag."`
	Audit    auditCommand    `cmd:"" help:"Show which server acted on which version when; exit status 2 on an alarm."`
	Diff     replicasCommand `cmd:"" help:"Show the state of all replicas and their faults; exit status 2 on an alarm."`
	Budgets  quotasCommand   `cmd:"" help:"Show the server's shares of fleet quotas and, at the leader, all grants."`
	Counts   countersCommand `cmd:"" help:"Show the request counters and what may be missing; only voters have them."`
	Demo     demoCommand     `cmd:"" help:"Run a two-level fleet and kill processes; needs swiftcourse-bench."`
	Plans    plansCommand    `cmd:"" help:"Show a forwarder's load plan; at the leading planner, its whole state."`
	Release  releaseCommand  `cmd:"" help:"Release a new version of the settings."`
	Rollback rollbackCommand `cmd:"" help:"Release the text of the previous version as a new version."`
	Evict    ejectCommand    `cmd:"" help:"Eject a server until it is readmitted."`
	Admit    readmitCommand  `cmd:"" help:"Readmit an ejected server."`
}

// session has the server address and the outputs of a command.
type session struct {
	addr   string    // address of a server's control API
	out    io.Writer // output of the command
	alarms io.Writer // output of alarms
}

// Run runs the command in the arguments. The error is cli.ErrAlarm if the command printed an alarm
// of the fleet.
func Run(args []string) error {
	var commands commandLine
	parser, err := kong.New(&commands, kong.Name("swiftcourse fleet"),
		kong.Description("Inspect and operate a fleet through any of its servers."))
	if err != nil {
		return err
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return parsed.Run(&session{addr: commands.At, out: os.Stdout, alarms: os.Stderr})
}

// FlagError reports the value of a flag that can't be parsed.
type FlagError struct {
	Flag   string // for example "--waves"
	Value  string
	Reason string
}

// Error returns the flag, its value and the reason.
func (e *FlagError) Error() string { return fmt.Sprintf("%s: %q %s", e.Flag, e.Value, e.Reason) }
