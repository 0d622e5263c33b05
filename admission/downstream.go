package admission

import (
	"cmp"
	"math"
	"slices"

	"swiftcourse/internal/timewindow"
)

const (
	// deadlineSafetyMarginSeconds is the time in seconds between the latest end of a call and the
	// hard deadline, in which the response is written and sent. It is the upper value that the
	// design gives.
	deadlineSafetyMarginSeconds = 0.01
	// callTimeWindowSeconds is the window, in seconds, over which the durations of calls are
	// learned.
	callTimeWindowSeconds = 5
	// slowCallFactor is the ratio of the mean call duration to its lowest value of the last 30 s
	// above which calls count as slow.
	slowCallFactor = 2
	// minCompletedPerLostCall is the ratio of completed to lost calls below which calls count as
	// lossy: one call in four is lost.
	minCompletedPerLostCall = 3

	// Limits on concurrent calls into a tier, per core. A tier limits its load itself, so these
	// only stop a flood.
	minTierCalls     = 1
	initialTierCalls = 2
	maxTierCalls     = 16
	// Limits on concurrent calls to a shared dependency, as fractions of this server's share of
	// the calls that it can sustain. The dependency gets slow long before it fails, so a quarter
	// of the share is used even if calls are slow. The share is never used completely, as calls
	// of servers that died, and calls that are not known to have ended, also occupy the
	// dependency.
	minSharedCalls     = 0.25
	initialSharedCalls = 0.5
	maxSharedCalls     = 0.8
	// maxSharedTimeout is the longest timeout of a call to a shared dependency, as a fraction of
	// the call-seconds (calls times their duration) that the limit allows in its window. If the
	// limit is below one call, calls must be short to keep the mean over the window within it.
	maxSharedTimeout = 0.25

	// callLimitDecrease and callLimitIncrease are the factors by which a tick changes the limit.
	// They halve it in 1.4 s while calls are slow or lossy, and double it in the same time while
	// requests wait for a call.
	callLimitDecrease = 0.95
	callLimitIncrease = 1.05
	// callBackoffSeconds is the minimum backoff in seconds, per lost attempt, before the next
	// attempt of a call. A random time of up to the same length is added.
	callBackoffSeconds = 0.02
	// maxLostAttempts is the number of lost attempts of a call above which a response without the
	// call is preferred.
	maxLostAttempts = 2
	// shortTimeoutFactor is the short timeout of an attempt that may be repeated, as a multiple of
	// the mean call duration.
	shortTimeoutFactor = 4
	// shortTimeoutMinTimeLeftFactor is the time that must be left for an attempt to get the short
	// timeout, as a multiple of it.
	shortTimeoutMinTimeLeftFactor = 2
	// shortTimeoutMinCalls is the minimum number of calls in the window for a short timeout to be
	// derived from their mean duration.
	shortTimeoutMinCalls = 20
	// minCallAllowance keeps the limit, which is used as a divisor, above 0. With an allowance
	// below 1 no call is dispatched.
	minCallAllowance = 0.01
)

// downstreamLimiter bounds the downstream calls that are in flight at once.
type downstreamLimiter struct {
	limit              float64 // current value
	minLimit, maxLimit float64
	allowance          float64 // binding limit set by an event; infinite if none was set
	// credit is the number of call-seconds within the limit that were not used until creditAt. It
	// allows one more call from time to time if the limit is fractional.
	credit, creditAt float64
	callTime         durationEstimate
	maxTimeout       float64
	// abandoned holds the calls that were given up and may still occupy the dependency.
	abandoned         timewindow.ExpiringNames
	abandonedLifetime float64
	callsTier         bool // whether calls reach a tier of servers
}

func newDownstreamLimiter(settings *Settings, cores float64) downstreamLimiter {
	limiter := downstreamLimiter{
		minLimit:          minTierCalls * cores,
		maxLimit:          maxTierCalls * cores,
		limit:             initialTierCalls * cores,
		allowance:         math.Inf(1),
		maxTimeout:        math.Inf(1),
		abandonedLifetime: settings.Downstream.AbandonedCallLifetime,
		callsTier:         settings.Downstream.Kind == ServerTier,
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

// accrue adds the part of the limit that was not used since creditAt to the credit, or subtracts
// what exceeded the limit. The credit is at most one call-second.
func (d *downstreamLimiter) accrue(now, inFlight float64) {
	unused := d.limit - inFlight
	d.credit = min(d.limit, 1, d.credit+unused*(now-d.creditAt))
	d.creditAt = now
}

// allowsOneMore reports whether another call may be dispatched.
func (d *downstreamLimiter) allowsOneMore(inFlight float64) bool {
	if inFlight+1 > d.allowance {
		return false
	}
	return inFlight+1 <= d.limit || inFlight < d.limit && d.credit > 0
}

// slow reports whether the mean call duration is more than slowCallFactor times its lowest value
// of the last 30 s.
func (d *downstreamLimiter) slow(now float64) bool {
	return d.callTime.mean > slowCallFactor*d.callTime.lowest.Value(now)
}

// lossy reports whether more than one call in four is lost. The added constant keeps a single lost
// call from counting.
func (d *downstreamLimiter) lossy() bool {
	return minCompletedPerLostCall*d.callTime.recent.Untimed > d.callTime.recent.Count+minCompletedPerLostCall
}

// timeout returns the timeout of a request's call: the time that is left, less the safety margin.
//
// Exception to the design: a call to a tier gets only a few mean call durations if the request is
// idempotent, calls are not slow and more than twice that time is left. Otherwise a server of the
// tier that died unnoticed would hold the call until the deadline, with no time left for a retry.
func (d *downstreamLimiter) timeout(now float64, r *request) float64 {
	left := min(r.hardDeadline-now-deadlineSafetyMarginSeconds, d.maxTimeout)
	shortTimeout := shortTimeoutFactor * d.callTime.mean
	repeatable := d.callsTier && r.class.Idempotency == Idempotent
	known := d.callTime.recent.Count >= shortTimeoutMinCalls
	if repeatable && known && !d.slow(now) && left > shortTimeoutMinTimeLeftFactor*shortTimeout {
		return shortTimeout
	}
	return left
}

// callsInFlight returns the number of calls in flight, including abandoned ones that may still
// occupy the dependency.
func (c *Controller) callsInFlight() float64 {
	return c.count(stateCalling) + float64(len(c.downstream.abandoned))
}

// accrueCallCredit brings the call credit up to date. It must run before each change of the
// number of calls in flight.
func (c *Controller) accrueCallCredit() { c.downstream.accrue(c.now, c.callsInFlight()) }

// tuneCallLimit updates the call durations and adjusts the limit on concurrent calls.
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

// scheduleCalls first degrades or expires requests that no longer benefit from their call, then
// dispatches calls: by soft deadline, or by the value that they add while calls are slow.
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
		if !c.step(c.firstMatching(c.dispatchable, order), onDispatch) {
			return
		}
	}
}

