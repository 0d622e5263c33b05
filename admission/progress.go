package admission

const (
	// stallRuns is the time without progress after which work counts as stalled, in mean runs of
	// the slowest class.
	stallRuns = 4
	// minSlowestMeanRun is the least such mean, in seconds: with less a pause of the cores would look
	// like a stall where runs are short, or few are known.
	minSlowestMeanRun = 0.25
	// maxTimeSinceTimely is the time without a timely response, in seconds, after which backlogged work
	// counts as stalled.
	maxTimeSinceTimely = 0.5
)

// progressMonitor detects when work stalls and when it recovers.
type progressMonitor struct {
	stalled        bool
	lastEnd        float64 // when a run or a call last ended
	lastTimely     float64 // when a request last ended within its soft deadline
	slowestMeanRun float64 // the longest mean run of a class
}

// checkProgress reports the server unhealthy when work stalls, and healthy when it recovers.
func (c *Controller) checkProgress() {
	stalled := c.workIsStalled()
	c.decayUnreadDelay()
	if stalled != c.progress.stalled && !c.drain.draining() {
		c.emit(Action{Kind: SetHealth, Healthy: !stalled})
	}
	c.progress.stalled = stalled
}

// workIsStalled reports whether the cores are taken yet nothing ended for a few runs, or arrivals are
// backlogged and no response was timely. Without the condition on timely responses a plain overload
// would take all servers out of service together.
func (c *Controller) workIsStalled() bool {
	monitor := &c.progress
	coresTaken := c.count(statesOnCore) >= c.concurrency.cores
	nothingEnds := c.now-monitor.lastEnd > stallRuns*monitor.slowestMeanRun
	nothingTimely := c.now-monitor.lastTimely > maxTimeSinceTimely
	return coresTaken && nothingEnds || c.arrivals.backlogged() && nothingTimely
}
