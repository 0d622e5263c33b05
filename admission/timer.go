package admission

import "math"

const (
	// timerTolerance is how many seconds early a timer may go off.
	timerTolerance = 1e-4
	// wakeupLabel is the label of every timer: there is one purpose, the next wakeup.
	wakeupLabel = "next"
)

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
		c.emit(Action{Kind: SetTimer, Duration: max(0, next-c.now), Label: wakeupLabel})
	}
}
