package admission

import (
	"cmp"
	"math"
	"slices"

	"swiftcourse/internal/timewindow"
)

const (
	// deadlineSafetyMargin is the design's upper value, in seconds: responses still have to be
	// written and sent.
	deadlineSafetyMargin = 0.01
	// callTimeMemory is over how many seconds the durations of calls are learned.
	callTimeMemory = 5
	// slowCallFactor is by how much the mean call has to exceed the lowest recent mean to count as
	// slow.
	slowCallFactor = 2
	// The limit on calls is halved in 1.4 s while calls are slow or one in four is lost, and
	// doubled as fast while all are in use.
	callLimitDecrease = 0.95
	callLimitIncrease = 1.05
	// callBackoff is the least pause, in seconds and for each lost attempt, before the next attempt
	// of a call. Up to as much again is added at random.
	callBackoff = 0.02
	// maxLostCalls is how many attempts may be lost before a response without the call is
	// preferred.
	maxLostCalls = 2
	// firstAttemptFactor is how many mean calls the first attempt may last, where another may
	// follow, and firstAttemptMinCalls how many calls have to be known for that.
	firstAttemptFactor   = 4
	firstAttemptMinCalls = 20
	// minCallAllowance keeps the limit, which is divided by, from being 0; no call goes out below
	// 1.
	minCallAllowance = 0.01
)

// downstreamLimiter bounds the downstream calls that are in flight at once.
type downstreamLimiter struct {
	limit              float64 // that holds now
	minLimit, maxLimit float64
	allowance          float64 // a share of a budget, which binds whatever else holds
	// credit is call-seconds under the limit that were not used, as of creditAt. It lets one more
	// out at times where the limit is no whole number.
	credit, creditAt float64
	callTime         durationEstimate
	maxTimeout       float64
	// abandoned are the calls that were given up and may still be held downstream.
	abandoned         timewindow.ExpiringNames
	abandonedLifetime float64
	tier              bool
}

func newDownstreamLimiter(settings *Settings, cores float64) downstreamLimiter {
	limiter := downstreamLimiter{
		// A tier has its own guard: only a flood is kept from it.
		minLimit:          cores,
		maxLimit:          16 * cores,
		limit:             2 * cores,
		allowance:         math.Inf(1),
		maxTimeout:        math.Inf(1),
		abandonedLifetime: settings.Downstream.AbandonedCallLifetime,
		tier:              settings.Downstream.Kind == ServerTier,
	}
	if settings.Downstream.Kind == SharedDependency {
		// A shared dependency gets sluggish long before it falls: a quarter of the share is let out
		// however slow it is, and never all of it, as calls of the dead and those whose end is not
		// known yet count too.
		limiter.minLimit = settings.Downstream.CallLimit / 4
		limiter.maxLimit = 0.8 * settings.Downstream.CallLimit
		limiter.limit = settings.Downstream.CallLimit / 2
		// Where one call is over the share it must be short, to keep the window's mean.
		limiter.maxTimeout = settings.Downstream.CallLimit * settings.Downstream.CallWindow / 4
	}
	return limiter
}

// accrue adds what was left unused of the limit since the last time to the credit.
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

// slow reports whether calls take twice what they lately took at best.
func (d *downstreamLimiter) slow(now float64) bool {
	return d.callTime.mean > slowCallFactor*d.callTime.lowest.Value(now)
}

// lossy reports whether one call in four is lost, of more than a few.
func (d *downstreamLimiter) lossy() bool {
	return 3*d.callTime.recent.Untimed > d.callTime.recent.Count+3
}