// reviewAwaiting degrades or expires a request that waits for its call, if it no longer benefits
// from the call.
func (c *Controller) reviewAwaiting(r *request) {
	late := c.now+c.downstream.callTime.mean/2 > r.valueUntil
	degradedValue := r.class.DegradedValueFraction
	blocked := !r.mayCall()
	degradedIsBetter := blocked || r.call.lostAttempts > maxLostAttempts ||
		late && degradedValue > r.class.LateValueFraction
	callIsUseless := blocked || late && (c.downstream.slow(c.now) || r.class.LateValueFraction == 0)
	noTimeLeft := r.hardDeadline-c.now <= deadlineSafetyMarginSeconds
	switch {
	case degradedValue > 0 && degradedIsBetter && c.hasConcurrencyRoom():
		c.step(r, onDegrade)
	case degradedValue == 0 && callIsUseless, noTimeLeft:
		c.step(r, onExpire)
	}
}

// dispatchable reports whether a request's call may be dispatched, regardless of limits.
func (c *Controller) dispatchable(r *request) bool {
	return r.state == stateAwaitingDownstream && r.call.backoffUntil <= c.now && r.mayCall()
}

// mayCall reports whether another attempt of the request's call is safe: a call that may have run
// downstream is repeated only if the request is idempotent.
func (r *request) mayCall() bool {
	return r.call.lostAttempts == 0 || r.call.notExecuted || r.class.Idempotency == Idempotent
}

// callGain returns the value that the downstream call adds to the response.
func (r *request) callGain() float64 { return r.value * (1 - r.class.DegradedValueFraction) }

// byCallGain orders requests by the value that their call adds, highest first.
func byCallGain(a, b *request) int {
	return cmp.Or(cmp.Compare(b.callGain(), a.callGain()), bySoftDeadline(a, b))
}

// degradeAwaiting degrades requests that would wait too long for their call while calls are
// scarce. It assumes that calls are dispatched in the order of the value that they add, and
// limits the wait as shedQueue does.
func (c *Controller) degradeAwaiting() {
	awaiting := c.inState(stateAwaitingDownstream)
	slices.SortStableFunc(awaiting, byCallGain)
	mean := c.downstream.callTime.mean
	for i, r := range awaiting {
		wait := float64(i+1) * mean / c.downstream.limit
		tooLong := wait > maxWaitFraction*(r.valueUntil-c.now-mean)
		if r.class.DegradedValueFraction > 0 && tooLong && c.hasConcurrencyRoom() {
			c.step(r, onDegrade)
		}
	}
}

// handleCallReturned handles the end of a call and learns from it.
func (c *Controller) handleCallReturned(r *request, e *Event) {
	c.progress.lastEndAt = c.now
	bucket := c.downstream.callTime.window.Current(c.now)
	if e.Outcome == Finished {
		bucket.Add(e.Duration)
		r.call.finishedCalls++
		c.step(r, onCallReturned)
		return
	}
	bucket.Untimed++ // a lost call
	if e.Outcome == TimedOut {
		c.abandonCall(r)
	}
	r.call.notExecuted = e.Outcome == Rejected || e.Outcome == Unreachable
	r.call.lostAttempts++
	// The random part spreads the retries of several requests over time.
	r.call.backoffUntil = c.now + callBackoffSeconds*float64(r.call.lostAttempts)*(1+c.random.float())
	c.step(r, onCallLost)
}

// dispatchCall dispatches the call of a request.
func (c *Controller) dispatchCall(r *request) {
	c.emit(Action{Kind: DispatchCall, RequestID: r.id, Duration: c.downstream.timeout(c.now, r)})
}

// degrade continues the run of a request without its call.
func (c *Controller) degrade(r *request) { c.emit(Action{Kind: Degrade, RequestID: r.id}) }

// abandonCall keeps counting a call that was given up as in flight, for as long as it may still
// occupy the dependency.
func (c *Controller) abandonCall(r *request) {
	c.downstream.abandoned.Add(r.id, c.now+c.downstream.abandonedLifetime)
}

// failAndAbandonCall sends the final response of a request whose call is in flight, and abandons
// the call.
func (c *Controller) failAndAbandonCall(r *request) {
	c.fail(r)
	c.abandonCall(r)
}
