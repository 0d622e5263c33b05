package admission

import (
	"math"
	"slices"
)

// tickIntervalSeconds is the time between two ticks, in seconds. It is short compared with the
// windows over which estimates are learned.
const tickIntervalSeconds = 0.1

// Controller makes the decisions of one server. Create it with New; it is not safe for concurrent
// use.
type Controller struct {
	settings Settings

	started  bool
	now      float64    // time of the current batch
	actions  []Action   // of the current batch
	requests []*request // in order of arrival; those done in the current batch are still in it
	byID     map[string]*request
	classes  []learnedClass

	random      randomSource
	timer       wakeupTimer
	arrivals    arrivalStats
	progress    progressMonitor
	concurrency concurrencyLimiter
	memory      memoryBudget
	downstream  downstreamLimiter
	quota       quotaLimiter
	load        loadReporter
	connections connectionTuner
	drain       drainState
}

// New returns the controller of a server that is starting. The seed determines its random draws.
func New(seed int64, settings Settings) *Controller {
	cores := max(1, float64(settings.Cores))
	controller := &Controller{
		settings:    settings,
		byID:        map[string]*request{},
		random:      randomSource{seed: seed},
		timer:       wakeupTimer{armedFor: math.Inf(1)},
		arrivals:    newArrivalStats(&settings),
		progress:    progressMonitor{slowestMeanRun: minSlowestMeanRunSeconds},
		concurrency: newConcurrencyLimiter(&settings, cores),
		memory:      newMemoryBudget(&settings),
		downstream:  newDownstreamLimiter(&settings, cores),
		quota:       newQuotaLimiter(&settings),
		load:        newLoadReporter(&settings, cores),
		connections: newConnectionTuner(&settings),
		drain:       newDrainState(&settings),
	}
	for _, class := range settings.Classes {
		learned := learnedClass{Class: class, admittedFraction: 1}
		controller.classes = append(controller.classes, learned)
	}
	return controller
}

// Decide handles the events of one batch, in order, and returns the actions to carry out, in
// order. now is the time in seconds and must not decrease from call to call. The returned slice
// is valid until the next call.
func (c *Controller) Decide(now float64, events []Event) []Action {
	c.now = now
	c.actions = c.actions[:0]
	if !c.started {
		c.start()
	}
	for i := range events {
		c.handle(&events[i])
	}
	c.accrueCallCredit()
	c.memory.keys.Expire(now)
	c.downstream.abandoned.Expire(now)
	if now >= c.timer.nextTick-timerToleranceSeconds {
		c.tick()
	}
	c.expireRequests()
	c.scheduleCalls()
	c.startQueued()
	c.shedQueue()
	c.requests = slices.DeleteFunc(c.requests, (*request).done)
	c.setTimer()
	return c.actions
}

// DownstreamCalls returns the number of downstream calls in flight, including abandoned ones that
// may still occupy the dependency, and the number of requests that wait for their call to be
// dispatched.
func (c *Controller) DownstreamCalls() (inFlight, waiting int) {
	return int(c.callsInFlight()), int(c.count(stateAwaitingDownstream))
}

// start initializes the state that depends on the time of the first batch.
func (c *Controller) start() {
	c.started = true
	c.progress.lastEndAt = c.now
	c.progress.lastTimelyAt = c.now
	c.arrivals.lastArrivalAt = c.now
	c.concurrency.slowStart.startedAt = c.now
	c.downstream.creditAt = c.now
	c.downstream.callTime = newDurationEstimate(c.now, callTimeWindowSeconds)
	for i := range c.classes {
		c.classes[i].runTime = newDurationEstimate(c.now, runTimeWindowSeconds)
	}
	c.emit(Action{Kind: SetHealth, Healthy: true})
}

// emit appends an action to those of the current batch.
func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

// handle handles one event of the batch.
func (c *Controller) handle(e *Event) {
	switch e.Kind {
	case Arrived:
		c.handleArrival(e)
	case DrainStarted:
		c.handleDrain(e.Duration)
	case AllowanceChanged:
		c.handleAllowance(e.Allowance)
	case TimerFired:
		c.concurrency.gauges = e.Gauges
		c.timer.fired(c.now)
	default:
		if r := c.byID[e.RequestID]; r != nil { // events of requests that are done are ignored
			c.handleRequestEvent(r, e)
		}
	}
}

// handleRequestEvent handles an event of a request that is not done.
func (c *Controller) handleRequestEvent(r *request, e *Event) {
	switch e.Kind {
	case RunEnded:
		c.handleRunEnded(r, e)
	case AwaitingDownstream:
		c.progress.lastEndAt = c.now
		r.call.lostAttempts = 0 // lost attempts are counted per call
		c.step(r, onAwaitDownstream)
	case CallReturned:
		if r.state == stateCalling {
			c.handleCallReturned(r, e)
		}
	case ClientGone:
		c.step(r, onClientGone)
	}
}

// tick refreshes the estimates, then the limits and reports that depend on them.
func (c *Controller) tick() {
	c.timer.nextTick = c.now + tickIntervalSeconds
	c.checkProgress()
	c.refreshEstimates()
	c.tuneCallLimit()
	c.tuneIdleTimeout()
	c.tuneRunLimit()
	c.tuneLoadReport()
}
