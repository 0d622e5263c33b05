package admission

const (
	// stallMeanRuns is the time without progress after which work counts as stalled, as a
	// multiple of the mean run time of the slowest class.
	stallMeanRuns = 4
	// minSlowestMeanRunSeconds is the minimum value of slowestMeanRun, in seconds. With a lower
	// one, a pause of the cores would look like a stall where runs are short or few durations are
	// known.
	minSlowestMeanRunSeconds = 0.25
	// maxTimeSinceTimelySeconds is the time without a timely response, in seconds, after which
	// backlogged work counts as stalled.
	maxTimeSinceTimelySeconds = 0.5
)

// progressMonitor detects when work stalls and when it recovers.
type progressMonitor struct {
	stalled   bool
	lastEndAt float64 // time at which a run or a call last ended, or a run last reached a call
	// lastTimelyAt is the time at which a request last finished within its soft deadline; it
	// follows the clock while no request arrives.
	lastTimelyAt   float64
	slowestMeanRun float64 // mean run time of the slowest class, in seconds
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

// workIsStalled reports whether all cores are taken and nothing has ended for a few mean runs, or
// whether arrivals are backlogged and no request has finished within its soft deadline lately.
// Without the condition on timely responses, a plain overload would take all servers out of
// service at the same time.
func (c *Controller) workIsStalled() bool {
	monitor := &c.progress
	coresTaken := c.count(statesOnCore) >= c.concurrency.cores
	nothingEnds := c.now-monitor.lastEndAt > stallMeanRuns*monitor.slowestMeanRun
	nothingTimely := c.now-monitor.lastTimelyAt > maxTimeSinceTimelySeconds
	return coresTaken && nothingEnds || c.arrivals.backlogged() && nothingTimely
}
