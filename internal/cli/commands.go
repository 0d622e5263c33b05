package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"swiftcourse/internal/config"
)

// fleetProgram is the program with a fleet agent. It is in the same folder as the one without.
const fleetProgram = "swiftcourse-fleet"

// commandLine declares the commands.
type commandLine struct {
	Serve   serveCommand   `cmd:"" default:"withargs" help:"Serve, configured by RELAY_CONFIG. The default command."`
	Forward forwardCommand `cmd:"" help:"Forward requests to workers, by load plans and own routing: docs/planners.md."`
	Plan    planCommand    `cmd:"" help:"Run a load planner for forwarders."`
	Check   checkCommand   `cmd:"" help:"Validate an operator's file and print all its faults."`
	Fleet   fleetCommand   `cmd:"" passthrough:"" help:"Inspect and operate a fleet: swiftcourse fleet --help."`
}

// serveCommand serves requests.
type serveCommand struct {
	Conf string `help:"The operator's file; default: the value of SWIFTCOURSE_CONF." type:"path" placeholder:"FILE"`
}

// Run serves until the server is drained.
func (c *serveCommand) Run(proc *process) error {
	return serve(proc, c.Conf, config.Load)
}

// forwardCommand serves requests by forwarding them.
type forwardCommand struct{ serveCommand }

// Run forwards until the server is drained.
func (c *forwardCommand) Run(proc *process) error {
	if proc.fleet == nil {
		return execFleetProgram()
	}
	return serve(proc, c.Conf, config.LoadForwarder)
}

// planCommand runs a load planner.
type planCommand struct {
	Conf string `help:"The operator's file; default: the value of SWIFTCOURSE_CONF." type:"path" placeholder:"FILE"`
	Name string `help:"Name of this planner in fleet-voters; default: RELAY_NAME's value." env:"RELAY_NAME" required:""`
}

// Run runs the planner until a signal stops it.
func (c *planCommand) Run(proc *process) error {
	if proc.fleet == nil {
		return execFleetProgram()
	}
	operator, err := config.LoadOperatorSettings(config.OperatorFilePath(c.Conf, os.Getenv))
	if err != nil {
		return err
	}
	return proc.fleet.RunPlanner(c.Name, operator, proc.signals)
}

// checkCommand validates an operator's file.
type checkCommand struct {
	File string `arg:"" help:"The operator's file." type:"path"`
}

// Run prints that the file is valid, or returns an error with a line for each fault.
func (c *checkCommand) Run() error {
	if _, err := config.LoadOperatorSettings(c.File); err != nil {
		return err
	}
	fmt.Println(c.File, "is valid")
	return nil
}

// fleetCommand passes its arguments to the commands that operate a fleet.
type fleetCommand struct {
	Args []string `arg:"" optional:""`
}

// Run runs the command in the arguments.
func (c *fleetCommand) Run(proc *process) error {
	if proc.fleet == nil {
		return execFleetProgram()
	}
	return proc.fleet.RunCommand(c.Args)
}

// execFleetProgram executes the program with a fleet agent in place of this one, with the same
// arguments and environment. It returns only if this fails.
func execFleetProgram() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), fleetProgram)
	args := append([]string{path}, os.Args[1:]...)
	return fmt.Errorf("%s: %w", path, syscall.Exec(path, args, os.Environ()))
}
