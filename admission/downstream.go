package admission

import (
	"cmp"
	"math"
	"slices"

	"swiftcourse/internal/timewindow"
)

const (
	// deadlineSafetyMargin is kept free before the hard deadline, in seconds: responses still have
	// to be written and sent. It is the design's upper value.
	deadlineSafetyMargin = 0.01
	// callTimeWindow is the window, in seconds, over which the durations of calls are learned.
	callTimeWindow = 5
	// slowCallFactor is the ratio of the mean call to the lowest mean of the last 30 s above which
	// calls count as slow.
	slowCallFactor = 2
	// lossFactor is how many calls that ended well there are for one that was lost, at the rate of loss
	// of one in four above which calls count as lossy.
	lossFactor = 3

	// Limits on calls into a tier, for each core. A tier limits its load itself, so these only stop a
	// flood.
	minTierCalls     = 1
	initialTierCalls = 2
	maxTierCalls     = 16
	// Limits on calls to a shared dependency, as fractions of this server's part of the calls that it
	// survives. It gets slow long before it fails, so a quarter of the part is used however slow it is.
	// The part is never used up, as calls of servers that died count too, and so do calls whose end is
	// not known yet.
	minSharedCalls     = 0.25
	initialSharedCalls = 0.5
	maxSharedCalls     = 0.8
	// maxSharedTimeout is the longest timeout of a call to a shared dependency, as a fraction of the
	// call-seconds that the limit allows in its window. Where the limit is under one call, each call must
	// be short to keep the mean.
	maxSharedTimeout = 0.25

	// callLimitDecrease and callLimitIncrease are factors at a tick. They halve the limit in 1.4 s
	// while calls are slow or lossy, and double it as fast while all are in use.
	callLimitDecrease = 0.95
	callLimitIncrease = 1.05
	// callBackoff is the least pause, in seconds and for each lost attempt, before the next attempt
	// of a call. Up to as much again is added at random.
	callBackoff = 0.02
	// maxLostAttempts is the number of lost attempts above which a response without the call is
	// preferred.
	maxLostAttempts = 2
	// firstAttemptFactor is the timeout of an attempt after which another may follow, in mean calls.
	firstAttemptFactor = 4
	// firstAttemptRoom is how many timeouts of a first attempt must be left for it to get that timeout.
	firstAttemptRoom = 2
	// firstAttemptMinCalls is the number of calls in the window below which that mean is not relied on.
	firstAttemptMinCalls = 20
	// minCallAllowance keeps the limit, which is a divisor, above 0. With an allowance below 1 no call
	// goes out.
	minCallAllowance = 0.01
)

// downstreamLimiter bounds the downstream calls that are in flight at once.
type downstreamLimiter struct {
	limit              float64 // in force now
	minLimit, maxLimit float64
	allowance          float64 // that was set by an event; infinite where none was
	// credit is how many call-seconds under the limit were left unused until creditAt. Where the limit
	// is not a whole number, it lets one more call go out from time to time.
	credit, creditAt float64
	callTime         durationEstimate
	maxTimeout       float64
	// abandoned are the calls that were given up and may still be held downstream.
	abandoned         timewindow.ExpiringNames
	abandonedLifetime float64
	tier              bool // calls reach a tier of servers
}

func newDownstreamLimiter(settings *Settings, cores float64) downstreamLimiter {
	limiter := downstreamLimiter{
		minLimit:          minTierCalls * cores,
		maxLimit:          maxTierCalls * cores,
		limit:             initialTierCalls * cores,
		allowance:         math.Inf(1),
		maxTimeout:        math.Inf(1),
		abandonedLifetime: settings.Downstream.AbandonedCallLifetime,
		tier:              settings.Downstream.Kind == ServerTier,
	}
	if settings.Downstream.Kind == SharedDependency {
		limiter.minLimit = minSharedCalls * settings.Downstream.CallLimit
		limiter.maxLimit = maxSharedCalls * settings.Downstream.CallLimit
		limiter.limit = initialSharedCalls * settings.Downstream.CallLimit
		callSeconds := settings.Downstream.CallLimit * settings.Downstream.CallWindow
		limiter.maxTimeout = maxSharedTimeout * callSeconds
	}
	return limiter
}

