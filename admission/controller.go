package admission

import (
	"fmt"
	"hash/crc32"
	"math"
	"slices"
)

const (
	// tickInterval is in seconds, short against the windows that are learned from.
	tickInterval = 0.1
	// timerTolerance is how many seconds early a timer may go off.
	timerTolerance = 1e-4
	// deadlineTolerance is how many seconds before its hard deadline a request counts as expired.
	deadlineTolerance = 1e-3
)

// Controller decides for one server. New makes it; it is not safe for concurrent use.
type Controller struct {
	settings Settings

	started  bool
	now      float64    // time of the batch at hand
	actions  []Action   // of the batch at hand
	requests []*request // that are not done, in order of arrival
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

// New makes the controller of a server that starts now. The seed determines its random draws.
func New(seed int64, settings Settings) *Controller {
	cores := max(1, float64(settings.Cores))
	controller := &Controller{
		settings:    settings,
		byID:        map[string]*request{},
		random:      randomSource{seed: seed},
		timer:       wakeupTimer{armedFor: math.Inf(1)},
		arrivals:    newArrivalStats(&settings),
		progress:    progressMonitor{slowestMean: minSlowestMean},
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

// Decide takes the events of one batch, in order, and returns what to do, in order. now is the time
// in seconds; it never goes back. The returned slice is valid until the next call.
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
	if now >= c.timer.nextTick-timerTolerance {
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

// DownstreamCalls returns how many downstream calls are in flight and how many requests wait for
// theirs to be dispatched.
func (c *Controller) DownstreamCalls() (inFlight, waiting int) {
	return int(c.callsInFlight()), int(c.count(stateAwaitingDownstream))
}

// start initializes what depends on the time of the first batch.
func (c *Controller) start() {
	c.started = true
	c.progress.lastEnd = c.now
	c.progress.lastTimely = c.now
	c.arrivals.last = c.now
	c.concurrency.slowStart.startedAt = c.now
	c.downstream.creditAt = c.now
	c.downstream.callTime = newDurationEstimate(c.now, callTimeMemory)
	for i := range c.classes {
		c.classes[i].runTime = newDurationEstimate(c.now, runTimeMemory)
	}
	c.emit(Action{Kind: SetHealth, Healthy: true})
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

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
		if r := c.byID[e.RequestID]; r != nil { // else it is done
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
		c.progress.lastEnd = c.now
		r.call.lost = 0 // it is another call than the last
		c.step(r, onAwaitDownstream)
	case CallReturned:
		if r.state == stateCalling {
			c.handleCallReturned(r, e)
		}
	case ClientGone:
		c.step(r, onClientGone)
	}
}

// tick refreshes the estimates and what is tuned by them.
func (c *Controller) tick() {
	c.timer.nextTick = c.now + tickInterval
	c.checkProgress()
	c.refreshEstimates()
	c.tuneCallLimit()
	c.tuneIdleTimeout()
	c.tuneRunLimit()
	c.tuneLoadReport()
}

// wakeupTimer keeps track of the earliest armed timer.
type wakeupTimer struct {
	nextTick float64
	armedFor float64 // when the earliest timer goes off; infinite where none is armed
}

// fired records that a timer went off.
func (w *wakeupTimer) fired(now float64) {
	if now >= w.armedFor-timerTolerance {
		w.armedFor = math.Inf(1)
	}
}

// setTimer arms a timer for the next tick or the next hard deadline, unless one goes off before
// that.
func (c *Controller) setTimer() {
	next := c.timer.nextTick
	for _, r := range c.requests {
		if r.state&(stateAnswered|stateDone) == 0 {
			next = min(next, r.hardDeadline)
		}
	}
	if next < c.timer.armedFor {
		c.timer.armedFor = next
		c.emit(Action{Kind: SetTimer, Duration: max(0, next-c.now), Label: "next"})
	}
}

// randomSource draws numbers that depend only on the seed and on the number of draws before.
type randomSource struct{ seed, draws int64 }

// float returns a number from 0 to under 1.
func (r *randomSource) float() float64 {
	r.draws++
	return float64(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d %d", r.seed, r.draws))) / (1 << 32)
}
