package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"swiftcourse/internal/config"
)

// fleetProgram is the program with a fleet agent. It stands in the folder of the one without.
const fleetProgram = "swiftcourse-fleet"

// commandLine declares the commands.
type commandLine struct {
	Serve   serveCommand   `cmd:"" default:"withargs" help:"Serve, as RELAY_CONFIG says: the default."`
	Forward forwardCommand `cmd:"" help:"Forward requests to workers, by load plans and own routing: docs/planners.md."`
	Plan    planCommand    `cmd:"" help:"Be one of the load planners that forwarders follow."`
	Check   checkCommand   `cmd:"" help:"Print all faults of an operator's file."`
	Fleet   fleetCommand   `cmd:"" passthrough:"" help:"Inspect and operate a fleet: swiftcourse fleet --help."`
}

// serveCommand serves requests.
type serveCommand struct {
	Conf string `help:"The operator's file; SWIFTCOURSE_CONF names it too." type:"path" placeholder:"FILE"`
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

// planCommand is a load planner.
type planCommand struct {
	Conf string `help:"The operator's file; SWIFTCOURSE_CONF names it too." type:"path" placeholder:"FILE"`
	Name string `help:"This planner's name among fleet-voters; RELAY_NAME names it too." env:"RELAY_NAME" required:""`
}

// Run plans until a signal stops it.
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

// checkCommand checks an operator's file.
type checkCommand struct {
	File string `arg:"" help:"The operator's file." type:"path"`
}

// Run returns an error with a line for each fault of the file.
func (c *checkCommand) Run() error {
	if _, err := config.LoadOperatorSettings(c.File); err != nil {
		return err
	}
	fmt.Println(c.File, "is valid")
	return nil
}

// fleetCommand passes its arguments on to the commands that operate a fleet.
type fleetCommand struct {
	Args []string `arg:"" optional:""`
}

// Run runs the command that the arguments name.
func (c *fleetCommand) Run(proc *process) error {
	if proc.fleet == nil {
		return execFleetProgram()
	}
	return proc.fleet.RunCommand(c.Args)
}

// execFleetProgram replaces this program by the one with a fleet agent, which gets the same
// arguments and environment. It returns only if that failed.
func execFleetProgram() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), fleetProgram)
	args := append([]string{path}, os.Args[1:]...)
	return fmt.Errorf("%s: %w", path, syscall.Exec(path, args, os.Environ()))
}
