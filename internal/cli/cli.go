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

// ErrAlarm is returned by a command that found a fault in the fleet and has already printed it. The
// program then exits with status 2 and prints no further message.
var ErrAlarm = errors.New("the fleet has an alarm")

// Fleet has the fleet agent of a program and the commands that operate a fleet.
type Fleet interface {
	// Start starts the fleet agent of a server. operator has the settings of this server's own file.
	Start(startup *config.Startup, operator *config.OperatorSettings, server *server.Server) error
	// EnableForwarding makes a server forward its requests to workers. It is called before Start.
	EnableForwarding(startup *config.Startup, operator *config.OperatorSettings, server *server.Server) error
	// RunPlanner runs a load planner with the given name until a signal stops it.
	RunPlanner(name string, operator *config.OperatorSettings, signals lifecycle.Signals) error
	// Reload applies operator, the settings of this server's own file, after the file was read again.
	Reload(operator *config.OperatorSettings)
	// RunCommand runs the command in the arguments that follow "fleet".
	RunCommand(args []string) error
}

// process is the state of the process that is passed to commands.
type process struct {
	signals lifecycle.Signals
	fleet   Fleet // nil in the program without a fleet agent
}

// Main runs the command line of a program. If the command fails, Main prints the error and ends the
// process. fleet is nil for the program without a fleet agent.
func Main(fleet Fleet) {
	signals := lifecycle.CatchSignals() // before anything else, so that no signal ends the process
	logging.SetOutput(os.Stderr)
	if err := run(&process{signals: signals, fleet: fleet}); err != nil {
		exit(err)
	}
}

// run runs the command in the arguments of the process.
func run(proc *process) error {
	var commands commandLine
	if len(os.Args) == 1 { // serve without the argument parser, to save its memory
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
