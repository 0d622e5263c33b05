package admission

import "math"

const (
	// timerToleranceSeconds is the time in seconds by which a timer may fire early.
	timerToleranceSeconds = 1e-4
	// wakeupLabel is the label of all timers, as they have the same purpose: the next wakeup.
	wakeupLabel = "next"
)

// wakeupTimer tracks the next tick and the earliest armed timer.
type wakeupTimer struct {
	nextTick float64
	armedFor float64 // time at which the earliest timer fires; infinite if none is armed
}

// fired handles a TimerFired event. Once the earliest timer is due, none counts as armed.
func (w *wakeupTimer) fired(now float64) {
	if now >= w.armedFor-timerToleranceSeconds {
		w.armedFor = math.Inf(1)
	}
}

// setTimer arms a timer for the next tick or the next hard deadline, whichever is earlier, unless
// an armed timer fires before that.
func (c *Controller) setTimer() {
	next := c.timer.nextTick
	for _, r := range c.requests {
		if r.state&(stateAnswered|stateDone) == 0 {
			next = min(next, r.hardDeadline)
		}
	}
	if next < c.timer.armedFor {
		c.timer.armedFor = next
		c.emit(Action{Kind: SetTimer, Duration: max(0, next-c.now), Label: wakeupLabel})
	}
}
