package forwarder

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"swiftcourse/internal/policy/routing"
)

const (
	// maxBatch limits the queued events that are handled after the first one, before results are
	// passed to Config.OnResults.
	maxBatch = 256
	// minWaitSeconds is the shortest timer interval of the loop.
	minWaitSeconds = 0.001
	// deadlineGraceSeconds is how long the dispatcher waits for a response after the request's
	// deadline: a safety margin for the network hop.
	deadlineGraceSeconds = 0.010
	// capacityEstimateIntervalSeconds is the time between two estimates of the workers' capacities,
	// in which each worker handles some tens of requests.
	capacityEstimateIntervalSeconds = 0.5
	// statsIntervalSeconds is the time between two log lines of statistics.
	statsIntervalSeconds = 10.0
)

// run is the event loop.
func (d *Dispatcher) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.stop:
			return
		case e := <-d.events:
			d.handleBatch(e)
		case <-timer.C:
		}
		d.handleTimers()
		if len(d.results) > 0 {
			d.config.OnResults(d.results)
			d.results = nil
		}
		wait := max(minWaitSeconds, d.nextWakeup()-d.config.Now())
		timer.Reset(time.Duration(wait * float64(time.Second)))
	}
}

// handleBatch handles an event and at most maxBatch of the events queued behind it.
func (d *Dispatcher) handleBatch(first event) {
	d.handle(first)
	for range min(len(d.events), maxBatch) {
		d.handle(<-d.events)
	}
}

// handle handles an event and recovers from a panic in its handler. A request that is left without a
// result by the panic times out at its deadline.
func (d *Dispatcher) handle(e event) {
	defer func() {
		if cause := recover(); cause != nil {
			slog.Error("forwarder_panic", "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	e.handle(d, d.config.Now())
}

// nextWakeup returns the time at which handleTimers has to run next.
func (d *Dispatcher) nextWakeup() float64 {
	next := min(d.lastCapacityEstimate+capacityEstimateIntervalSeconds, d.lastStats+statsIntervalSeconds)
	if len(d.deadlines) > 0 {
		next = min(next, d.deadlines[0].deadline+deadlineGraceSeconds)
	}
	return next
}

// handleTimers aborts the requests whose deadline has passed, estimates capacities and logs
// statistics, each when due.
func (d *Dispatcher) handleTimers() {
	now := d.config.Now()
	for len(d.deadlines) > 0 && now >= d.deadlines[0].deadline+deadlineGraceSeconds {
		d.stats.timedOut++
		d.abort(now, d.deadlines[0], routing.TimedOut)
	}
	if now >= d.lastCapacityEstimate+capacityEstimateIntervalSeconds {
		d.router.LearnCapacity(now - d.lastCapacityEstimate)
		d.lastCapacityEstimate = now
	}
	if now >= d.lastStats+statsIntervalSeconds {
		d.lastStats = now
		d.logStats(now)
	}
}
