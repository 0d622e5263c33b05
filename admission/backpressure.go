package admission

import "math"

const (
	// minRetryAfter is the shortest Retry-After of a rejection for lack of capacity, in seconds.
	minRetryAfter = 0.1

	// minWanted is the least fraction of the usual traffic that is wanted, except in a drain.
	minWanted = 0.05
	// maxWantedDecrease is the largest relative decrease of that fraction at a tick, and
	// wantedIncrease its increase.
	maxWantedDecrease = 0.07
	wantedIncrease    = 0.02
	// reportSteps is the resolution of the report: finer steps would only add messages.
	reportSteps = 50

	// noFailoverBelow is the wanted fraction below which clients are asked not to try another
	// server, as the others are as loaded. noFailoverBelowNewConnections holds where each attempt
	// opens a connection.
	noFailoverBelow               = 0.4
	noFailoverBelowNewConnections = 0.95

	// openRequestsPerCore is the full credit of open requests a core, which the clients share. It is
	// high enough to limit nothing in normal operation.
	openRequestsPerCore = 16
)

// loadReporter tracks how much of the usual traffic is wanted, and what was reported of it.
type loadReporter struct {
	backpressure Backpressure
	fullCredit   float64 // open requests a client when all traffic is wanted
	wanted       float64 // fraction of the usual traffic that is wanted
	reported     float64 // the same, as last reported
	// arrived counts the requests since the last tick. wasted counts those that were rejected or
	// failed, without the rejections for exceeding a quota.
	arrived, wasted float64
}

func newLoadReporter(settings *Settings, cores float64) loadReporter {
	return loadReporter{
		backpressure: settings.Backpressure,
		fullCredit:   openRequestsPerCore * cores / max(1, float64(settings.Clients)),
		wanted:       1,
		reported:     1,
	}
}

// decrease lowers the wanted fraction by the fraction of arrivals that was wasted, which is little
// for a few of many.
func (l *loadReporter) decrease() {
	l.wanted = max(minWanted, l.wanted*(1-min(maxWantedDecrease, l.wasted/max(l.arrived, 1))))
}

// report returns the value to report, in the form of the deployment's backpressure.
func (l *loadReporter) report() float64 {
	switch l.backpressure {
	case BackpressureLevel:
		return 1 - l.reported
	case BackpressureCredit:
		return l.reported * l.fullCredit
	default:
		return l.reported
	}
}

// tuneLoadReport sets how much of the usual traffic is wanted and reports it: less at once when
// requests are rejected or fail, more again in small steps.
func (c *Controller) tuneLoadReport() {
	reporter := &c.load
	switch {
	case c.drain.draining():
		reporter.wanted = 0
	case c.progress.stalled:
		reporter.wanted = minWanted
	case reporter.wasted > 0:
		reporter.decrease()
	case c.arrivals.unreadDelay < c.arrivals.maxUnreadDelay:
		reporter.wanted = min(1, reporter.wanted+wantedIncrease)
	}
	reporter.arrived = 0
	reporter.wasted = 0
	rounded := math.Round(reporter.wanted*reportSteps) / reportSteps
	if reporter.backpressure != NoBackpressure && rounded != reporter.reported {
		reporter.reported = rounded
		c.emit(Action{Kind: ReportLoad, Load: reporter.report()})
	}
}

// retryAfter returns the Retry-After of a rejection for lack of capacity, in seconds: the time in
// which the present queue is expected to run.
func (c *Controller) retryAfter() float64 {
	queueDuration := c.count(stateQueued) * c.progress.slowestMeanRun / c.concurrency.runLimit
	return min(c.settings.MaxRetryAfter, max(minRetryAfter, queueDuration))
}

// noFailover reports whether the client of a rejected request is asked not to try another server. A
// request over its quota is over it everywhere. While requests wait unread for long or little traffic
// is wanted, the other servers are taken to be as loaded, and reading the request again would cost them
// time for runs. Where each attempt opens a connection, a wanted fraction just under 1 is enough,
// unless clients choose servers by subject. It may hurt where only this server is slow or crowded.
func (c *Controller) noFailover(r *request) bool {
	if r.overQuota || c.arrivals.backlogged() || c.load.wanted < noFailoverBelow {
		return true
	}
	opensConnections := c.connections.idleTimeout < c.connections.maxIdleTimeout
	return c.load.wanted < noFailoverBelowNewConnections && opensConnections && !c.arrivals.haveSubjects
}
