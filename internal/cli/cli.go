package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"swiftcourse/internal/config"
	"swiftcourse/internal/lifecycle"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/server"
)

// The exit statuses of a program whose command failed.
const (
	exitFailed = 1
	exitAlarm  = 2
)

// ErrAlarm is returned by a command that has already printed that the fleet has a fault. It ends the
// program with status 2 and without a further message.
var ErrAlarm = errors.New("the fleet has an alarm")

// Fleet is the fleet agent of a program, and the commands that operate a fleet.
type Fleet interface {
	// Start starts the fleet agent of a server; operator is the file of this server.
	Start(startup *config.Startup, operator *config.OperatorSettings, server *server.Server) error
	// EnableForwarding has a server forward its requests to workers. It is called before Start.
	EnableForwarding(startup *config.Startup, operator *config.OperatorSettings, server *server.Server) error
	// RunPlanner runs the load planner of that name until a signal stops it.
	RunPlanner(name string, operator *config.OperatorSettings, signals lifecycle.Signals) error
	// Reload applies the operator's file of this server after it was read again.
	Reload(operator *config.OperatorSettings)
	// RunCommand runs the command line that follows "fleet".
	RunCommand(args []string) error
}

// process is what commands need of the process that runs them.
type process struct {
	signals lifecycle.Signals
	fleet   Fleet // nil in the program without a fleet agent
}

// Main runs the command line of a program and does not return an error: it prints it and ends the
// process. The fleet is nil for the program without a fleet agent.
func Main(fleet Fleet) {
	signals := lifecycle.CatchSignals() // before all else, so that none ends the process
	logging.SetOutput(os.Stderr)
	if err := run(&process{signals: signals, fleet: fleet}); err != nil {
		exit(err)
	}
}

// run runs the command that the process was started with.
func run(proc *process) error {
	var commands commandLine
	if len(os.Args) == 1 { // serve without loading the argument parser into memory
		return commands.Serve.Run(proc)
	}
	parsed := kong.Parse(&commands, kong.Name("swiftcourse"), kong.UsageOnError(), kong.Bind(proc),
		kong.Description("Admission control and scheduling for servers behind balancers that can't be changed."))
	return parsed.Run()
}

// exit ends the process because its command failed.
func exit(err error) {
	if errors.Is(err, ErrAlarm) {
		os.Exit(exitAlarm)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitFailed)
}
