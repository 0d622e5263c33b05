package admission

import "math"

const (
	// minRetryAfterSeconds is the shortest Retry-After of a rejection for lack of capacity, in
	// seconds.
	minRetryAfterSeconds = 0.1

	// minWantedFraction is the minimum wanted fraction of the usual traffic, except in a drain.
	minWantedFraction = 0.05
	// maxWantedDecreasePerTick is the largest relative decrease of the wanted fraction at a tick,
	// and wantedIncreasePerTick is its absolute increase.
	maxWantedDecreasePerTick = 0.07
	wantedIncreasePerTick    = 0.02
	// reportSteps is the number of steps in which the wanted fraction is reported. Finer steps
	// would only add messages.
	reportSteps = 50

	// noFailoverBelow is the wanted fraction below which clients are asked not to try another
	// server, as the other servers are assumed to be equally loaded.
	// noFailoverBelowNewConnections is the same bound where each attempt opens a connection.
	noFailoverBelow               = 0.4
	noFailoverBelowNewConnections = 0.95

	// openRequestsPerCore is the number of open requests per core that the clients share as
	// credit when all traffic is wanted. It is high enough not to limit normal operation.
	openRequestsPerCore = 16
)

// loadReporter tracks the fraction of the usual traffic that the server wants, and reports it to
// clients.
type loadReporter struct {
	backpressure     Backpressure
	fullCredit       float64 // open requests per client when all traffic is wanted
	wantedFraction   float64 // fraction of the usual traffic that is wanted
	reportedFraction float64 // wantedFraction, as last reported
	// arrivedRequests is the number of requests that arrived since the last tick. wastedRequests
	// is the number that were rejected or failed since then, without rejections of requests that
	// are marked overQuota.
	arrivedRequests, wastedRequests float64
}

func newLoadReporter(settings *Settings, cores float64) loadReporter {
	return loadReporter{
		backpressure:     settings.Backpressure,
		fullCredit:       openRequestsPerCore * cores / max(1, float64(settings.Clients)),
		wantedFraction:   1,
		reportedFraction: 1,
	}
}

// decrease lowers the wanted fraction by the fraction of arrivals that was wasted, up to
// maxWantedDecreasePerTick, so that a few wasted requests among many lower it only a little.
func (l *loadReporter) decrease() {
	l.wantedFraction = max(minWantedFraction,
		l.wantedFraction*(1-min(maxWantedDecreasePerTick, l.wastedRequests/max(l.arrivedRequests, 1))))
}

// report returns the value to report to clients, in the form that the backpressure setting
// requires.
func (l *loadReporter) report() float64 {
	switch l.backpressure {
	case BackpressureLevel:
		return 1 - l.reportedFraction
	case BackpressureCredit:
		return l.reportedFraction * l.fullCredit
	default:
		return l.reportedFraction
	}
}

// tuneLoadReport updates the wanted fraction and reports it if it changed. The fraction is 0 in a
// drain and minimal while work is stalled. It decreases as soon as requests are rejected or fail,
// and increases in small steps otherwise, unless requests stay unread for too long.
func (c *Controller) tuneLoadReport() {
	reporter := &c.load
	switch {
	case c.drain.draining():
		reporter.wantedFraction = 0
	case c.progress.stalled:
		reporter.wantedFraction = minWantedFraction
	case reporter.wastedRequests > 0:
		reporter.decrease()
	case c.arrivals.meanUnreadDelay < c.arrivals.maxUnreadDelay:
		reporter.wantedFraction = min(1, reporter.wantedFraction+wantedIncreasePerTick)
	}
	reporter.arrivedRequests = 0
	reporter.wastedRequests = 0
	rounded := math.Round(reporter.wantedFraction*reportSteps) / reportSteps
	if reporter.backpressure != NoBackpressure && rounded != reporter.reportedFraction {
		reporter.reportedFraction = rounded
		c.emit(Action{Kind: ReportLoad, Load: reporter.report()})
	}
}

// retryAfter returns the Retry-After of a rejection for lack of capacity, in seconds: the time
// that the current queue is expected to take, within the limits for Retry-After.
func (c *Controller) retryAfter() float64 {
	queueDuration := c.count(stateQueued) * c.progress.slowestMeanRun / c.concurrency.runLimit
	return min(c.settings.MaxRetryAfter, max(minRetryAfterSeconds, queueDuration))
}

// noFailover reports whether the client of a rejected request is asked not to try another server.
// A request over its tenant's quota is over it at every server. If requests stay unread for too
// long or little traffic is wanted, the other servers are assumed to be equally loaded, and
// reading the request again would cost them time that runs need. Where each attempt opens a
// connection, a wanted fraction just under 1 is enough, unless clients choose servers by subject.
// This may hurt where only this server is slow or crowded.
func (c *Controller) noFailover(r *request) bool {
	if r.overQuota || c.arrivals.backlogged() || c.load.wantedFraction < noFailoverBelow {
		return true
	}
	opensConnections := c.connections.idleTimeout < c.connections.maxIdleTimeout
	return c.load.wantedFraction < noFailoverBelowNewConnections && opensConnections && !c.arrivals.haveSubjects
}
