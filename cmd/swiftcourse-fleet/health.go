package main

import (
	"log/slog"

	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/server"
)

// healthConfig returns the fleet agent's configuration of shared health checks of the downstream
// service, or nil if they are off.
func (p *fleetProgram) healthConfig(operator *config.OperatorSettings) *fleet.HealthConfig {
	if !operator.Fleet.SharedHealthChecks {
		return nil
	}
	return &fleet.HealthConfig{Zone: operator.Fleet.Zone, OnLimit: p.allowances.setCallLimit}
}

// connectHealth makes the server report its calls to the downstream service to the fleet agent.
func connectHealth(node *fleet.Node, health *fleet.HealthConfig, srv *server.Server) {
	srv.ReportUpstreamCalls(node.ReportCalls)
	slog.Info("shared_health_checks_enabled", "zone", health.Zone)
}