// accrue adds to the credit what was left unused of the limit since creditAt.
func (d *downstreamLimiter) accrue(now, inFlight float64) {
	unused := d.limit - inFlight
	d.credit = min(d.limit, 1, d.credit+unused*(now-d.creditAt))
	d.creditAt = now
}

// allowsOneMore reports whether another call may go out.
func (d *downstreamLimiter) allowsOneMore(inFlight float64) bool {
	if inFlight+1 > d.allowance {
		return false
	}
	return inFlight+1 <= d.limit || inFlight < d.limit && d.credit > 0
}

// slow reports whether the mean call takes more than twice the lowest mean of the last 30 s.
func (d *downstreamLimiter) slow(now float64) bool {
	return d.callTime.mean > slowCallFactor*d.callTime.lowest.Value(now)
}

// lossy reports whether one call in four is lost, once a few are known.
func (d *downstreamLimiter) lossy() bool {
	return lossFactor*d.callTime.recent.Untimed > d.callTime.recent.Count+lossFactor
}

// timeout returns the timeout of a request's call: the time that is left, less the safety margin.
// Exception to the design: a call that may be repeated, into a tier that is not slow, gets only a few
// mean calls if more than twice that is left. Otherwise a server of the tier that died unnoticed would
// hold the call for all of the time.
func (d *downstreamLimiter) timeout(now float64, r *request) float64 {
	left := min(r.hardDeadline-now-deadlineSafetyMargin, d.maxTimeout)
	firstAttempt := firstAttemptFactor * d.callTime.mean
	repeatable := d.tier && r.class.Idempotency == Idempotent
	known := d.callTime.recent.Count >= firstAttemptMinCalls
	if repeatable && known && !d.slow(now) && left > firstAttemptRoom*firstAttempt {
		return firstAttempt
	}
	return left
}

// callsInFlight counts the calls in flight, including those that were abandoned but may still be
// held downstream.
func (c *Controller) callsInFlight() float64 {
	return c.count(stateCalling) + float64(len(c.downstream.abandoned))
}

// accrueCallCredit brings the credit of calls up to date. It runs before each change of the calls in
// flight.
func (c *Controller) accrueCallCredit() { c.downstream.accrue(c.now, c.callsInFlight()) }

// tuneCallLimit learns how long calls take and how many may be in flight.
func (c *Controller) tuneCallLimit() {
	d := &c.downstream
	d.callTime.refresh(c.now)
	if d.callTime.recent.Count >= minSamples {
		d.callTime.lowest.Observe(c.now, d.callTime.mean)
	}
	switch {
	case d.slow(c.now) || d.lossy():
		d.limit *= callLimitDecrease
	case c.count(stateAwaitingDownstream) > 0:
		d.limit *= callLimitIncrease
	}
	d.limit = min(max(d.minLimit, min(d.limit, d.maxLimit)), d.allowance)
}

// scheduleCalls degrades or expires requests that a call can't help any more, then dispatches calls: by
// soft deadline, or by the value that each adds while calls are slow.
func (c *Controller) scheduleCalls() {
	for _, r := range c.requests {
		if r.state == stateAwaitingDownstream {
			c.reviewAwaiting(r)
		}
	}
	order := bySoftDeadline
	if c.downstream.slow(c.now) {
		order = byCallGain
	}
	for c.hasConcurrencyRoom() {
		if !c.downstream.allowsOneMore(c.callsInFlight()) {
			c.degradeAwaiting()
			return
		}
		if !c.step(c.first(c.dispatchable, order), onDispatch) {
			return
		}
	}
}

