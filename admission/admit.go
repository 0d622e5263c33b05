package admission

const (
	// minLateValue is the minimum LateValueFraction of a class whose queued requests may still start if
	// they are expected to end after their soft deadline. Exception to the design: late requests
	// of a lower value would occupy cores that requests of more value need.
	minLateValue = 0.5
	// expiryToleranceSeconds is the time in seconds before its hard deadline at which a request
	// counts as expired, so that its response is not late.
	expiryToleranceSeconds = 1e-3
)

// handleArrival queues a request or rejects it at once. Once set here, its hard deadline is moved
// only by a drain.
func (c *Controller) handleArrival(e *Event) {
	arrival := &e.Request
	r := c.newRequest(e.RequestID, arrival)
	withinQuota := c.chargeQuota(r, arrival.Tenant)
	c.load.arrivedRequests++
	c.arrivals.record(c.now, arrival)
	c.byID[r.id] = r
	c.requests = append(c.requests, r)
	c.memory.reserve(r)
	c.decideArrival(r, arrival, withinQuota)
}

// newRequest returns a queued request with its deadlines and value.
func (c *Controller) newRequest(id string, arrival *Request) *request {
	class := &c.classes[min(max(arrival.Class, 0), len(c.classes)-1)]
	queued := &request{
		id:         id,
		class:      class,
		state:      stateQueued,
		stateSince: c.now,
		arrivedAt:  c.now - arrival.Age,
		memory:     arrival.Memory,
		value:      class.Value,
	}
	queued.hardDeadline = c.hardDeadline(queued.arrivedAt+class.Timeout, arrival)
	softDeadline := class.SoftDeadline + class.SoftDeadlineStretch*arrival.ExpectedWork
	queued.softDeadline = queued.arrivedAt + min(softDeadline, class.Timeout)
	queued.valueUntil = queued.hardDeadline
	if class.LateValueFraction < minLateValue {
		queued.valueUntil = min(queued.softDeadline, queued.hardDeadline)
	}
	if c.settings.ScaleValueByWork && arrival.ExpectedWork > 0 {
		queued.value *= arrival.ExpectedWork
	}
	return queued
}

// hardDeadline returns the time by which a request needs its final response: the end of its
// remaining budget, or the end of the client's timeout over all attempts if that is earlier.
// During a drain it is no later than the last response of the drain. If clients propagate
// deadlines, a budget of 0 means that no time is left.
func (c *Controller) hardDeadline(timeoutAt float64, arrival *Request) float64 {
	deadline := timeoutAt
	if arrival.RemainingBudget > 0 || c.settings.DeadlinePropagation {
		deadline = min(c.now+arrival.RemainingBudget, timeoutAt)
	}
	return min(max(deadline, c.now), c.drain.lastResponseAt())
}

// decideArrival rejects a request, makes it wait for the result of the request that it repeats,
// or leaves it in the queue.
func (c *Controller) decideArrival(queued *request, arrival *Request, withinQuota bool) {
	deduplicated := queued.class.Idempotency == Deduplicated
	idempotent := queued.class.Idempotency == Idempotent
	cacheable := c.settings.ResultCacheTTL > 0 && idempotent && !arrival.Write
	queued.duplicate = arrival.DuplicateOf != "" && deduplicated
	switch {
	case c.drain.rejectsArrival(queued), c.memory.full():
		c.step(queued, onOverload)
	case arrival.DuplicateOf != "" && (deduplicated || cacheable):
		c.step(queued, onDuplicate)
	case !withinQuota:
		c.step(queued, onOverload)
	case deduplicated && !c.memory.fitsDeduplicationKey():
		// Without a stored key, a repeat of this request would be taken for a new request and run
		// again.
		c.step(queued, onOverload)
	case deduplicated:
		c.storeKey(queued, queued.class.DeduplicationWindow)
	case cacheable && arrival.HasSubject && c.memory.fitsCacheKey():
		c.storeKey(queued, queued.hardDeadline-c.now+c.settings.ResultCacheTTL)
	}
}

// expireRequests expires requests that are past their hard deadline or whose response would have
// no value. It rejects queued ones with less time left than the minimum service time, or than
// minRemainingBudget if at most one core is free.
func (c *Controller) expireRequests() {
	for _, r := range c.requests {
		worthless := r.class.LateValueFraction == 0 && c.now > r.softDeadline
		stoppable := c.settings.Preemption != NoPreemption || r.state == stateAwaitingDownstream
		left := r.valueUntil - c.now
		switch {
		case c.now >= r.hardDeadline-expiryToleranceSeconds, worthless && stoppable:
			c.step(r, onExpire)
		case left < r.class.minServiceTime,
			left < r.class.minRemainingBudget && c.count(statesOnCore)+1 >= c.concurrency.cores:
			c.step(r, onTooLate)
		}
	}
}

// rejectExpired rejects a request that has too little time left. Its client may retry at once.
func (c *Controller) rejectExpired(r *request) { c.reject(r, 0) }

// rejectOverload rejects a request for lack of capacity, with a Retry-After.
func (c *Controller) rejectOverload(r *request) {
	r.class.admittedFraction *= 1 - admissionWeight
	c.reject(r, c.retryAfter())
}

// reject sends the final response of a request that never ran, with Retry-After in seconds. A
// repeat of a deduplicated request fails instead, as the original may have run.
func (c *Controller) reject(r *request, retryAfter float64) {
	if r.duplicate {
		c.fail(r)
		return
	}
	if !r.overQuota { // exceeding a quota does not indicate overload
		c.load.wastedRequests++
	}
	c.deleteKey(r)
	c.emit(Action{Kind: Reject, RequestID: r.id, Duration: retryAfter, NoFailover: c.noFailover(r)})
}
