package cli

import (
	"log/slog"
	"os"

	"swiftcourse/internal/config"
	"swiftcourse/internal/lifecycle"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/server"
)

// loadStartup reads the platform's configuration. getenv returns the value of an environment
// variable.
type loadStartup func(getenv func(string) string) (*config.Startup, error)

// serve runs a server until it is drained. An invalid configuration or a failure of the server ends
// the process.
func serve(proc *process, operatorFlag string, load loadStartup) error {
	startup, err := load(os.Getenv)
	if err != nil {
		logging.Fatal("startup_config_invalid", "err", err)
	}
	operatorPath := config.OperatorFilePath(operatorFlag, os.Getenv)
	operator, err := config.LoadOperatorSettings(operatorPath)
	if err != nil {
		logging.Fatal("operator_config_invalid", "err", err)
	}
	if operator.Fleet.Enabled && proc.fleet == nil {
		logging.Fatal("exec_failed", "err", execFleetProgram())
	}
	lifecycle.ApplyLimits(startup.Cores, startup.MemoryBytes)
	logStartup(startup, operator, operatorPath)

	reloader := &reloader{
		startup:      startup,
		operatorPath: operatorPath,
		server:       server.New(startup, operator),
	}
	if operator.Fleet.Enabled {
		reloader.fleet = proc.fleet
	}
	proc.signals.Handle(lifecycle.Handlers{
		Stop:   reloader.server.Drain,
		Reload: reloader.reload,
		Report: reloader.server.LogStatistics,
	})
	if err := startFleet(proc.fleet, startup, operator, reloader.server); err != nil {
		logging.Fatal("operator_config_invalid", "err", err)
	}
	if err := reloader.server.Run(); err != nil {
		logging.Fatal("server_failed", "err", err)
	}
	return nil
}

// startFleet enables forwarding and starts the fleet agent, each if the configuration requires it.
func startFleet(fleet Fleet, startup *config.Startup, operator *config.OperatorSettings, server *server.Server) error {
	if startup.Forwarder {
		if err := fleet.EnableForwarding(startup, operator, server); err != nil {
			return err
		}
	}
	if operator.Fleet.Enabled {
		return fleet.Start(startup, operator, server)
	}
	return nil
}

// logStartup logs the effective configuration.
func logStartup(startup *config.Startup, operator *config.OperatorSettings, operatorPath string) {
	slog.Info("server_starting",
		"name", startup.Name,
		"listen", startup.Listen,
		"executor", startup.Executor,
		"upstream", startup.Upstream,
		"registry", startup.Registry,
		"stop_timeout_s", startup.StopTimeout,
		"cores", startup.Cores,
		"memory_mb", startup.MemoryBytes>>20,
		"sockets", startup.MaxSockets,
		"classes", len(startup.ClassIndex),
		"tenants", len(startup.TenantIndex),
		"operator_file", operatorPath,
		"connection_admission", operator.ConnLimit.Enabled,
	)
	for _, key := range startup.UnsupportedKeys {
		slog.Info("setting_unsupported", "key", key, "reason", "the executor's protocol has no message for it")
	}
	for i, class := range startup.Settings.Classes {
		slog.Info("request_class",
			"name", startup.ClassNames[i],
			"soft_deadline_s", class.SoftDeadline,
			"hard_deadline_s", class.Timeout,
			"value", class.Value,
			"late_value", class.LateValueFraction,
			"degraded_value", class.DegradedValueFraction,
			"calls_downstream", class.CallsDownstream,
		)
	}
}