// reviewAwaiting degrades or expires a request that awaits its call, if the call can't help it any
// more.
func (c *Controller) reviewAwaiting(r *request) {
	late := c.now+c.downstream.callTime.mean/2 > r.valueUntil
	degradedValue := r.class.DegradedValue
	blocked := !r.mayCall()
	degradedIsBetter := blocked || r.call.lostAttempts > maxLostAttempts ||
		late && degradedValue > r.class.LateValue
	callIsUseless := blocked || late && (c.downstream.slow(c.now) || r.class.LateValue == 0)
	noTimeLeft := r.hardDeadline-c.now <= deadlineSafetyMargin
	switch {
	case degradedValue > 0 && degradedIsBetter && c.hasConcurrencyRoom():
		c.step(r, onDegrade)
	case degradedValue == 0 && callIsUseless, noTimeLeft:
		c.step(r, onExpire)
	}
}

// dispatchable reports whether a request's call may go out, limits aside.
func (c *Controller) dispatchable(r *request) bool {
	return r.state == stateAwaitingDownstream && r.call.backoffUntil <= c.now && r.mayCall()
}

// mayCall reports whether an attempt of the request's call is safe: a call that may have had its
// effect is not repeated, unless it is idempotent.
func (r *request) mayCall() bool {
	return r.call.lostAttempts == 0 || r.call.notExecuted || r.class.Idempotency == Idempotent
}

// callGain returns what the request's call adds to its value.
func (r *request) callGain() float64 { return r.value * (1 - r.class.DegradedValue) }

// byCallGain orders requests by what their call adds to their value, the most first.
func byCallGain(a, b *request) int {
	return cmp.Or(cmp.Compare(b.callGain(), a.callGain()), bySoftDeadline(a, b))
}

// degradeAwaiting degrades requests that would wait too long for their call while calls are scarce. It
// assumes that calls go out by the value that they add; how long is too long is as in shedQueue.
func (c *Controller) degradeAwaiting() {
	awaiting := c.inState(stateAwaitingDownstream)
	slices.SortStableFunc(awaiting, byCallGain)
	mean := c.downstream.callTime.mean
	for i, r := range awaiting {
		wait := float64(i+1) * mean / c.downstream.limit
		tooLong := wait > maxWaitFraction*(r.valueUntil-c.now-mean)
		if r.class.DegradedValue > 0 && tooLong && c.hasConcurrencyRoom() {
			c.step(r, onDegrade)
		}
	}
}

// handleCallReturned ends a call and learns from it.
func (c *Controller) handleCallReturned(r *request, e *Event) {
	c.progress.lastEnd = c.now
	bucket := c.downstream.callTime.window.Current(c.now)
	if e.Outcome == Finished {
		bucket.Add(e.Duration)
		r.call.finishedCalls++
		c.step(r, onCallReturned)
		return
	}
	bucket.Untimed++ // counts as lost
	if e.Outcome == TimedOut {
		c.abandonCall(r)
	}
	r.call.notExecuted = e.Outcome == Rejected || e.Outcome == Unreachable
	r.call.lostAttempts++
	// The random part keeps the attempts of several requests from coming at once.
	r.call.backoffUntil = c.now + callBackoff*float64(r.call.lostAttempts)*(1+c.random.float())
	c.step(r, onCallLost)
}

// dispatchCall lets the call of a request go out.
func (c *Controller) dispatchCall(r *request) {
	c.emit(Action{Kind: DispatchCall, RequestID: r.id, Duration: c.downstream.timeout(c.now, r)})
}

// degrade has the run of a request go on without its call.
func (c *Controller) degrade(r *request) { c.emit(Action{Kind: Degrade, RequestID: r.id}) }

// abandonCall counts a call that was given up as in flight, for as long as it may still be held
// downstream.
func (c *Controller) abandonCall(r *request) {
	c.downstream.abandoned.Add(r.id, c.now+c.downstream.abandonedLifetime)
}

// failAndAbandonCall sends the final response of a request whose call is in flight.
func (c *Controller) failAndAbandonCall(r *request) {
	c.fail(r)
	c.abandonCall(r)
}