// timeout is how long a call of a request may last: the time that is left, less the safety margin.
// Exception: in a tier that is not slow, it is a few mean calls where twice that is left and the
// request may run again. A server there that died unseen would hold the call for all the time.
func (d *downstreamLimiter) timeout(now float64, r *request) float64 {
	left := min(r.hardDeadline-now-deadlineSafetyMargin, d.maxTimeout)
	firstAttempt := firstAttemptFactor * d.callTime.mean
	repeatable := d.tier && r.class.Idempotency == Idempotent
	known := d.callTime.recent.Count >= firstAttemptMinCalls
	if repeatable && known && !d.slow(now) && left > 2*firstAttempt {
		return firstAttempt
	}
	return left
}

// callsInFlight counts the calls that are out, those included that were given up but may still be
// held downstream.
func (c *Controller) callsInFlight() float64 {
	return c.count(stateCalling) + float64(len(c.downstream.abandoned))
}

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

// scheduleCalls gives up or degrades what waits for a call in vain, and dispatches calls by soft
// deadline, or by what they add when they have turned slow.
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

// reviewAwaiting has a request that waits for its call go on without, or gives it up, where the
// call can't help.
func (c *Controller) reviewAwaiting(r *request) {
	late := c.now+c.downstream.callTime.mean/2 > r.valueUntil
	degraded := r.class.DegradedValue
	blocked := !r.mayCall()
	switch {
	case degraded > 0 && c.hasConcurrencyRoom() &&
		(blocked || r.call.lost > maxLostCalls || late && degraded > r.class.LateValue):
		c.step(r, onDegrade)
	case degraded == 0 && (blocked || late && (c.downstream.slow(c.now) || r.class.LateValue == 0)),
		r.hardDeadline-c.now <= deadlineSafetyMargin:
		c.step(r, onExpire)
	}
}

// dispatchable reports whether the call of a request may go out, if there is room for it.
func (c *Controller) dispatchable(r *request) bool {
	return r.state == stateAwaitingDownstream && r.call.backoffUntil <= c.now && r.mayCall()
}

// mayCall reports whether an attempt of its call may go out: one that may have had its effect is
// not repeated.
func (r *request) mayCall() bool {
	return r.call.lost == 0 || r.call.notExecuted || r.class.Idempotency == Idempotent
}

// callGain is what the call of a request adds to its value.
func (r *request) callGain() float64 { return r.value * (1 - r.class.DegradedValue) }

// byCallGain orders requests by what their call adds, the most first.
func byCallGain(a, b *request) int {
	return cmp.Or(cmp.Compare(b.callGain(), a.callGain()), bySoftDeadline(a, b))
}

// degradeAwaiting goes through those that wait for calls, which are scarce, in the order in which a
// call adds most, and has the others do without where their wait would be too long, by the measure
// of the queue.
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

// handleCallReturned takes the end of a call and learns from it.
func (c *Controller) handleCallReturned(r *request, e *Event) {
	c.progress.lastEnd = c.now
	bucket := c.downstream.callTime.window.Current(c.now)
	if e.Outcome == Finished {
		bucket.Add(e.Duration)
		r.call.returned++
		c.step(r, onCallReturned)
		return
	}
	bucket.Untimed++
	if e.Outcome == TimedOut {
		c.abandonCall(r)
	}
	r.call.notExecuted = e.Outcome == Rejected || e.Outcome == Unreachable
	r.call.lost++
	// A short pause, not in step with others.
	r.call.backoffUntil = c.now + callBackoff*float64(r.call.lost)*(1+c.random.float())
	c.step(r, onCallLost)
}

func (c *Controller) dispatchCall(r *request) {
	c.emit(Action{Kind: DispatchCall, RequestID: r.id, Duration: c.downstream.timeout(c.now, r)})
}

func (c *Controller) degrade(r *request) { c.emit(Action{Kind: Degrade, RequestID: r.id}) }

// abandonCall counts a call that was given up for as long as it may still be held downstream.
func (c *Controller) abandonCall(r *request) {
	c.downstream.abandoned.Add(r.id, c.now+c.downstream.abandonedLifetime)
}

func (c *Controller) failAndAbandonCall(r *request) {
	c.fail(r)
	c.abandonCall(r)
}
