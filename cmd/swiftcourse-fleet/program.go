package main

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"strconv"

	"swiftcourse/internal/cli/fleetcmd"
	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/forwarder"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/server"
)

// agentThreads is the number of threads that the Go runtime gets in addition to those of a server
// without a fleet, so that the fleet agent's goroutine and the server's event loop do not delay
// each other.
const agentThreads = 1

// fleetProgram connects the process's server to its fleet agent. It implements cli.Fleet.
type fleetProgram struct {
	startup    *config.Startup
	server     *server.Server
	clock      *fleet.Clock // clock of the fleet agent
	settings   *liveSettings
	allowances *allowanceSet
	dispatcher *forwarder.Dispatcher // nil unless the server forwards its requests
}

// RunCommand runs the command in the arguments that follow "fleet".
func (p *fleetProgram) RunCommand(args []string) error { return fleetcmd.Run(args) }

// Start starts the fleet agent of a server and connects the server to it.
func (p *fleetProgram) Start(startup *config.Startup, operator *config.OperatorSettings, srv *server.Server) error {
	runtime.GOMAXPROCS(runtime.GOMAXPROCS(0) + agentThreads)
	p.startup = startup
	p.server = srv
	p.allowances = newAllowanceSet(srv)
	agentConfig, err := p.agentConfig(operator)
	if err != nil {
		return err
	}
	node, err := fleet.Start(context.Background(), *agentConfig)
	if err != nil {
		return err
	}
	p.connect(node, agentConfig, operator)
	if err := serveControl(context.Background(), node, operator); err != nil {
		return err
	}
	slog.Info("fleet_started",
		"name", startup.Name,
		"incarnation", strconv.FormatUint(node.Incarnation(), 16),
		"listen", operator.Fleet.ListenAddress,
		"control", operator.Fleet.ControlAddress,
		"voters", len(agentConfig.Voters),
		"fallback", operator.Fleet.FallbackMode,
		"build", agentConfig.Build,
	)
	return nil
}

// Reload applies operator, the settings of this server's own file, after the file was read again. If
// they are invalid, it logs the error and changes nothing.
func (p *fleetProgram) Reload(operator *config.OperatorSettings) {
	if err := p.settings.reload(operator); err != nil {
		slog.Info("reload_rejected", "err", err)
	}
}

// agentConfig returns the configuration of a server's fleet agent. An error names the invalid key
// of the operator's file.
func (p *fleetProgram) agentConfig(operator *config.OperatorSettings) (*fleet.Config, error) {
	voters, err := parseVoters(p.startup.Name, operator)
	if err != nil {
		return nil, err
	}
	hooks, err := loadTestHooks()
	if err != nil {
		return nil, err
	}
	p.clock = hooks.newClock(p.server.Now)
	replicas, err := replicationConfig(p.startup, operator, p.server)
	if err != nil {
		return nil, err
	}
	trust, err := trustConfig(operator, p.server)
	if err != nil {
		return nil, err
	}
	if p.settings, err = newLiveSettings(p.startup, operator, p.server); err != nil {
		return nil, err
	}
	agentConfig := commonConfig(p.startup.Name, operator, voters)
	agentConfig.Seed = p.startup.Seed
	agentConfig.MemoryBytes = p.startup.MemoryBytes
	agentConfig.Clock = p.clock
	agentConfig.Lease.Fallback = fallbackModes[operator.Fleet.FallbackMode]
	agentConfig.Replication = replicas
	agentConfig.Trust = trust
	agentConfig.Quotas = p.quotaConfig(operator)
	agentConfig.Health = p.healthConfig(operator)
	agentConfig.LoadPlan = p.loadPlanConfig()
	agentConfig.Apply = p.settings.apply
	agentConfig.Publish = p.publish
	agentConfig.Hooks = fleet.Hooks{TranslateAddr: hooks.translateAddr, TracePoint: hooks.tracePoint}
	return agentConfig, nil
}

// publish passes a directive to the server, with ChangesAt converted from the agent's clock to the
// server's.
func (p *fleetProgram) publish(directive *serving.Directive) {
	converted := *directive
	converted.ChangesAt = p.clock.ToSource(directive.ChangesAt)
	p.server.SetDirective(&converted)
}

// connect makes the server report to the agent the data that the configured features need.
func (p *fleetProgram) connect(node *fleet.Node, agentConfig *fleet.Config, operator *config.OperatorSettings) {
	if agentConfig.Replication != nil {
		connectReplication(node, agentConfig.Replication, operator, p.server)
	}
	if agentConfig.Quotas != nil || agentConfig.Health != nil || agentConfig.LoadPlan != nil {
		p.server.EnableQuota(func(usage []server.QuotaUsage) { node.ReportUsage(fleetUsage(usage)) })
	}
	if agentConfig.Health != nil {
		connectHealth(node, agentConfig.Health, p.server)
	}
	if agentConfig.Quotas != nil {
		logQuotas(operator)
	}
	p.connectCounters(node, agentConfig)
	if agentConfig.Trust != nil {
		connectTrust(node, p.server)
	}
}

// serveControl serves the control API if the operator's file has an address for it.
func serveControl(ctx context.Context, node *fleet.Node, operator *config.OperatorSettings) error {
	if operator.Fleet.ControlAddress == "" {
		return nil
	}
	if err := node.ServeControl(ctx, operator.Fleet.ControlAddress); err != nil {
		return fmt.Errorf("%s: %w", fleetControlKey, err)
	}
	return nil
}
