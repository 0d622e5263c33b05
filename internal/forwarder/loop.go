package forwarder

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"swiftcourse/internal/policy/routing"
)

const (
	// maxBatch bounds the events that are handled before results are returned.
	maxBatch = 256
	// minWaitSeconds is the shortest time until the loop wakes up without an event.
	minWaitSeconds = 0.001
	// deadlineGraceSeconds is how long after a request's deadline its response is still waited
	// for: a safety margin for the network hop.
	deadlineGraceSeconds = 0.010
	// learnIntervalSeconds is how often the workers' capacities are estimated: some tens of
	// requests at each.
	learnIntervalSeconds = 0.5
	// statsIntervalSeconds is how often the statistics are logged.
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

// handleBatch handles an event and those that are queued behind it.
func (d *Dispatcher) handleBatch(first event) {
	d.handle(first)
	for range min(len(d.events), maxBatch) {
		d.handle(<-d.events)
	}
}

// handle handles an event and recovers from a panic in it. A request that the panic left without a
// result is ended by its deadline.
func (d *Dispatcher) handle(e event) {
	defer func() {
		if cause := recover(); cause != nil {
			slog.Error("forwarder_panic", "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	e.handle(d, d.config.Now())
}

// nextWakeup returns when maintain has something to do.
func (d *Dispatcher) nextWakeup() float64 {
	next := min(d.lastLearning+learnIntervalSeconds, d.lastStats+statsIntervalSeconds)
	if len(d.deadlines) > 0 {
		next = min(next, d.deadlines[0].deadline+deadlineGraceSeconds)
	}
	return next
}

// handleTimers ends the requests whose deadline is over, estimates capacities and logs statistics.
func (d *Dispatcher) handleTimers() {
	now := d.config.Now()
	for len(d.deadlines) > 0 && now >= d.deadlines[0].deadline+deadlineGraceSeconds {
		d.stats.timedOut++
		d.abort(now, d.deadlines[0], routing.TimedOut)
	}
	if now >= d.lastLearning+learnIntervalSeconds {
		d.router.LearnCapacity(now - d.lastLearning)
		d.lastLearning = now
	}
	if now >= d.lastStats+statsIntervalSeconds {
		d.lastStats = now
		d.logStats(now)
	}
}
