package admission

import "math"

// lastResponseMarginSeconds is how many seconds before the process is killed the last final
// response must be sent. It allows for several turns of the event loop.
const lastResponseMarginSeconds = 0.03

// drainState is the state of a drain: the server was told that its process will be killed.
type drainState struct {
	gracePeriod float64 // seconds from startedAt during which new requests are still accepted
	startedAt   float64 // infinite without a drain
	killAt      float64 // infinite without a drain
}

func newDrainState(settings *Settings) drainState {
	return drainState{
		gracePeriod: settings.DrainGracePeriod,
		startedAt:   math.Inf(1),
		killAt:      math.Inf(1),
	}
}

// draining reports whether a drain has started.
func (d *drainState) draining() bool { return !math.IsInf(d.killAt, 1) }

// lastResponseAt returns the time by which the last final response has to be sent; infinity
// without a drain.
func (d *drainState) lastResponseAt() float64 { return d.killAt - lastResponseMarginSeconds }

// rejectsArrival reports whether a request arrived after the grace period and has to be rejected.
func (d *drainState) rejectsArrival(r *request) bool { return r.arrivedAt > d.startedAt+d.gracePeriod }

// handleDrain takes the server out of service, as its process will be killed in killIn seconds.
// Hard deadlines after the time of the last response are moved to it.
func (c *Controller) handleDrain(killIn float64) {
	c.drain.startedAt = c.now
	c.drain.killAt = c.now + killIn
	c.emit(Action{Kind: SetHealth, Healthy: false})
	for _, r := range c.requests {
		r.hardDeadline = min(r.hardDeadline, c.drain.lastResponseAt())
	}
}
