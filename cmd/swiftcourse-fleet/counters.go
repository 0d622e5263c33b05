package main

import (
	"log/slog"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/serving"
)

// connectCounters has the server report its counters, to the fleet agent where the fleet counts and
// to the dispatcher where requests are forwarded, which measures the demand by them.
func (p *fleetProgram) connectCounters(node *fleet.Node, agentConfig *fleet.Config) {
	counted := agentConfig.CountersEnabled
	if p.dispatcher != nil {
		p.server.ReportCounters(func(cells []serving.CounterCell) bool {
			if counted && !node.ReportCounts(cells) {
				return false // the server reports them again
			}
			p.dispatcher.RecordDemand(cells)
			return true
		})
	} else if counted {
		p.server.ReportCounters(node.ReportCounts)
	}
	if counted {
		slog.Info("shared_counters_enabled", "aggregators", len(agentConfig.Voters))
	}
}
