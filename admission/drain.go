package admission

import "math"

// lastResponseMargin is the time before the kill, in seconds, by which a draining server has sent
// every final response: several turns of any event loop.
const lastResponseMargin = 0.03

// drainState is that of a server that was told that its process will be killed.
type drainState struct {
	gracePeriod float64 // for which arrivals are still taken in
	startedAt   float64 // infinite where there is no drain, as is the next
	killAt      float64
}

func newDrainState(settings *Settings) drainState {
	return drainState{
		gracePeriod: settings.DrainGracePeriod,
		startedAt:   math.Inf(1),
		killAt:      math.Inf(1),
	}
}

func (d *drainState) draining() bool { return !math.IsInf(d.killAt, 1) }

// lastResponse returns when the last final response has to be sent; infinity where there is no
// drain.
func (d *drainState) lastResponse() float64 { return d.killAt - lastResponseMargin }

// refuses reports whether a request arrived too late to be taken in.
func (d *drainState) refuses(r *request) bool { return r.arrivedAt > d.startedAt+d.gracePeriod }

// handleDrain takes the server out of service; the process will be killed in so many seconds. Hard
// deadlines move to before that.
func (c *Controller) handleDrain(killIn float64) {
	c.drain.startedAt = c.now
	c.drain.killAt = c.now + killIn
	c.emit(Action{Kind: SetHealth, Healthy: false})
	for _, r := range c.requests {
		r.hardDeadline = min(r.hardDeadline, c.drain.lastResponse())
	}
}
