package main

import (
	"log/slog"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/serving"
)

// connectCounters makes the server report its request counters: to the fleet agent if shared
// counters are on, and to the dispatcher if the server forwards requests, as the dispatcher
// measures demand by them.
func (p *fleetProgram) connectCounters(node *fleet.Node, agentConfig *fleet.Config) {
	shared := agentConfig.CountersEnabled
	if p.dispatcher != nil {
		p.server.ReportCounters(func(cells []serving.CounterCell) bool {
			if shared && !node.ReportCounts(cells) {
				return false // the server will report these counts again
			}
			p.dispatcher.RecordDemand(cells)
			return true
		})
	} else if shared {
		p.server.ReportCounters(node.ReportCounts)
	}
	if shared {
		slog.Info("shared_counters_enabled", "aggregators", len(agentConfig.Voters))
	}
}
