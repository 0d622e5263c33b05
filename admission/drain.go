package admission

import "math"

// lastResponseMargin is how many seconds before the kill a draining server has sent every final
// response. It allows several iterations of an event loop.
const lastResponseMargin = 0.03

// drainState is that of a server that was told that its process will be killed.
type drainState struct {
	gracePeriod float64 // seconds after its start for which arrivals are still taken in
	startedAt   float64 // infinite where there is no drain
	killAt      float64 // infinite where there is no drain
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

// lastResponseAt returns when the last final response has to be sent; infinity where there is no
// drain.
func (d *drainState) lastResponseAt() float64 { return d.killAt - lastResponseMargin }

// refuses reports whether a request arrived too late to be taken in.
func (d *drainState) refuses(r *request) bool { return r.arrivedAt > d.startedAt+d.gracePeriod }

// handleDrain takes the server out of service, as its process will be killed in killIn seconds. Hard
// deadlines after the last response move to it.
func (c *Controller) handleDrain(killIn float64) {
	c.drain.startedAt = c.now
	c.drain.killAt = c.now + killIn
	c.emit(Action{Kind: SetHealth, Healthy: false})
	for _, r := range c.requests {
		r.hardDeadline = min(r.hardDeadline, c.drain.lastResponseAt())
	}
}
