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
	// minWaitSeconds is the shortest time until the owner wakes up without an event.
	minWaitSeconds = 0.001
	// deadlineGraceSeconds is how long after its deadline a worker's answer is waited for: the
	// safety margin of a hop.
	deadlineGraceSeconds = 0.010
	// learnIntervalSeconds is how often the workers' capacities are estimated: some tens of
	// requests at each.
	learnIntervalSeconds = 0.5
	// statsIntervalSeconds is how often the statistics are logged.
	statsIntervalSeconds = 10.0
)

// run is the owner's goroutine.
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
		d.maintain()
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

// handle handles an event. A panic ends there: its request ends by its deadline.
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

// maintain ends the requests whose deadline is over, estimates capacities and logs statistics.
func (d *Dispatcher) maintain() {
	now := d.config.Now()
	for len(d.deadlines) > 0 && now >= d.deadlines[0].deadline+deadlineGraceSeconds {
		d.stats.timedOut++
		d.cancel(now, d.deadlines[0], routing.TimedOut)
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
