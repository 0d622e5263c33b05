package forwarder

import (
	"log/slog"

	"swiftcourse/internal/policy/loadplan"
)

// minReportSeconds is the shortest interval that a report states, to avoid a division by zero.
const minReportSeconds = 0.001

// stats counts requests since the last log line of statistics.
type stats struct {
	dispatched     int
	finished       int
	failed         int
	rejected       int
	timedOut       int
	connectionLost int
	retries        int
}

func (d *Dispatcher) logStats(now float64) {
	slog.Info("forwarder_stats",
		"dispatched", d.stats.dispatched,
		"finished", d.stats.finished,
		"failed", d.stats.failed,
		"rejected", d.stats.rejected,
		"timed_out", d.stats.timedOut,
		"connection_lost", d.stats.connectionLost,
		"retries", d.stats.retries,
		"in_flight", len(d.pending),
		"connected_workers", d.router.ConnectedWorkers(),
		"workers", len(d.links),
		"plan_influence", d.router.PlanInfluence(now),
	)
	d.stats = stats{}
}

// takeReport returns the demand and the workers' statistics since the last report, and resets both.
func (d *Dispatcher) takeReport(now float64) *loadplan.Report {
	report := &loadplan.Report{IntervalSeconds: max(now-d.lastReport, minReportSeconds)}
	d.lastReport = now
	for tenant, requests := range d.demand {
		report.Demand = append(report.Demand, loadplan.TenantRate{
			Tenant: tenant,
			Rate:   requests / report.IntervalSeconds,
		})
	}
	clear(d.demand)
	report.Workers = d.router.TakeStats()
	return report
}
