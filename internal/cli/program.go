// Package cli is the command line of the server and its wiring. Two programs have it: swiftcourse, and swiftcourse-fleet, which also has the
// fleet's parts. Those are libraries that a server without a fleet shall not carry, so the first becomes the second where a fleet is asked for.
package cli

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"

	"swiftcourse/internal/config"
	"swiftcourse/internal/lifecycle"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/server"
)

type program struct {
	Serve   serveCommand   `cmd:"" default:"withargs" help:"Serve, as the environment and RELAY_CONFIG tell. This is what it does with no words."`
	Forward forwardCommand `cmd:"" help:"Pass tasks on to workers, by plans and by its own judgement: see docs/planners.md."`
	Plan    planCommand    `cmd:"" help:"Be one of the planners that forwarders go by."`
	Check   checkCommand   `cmd:"" help:"Tell all that is wrong with an operator's file."`
	Fleet   fleetCommand   `cmd:"" passthrough:"" help:"Ask and steer a fleet: swiftcourse fleet --help."`
}

// Parts are what a server has of its fleet.
type Parts interface {
	// Start begins the fleet's part of a server; own is the operator's file of this server.
	Start(start *config.Startup, own *config.OperatorSettings, server *server.Server) error
	// Forward has a server pass its tasks on to workers; it is called before Start.
	Forward(start *config.Startup, own *config.OperatorSettings, server *server.Server) error
	// Plan makes plans under a name until the end.
	Plan(name string, own *config.OperatorSettings, signals lifecycle.Signals) error
	// Reread takes the operator's file of this server again.
	Reread(own *config.OperatorSettings)
	// Command carries the words after "fleet" out.
	Command(words []string) error
}

// host holds the parts that a program has, nil for none.
type host struct{ parts Parts }

type fleetCommand struct {
	Words []string `arg:"" optional:""`
}

func (c *fleetCommand) Run(h *host) error {
	if h.parts == nil {
		return become()
	}
	return h.parts.Command(c.Words)
}

// withFleet is the program that has the fleet's parts; it stands beside this one.
const withFleet = "swiftcourse-fleet"

// become has this process go on as the program that has the fleet's parts, with the same words.
func become() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	other := filepath.Join(filepath.Dir(self), withFleet)
	return fmt.Errorf("%s: %w", other, syscall.Exec(other, append([]string{other}, os.Args[1:]...), os.Environ()))
}

type serveCommand struct {
	Conf string `help:"The operator's file; SWIFTCOURSE_CONF names it too." type:"path" placeholder:"FILE"`
}

type forwardCommand struct{ serveCommand }

func (c *forwardCommand) Run(signals lifecycle.Signals, h *host) error {
	if h.parts == nil {
		return become()
	}
	return c.run(signals, h, config.LoadForwarder)
}

type planCommand struct {
	Conf string `help:"The operator's file; SWIFTCOURSE_CONF names it too." type:"path" placeholder:"FILE"`
	Name string `help:"This planner's name among fleet-voters; RELAY_NAME names it too." env:"RELAY_NAME" required:""`
}

func (c *planCommand) Run(signals lifecycle.Signals, h *host) error {
	if h.parts == nil {
		return become()
	}
	conf, err := config.LoadOperatorSettings(config.OperatorFilePath(c.Conf, os.Getenv))
	if err != nil {
		return err
	}
	return h.parts.Plan(c.Name, conf, signals)
}

type checkCommand struct {
	File string `arg:"" help:"The operator's file." type:"path"`
}

func (c *checkCommand) Run() error {
	if _, err := config.LoadOperatorSettings(c.File); err != nil {
		return err
	}
	fmt.Println(c.File, "is right")
	return nil
}

func (c *serveCommand) Run(signals lifecycle.Signals, h *host) error {
	return c.run(signals, h, config.Load)
}

func (c *serveCommand) run(signals lifecycle.Signals, h *host, read func(func(string) string) (*config.Startup, error)) error {
	parts := h.parts
	start, err := read(os.Getenv)
	if err != nil {
		logging.Fatal("bad_configuration", "err", err)
	}
	path := config.OperatorFilePath(c.Conf, os.Getenv)
	conf, err := config.LoadOperatorSettings(path)
	if err != nil {
		logging.Fatal("bad_conf", "err", err)
	}
	if conf.Fleet.Enabled && parts == nil {
		logging.Fatal("end", "err", become())
	}
	lifecycle.ApplyLimits(start.Cores, start.MemoryBytes)
	slog.Info("start", "name", start.Name, "listen", start.Listen, "processor", start.Executor,
		"catalogue", start.Upstream, "roster", start.Registry, "stop_s", start.StopTimeout, "cores", start.Cores,
		"memory_mb", start.MemoryBytes>>20, "sockets", start.MaxSockets, "stages", len(start.ClassIndex),
		"tenants", len(start.TenantIndex), "conf", path, "door", conf.ConnLimit.Enabled)
	for _, key := range start.UnsupportedKeys {
		slog.Info("setting_unused", "key", key, "why", "this protocol has no command for it")
	}
	for i, stage := range start.Settings.Classes {
		slog.Info("stage", "name", start.ClassNames[i], "due_s", stage.SoftDeadline, "limit_s", stage.Timeout,
			"utility", stage.Value, "late_utility", stage.LateValue, "skip_utility", stage.DegradedValue,
			"calls", stage.CallsDownstream)
	}
	server := server.New(start, conf)
	reload := func() {
		to, ignored, err := start.Reload(os.Getenv)
		next, err2 := config.LoadOperatorSettings(path)
		if err != nil || err2 != nil {
			for _, err := range []error{err, err2} {
				if err != nil {
					slog.Info("reload_rejected", "err", err)
				}
			}
			return
		}
		for _, key := range ignored {
			slog.Info("reload_ignores", "key", key)
		}
		slog.Info("reload", "processor", to.Executor, "catalogue", to.Upstream, "roster", to.Registry, "door", next.ConnLimit.Enabled)
		server.SetEndpoints(to)
		if conf.Fleet.Enabled && parts != nil {
			parts.Reread(next)
			return
		}
		server.ReloadConfig(next)
	}
	signals.Handle(lifecycle.Handlers{Stop: server.Drain, Reload: reload, Report: server.LogStatistics})
	if start.Forwarder {
		if err := parts.Forward(start, conf, server); err != nil {
			logging.Fatal("bad_conf", "err", err)
		}
	}
	if conf.Fleet.Enabled {
		if err := parts.Start(start, conf, server); err != nil {
			logging.Fatal("bad_conf", "err", err)
		}
	}
	if err := server.Run(); err != nil {
		logging.Fatal("end", "err", err)
	}
	return nil
}

// Main runs a program; parts are nil in one without a fleet's.
func Main(parts Parts) {
	signals := lifecycle.CatchSignals() // before all else, so that none ends the process
	logging.SetOutput(os.Stderr)
	var p program
	if len(os.Args) == 1 { // no words: it serves, and what reads words stays out of memory
		if err := p.Serve.Run(signals, &host{parts}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	words := kong.Parse(&p, kong.Name("swiftcourse"), kong.UsageOnError(), kong.Bind(signals), kong.Bind(&host{parts}),
		kong.Description("Admission and scheduling for servers behind balancers that nobody can change."))
	if err := words.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
