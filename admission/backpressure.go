package admission

import "math"

const (
	// minRetryAfter is the shortest Retry-After, in seconds, of a rejection for want of capacity.
	minRetryAfter = 0.1

	// minWanted is the least part of the usual traffic that is wanted, but for a drain.
	minWanted = 0.05
	// maxWantedDecrease and wantedIncrease are by how much that part may change at a tick.
	maxWantedDecrease = 0.07
	wantedIncrease    = 0.02
	// reportSteps is in how many steps the part is reported: smaller ones would only add messages.
	reportSteps = 50

	// noFailoverBelow is the part under which clients are asked not to try another server: the
	// others fare alike. Where each attempt opens a connection it is noFailoverBelowIdle.
	noFailoverBelow     = 0.4
	noFailoverBelowIdle = 0.95

	// openPerCore is how many open requests a core are no limit in use, spread over the clients.
	openPerCore = 16
)

// loadReporter works out how much of the usual traffic is wanted, and reports it.
type loadReporter struct {
	backpressure Backpressure
	fullCredit   float64 // open requests a client when all traffic is wanted
	wanted       float64 // part of the usual traffic that is wanted
	reported     float64 // the same, as it was last reported
	// arrived counts the requests since the last tick; wasted those of them that were read or run
	// for nothing.
	arrived, wasted float64
}

func newLoadReporter(settings *Settings, cores float64) loadReporter {
	return loadReporter{
		backpressure: settings.Backpressure,
		fullCredit:   openPerCore * cores / max(1, float64(settings.Clients)),
		wanted:       1,
		reported:     1,
	}
}

// decrease lowers the part that is wanted by the part that was wasted: a few of many lower it
// little.
func (l *loadReporter) decrease() {
	l.wanted = max(minWanted, l.wanted*(1-min(maxWantedDecrease, l.wasted/max(l.arrived, 1))))
}

// report is what clients are told, by what they make of it.
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

// tuneLoadReport says how much of the usual traffic is wanted: less at once when requests are
// rejected, more again in small steps. Reading costs too, so requests read too late to run count
// like those rejected.
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

// retryAfter is in how many seconds the queue as it stands has been run.
func (c *Controller) retryAfter() float64 {
	drained := c.count(stateQueued) * c.progress.slowestMean / c.concurrency.runLimit
	return min(c.settings.MaxRetryAfter, max(minRetryAfter, drained))
}

// noFailover reports whether a client that is rejected is asked not to try another server: what is
// over its quota is so everywhere, and while requests wait unread for long or little is wanted the
// others fare alike and reads take from runs. Where an attempt opens a connection it asks always,
// unless clients choose servers by subject. It may hurt where only this server is slow or crowded.
func (c *Controller) noFailover(r *request) bool {
	if r.overQuota || c.arrivals.backlogged() || c.load.wanted < noFailoverBelow {
		return true
	}
	opensConnections := c.connections.idleTimeout < c.connections.maxIdleTimeout
	return c.load.wanted < noFailoverBelowIdle && opensConnections && !c.arrivals.haveSubjects
}
