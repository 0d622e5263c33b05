package admission

import (
	"cmp"
	"slices"
)

const (
	// maxWaitFraction is the longest expected wait that a request is queued for, as a fraction of
	// its spare time: the time left less its own expected work. Run times vary, so requests that
	// wait longer would end late.
	maxWaitFraction = 0.25
	// minAwaitingCalls is the number of requests waiting for a call below which the start of
	// requests that need a call is never held back.
	minAwaitingCalls = 2
	// minCost is the minimum cost of a request, which is used as a divisor.
	minCost = 1e-4
)

// bySoftDeadline orders requests by soft deadline. Requests over their tenant's quota come last.
func bySoftDeadline(a, b *request) int {
	if a.overQuota != b.overQuota {
		if a.overQuota {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.softDeadline, b.softDeadline)
}

// firstMatching returns the first request, in the given order, of those that pass the filter, or
// nil if none does.
func (c *Controller) firstMatching(filter func(*request) bool, order func(a, b *request) int) *request {
	var best *request
	for _, r := range c.requests {
		if filter(r) && (best == nil || order(r, best) < 0) {
			best = r
		}
	}
	return best
}

// startQueued starts queued requests by soft deadline as far as the run limit, the concurrency
// limit and the memory allow.
func (c *Controller) startQueued() {
	for c.count(statesOnCore) < c.concurrency.runLimit && c.hasConcurrencyRoom() {
		if !c.step(c.firstMatching(c.startable, bySoftDeadline), onAdmit) {
			return
		}
	}
}

// startable reports whether a request is queued and may start, apart from the run limit and the
// concurrency limit.
func (c *Controller) startable(r *request) bool {
	if r.state != stateQueued {
		return false
	}
	// If many requests already wait for a call, a run that needs one would only wait too.
	wouldAwaitCall := r.class.CallsDownstream && r.class.DegradedValueFraction == 0 &&
		c.count(stateAwaitingDownstream) >= max(minAwaitingCalls, c.downstream.limit)
	// A request over its tenant's quota leaves a core free for requests within their quota, as
	// its run could not be preempted for them.
	leavesCoreFree := !r.overQuota || c.count(statesOnCore) < max(1, c.concurrency.runLimit-1)
	return c.memory.fitsRun(r) && !wouldAwaitCall && leavesCoreFree
}

// work is an amount of work, in seconds on a core and in seconds of downstream calls.
type work struct{ coreTime, callTime float64 }

// plus returns the sum of two amounts of work.
func (w work) plus(other work) work {
	return work{coreTime: w.coreTime + other.coreTime, callTime: w.callTime + other.callTime}
}

// minus returns the difference of two amounts of work.
func (w work) minus(other work) work {
	return work{coreTime: w.coreTime - other.coreTime, callTime: w.callTime - other.callTime}
}

// bottleneck is the resource that a queued request waits for.
type bottleneck uint8

const (
	bottleneckCores bottleneck = iota
	bottleneckCalls
)

// shedQueue rejects queued requests that the server has no capacity for. It goes through the
// queue by soft deadline; if cores or calls are not expected to become available in time for a
// request, it rejects the one with the lowest value density among this request and those before
// it.
func (c *Controller) shedQueue() {
	queue := c.inState(stateQueued)
	slices.SortStableFunc(queue, bySoftDeadline)
	ahead := work{callTime: c.count(stateAwaitingDownstream) * c.downstream.callTime.mean}
	for i := 0; i < len(queue); i++ {
		r := queue[i]
		own := c.expectedWork(r.class)
		wait, scarce := c.expectedWait(ahead, own)
		ahead = ahead.plus(own)
		if wait == 0 || wait <= maxWaitFraction*(r.valueUntil-c.now-own.coreTime-own.callTime) {
			continue
		}
		shed := c.leastValuable(queue[:i+1], scarce)
		ahead = ahead.minus(c.expectedWork(queue[shed].class))
		c.step(queue[shed], onOverload)
		queue = slices.Delete(queue, shed, shed+1)
		i--
	}
}

// expectedWork returns the work that a run of the class is expected to take. Calls are not
// counted for a class whose requests can be degraded.
func (c *Controller) expectedWork(class *learnedClass) work {
	expected := work{coreTime: class.runTime.mean}
	if class.DegradedValueFraction <= 0 {
		expected.callTime = class.meanCalls * c.downstream.callTime.mean
	}
	return expected
}

// expectedWait returns how long a request is expected to wait for the work ahead of it, in
// seconds, and for which resource.
func (c *Controller) expectedWait(ahead, own work) (wait float64, scarce bottleneck) {
	wait = ahead.coreTime / c.concurrency.runLimit
	if own.callTime <= 0 {
		return wait, bottleneckCores
	}
	if waitForCalls := ahead.callTime / c.downstream.limit; waitForCalls > wait {
		return waitForCalls, bottleneckCalls
	}
	return wait, bottleneckCores
}

// leastValuable returns the index of the request with the lowest value density. If calls are
// scarce, requests that need none are skipped, as rejecting them would free no call; the last
// request, which cannot be served in time, is always considered.
func (c *Controller) leastValuable(queue []*request, scarce bottleneck) int {
	least := len(queue) - 1
	lowest := c.valueDensity(queue[least])
	for i, r := range queue[:least] {
		if scarce == bottleneckCalls && c.expectedWork(r.class).callTime <= 0 {
			continue
		}
		if density := c.valueDensity(r); density < lowest {
			least = i
			lowest = density
		}
	}
	return least
}

// valueDensity returns the value of a request per cost in cores and calls. It is higher the fewer
// requests of its class were admitted; otherwise only the least valuable class would be rejected.
func (c *Controller) valueDensity(r *request) float64 {
	expected := c.expectedWork(r.class)
	cost := expected.coreTime/c.concurrency.runLimit + expected.callTime/c.downstream.limit
	return r.value / max(cost*r.class.admittedFraction, minCost)
}
