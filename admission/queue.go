package admission

import (
	"cmp"
	"slices"
)

const (
	// maxWaitFraction is the fraction of a request's spare time that it may be expected to wait.
	// Run times vary: after a longer wait requests would end late.
	maxWaitFraction = 0.25
	// minAwaitingCalls is the number of requests awaiting a call that never keeps others from running.
	minAwaitingCalls = 2
	// minCost is the least cost of a request, which is a divisor.
	minCost = 1e-4
)

// bySoftDeadline orders requests by soft deadline, with those over their tenant's quota last.
func bySoftDeadline(a, b *request) int {
	if a.overQuota != b.overQuota {
		if a.overQuota {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.softDeadline, b.softDeadline)
}

// first returns the first request by the order of those that pass the filter, or nil.
func (c *Controller) first(filter func(*request) bool, order func(a, b *request) int) *request {
	var best *request
	for _, r := range c.requests {
		if filter(r) && (best == nil || order(r, best) < 0) {
			best = r
		}
	}
	return best
}

// startQueued starts queued requests by soft deadline while the run limit, the concurrency limit
// and the memory allow.
func (c *Controller) startQueued() {
	for c.count(statesOnCore) < c.concurrency.runLimit && c.hasConcurrencyRoom() {
		if !c.step(c.first(c.startable, bySoftDeadline), onAdmit) {
			return
		}
	}
}

// startable reports whether a request is queued and may start, if there is room on the cores.
func (c *Controller) startable(r *request) bool {
	if r.state != stateQueued {
		return false
	}
	// Where many requests await a call already, a run that can't do without one would only wait too.
	stuck := r.class.CallsDownstream && r.class.DegradedValue == 0 &&
		c.count(stateAwaitingDownstream) >= max(minAwaitingCalls, c.downstream.limit)
	// A request over its tenant's quota leaves room on the cores for one that is within its quota: it
	// can't be preempted when that one comes.
	leavesRoom := !r.overQuota || c.count(statesOnCore) < max(1, c.concurrency.runLimit-1)
	return c.memory.fitsRun(r) && !stuck && leavesRoom
}

// work is an amount of work, in seconds of a core and of a downstream call.
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
	coreBottleneck bottleneck = iota
	callBottleneck
)

// shedQueue goes through the queue by soft deadline. Where cores or calls can't reach a request in
// time, it rejects the one with the lowest value density of those up to it.
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

// expectedWork returns what a run of the class is expected to take. Calls don't count for a class
// whose requests can be degraded.
func (c *Controller) expectedWork(class *learnedClass) work {
	expected := work{coreTime: class.runTime.mean}
	if class.DegradedValue <= 0 {
		expected.callTime = class.meanCalls * c.downstream.callTime.mean
	}
	return expected
}

// expectedWait returns how many seconds a request waits for the work ahead of it, and what it waits
// for.
func (c *Controller) expectedWait(ahead, own work) (wait float64, scarce bottleneck) {
	wait = ahead.coreTime / c.concurrency.runLimit
	if own.callTime <= 0 {
		return wait, coreBottleneck
	}
	if waitForCalls := ahead.callTime / c.downstream.limit; waitForCalls > wait {
		return waitForCalls, callBottleneck
	}
	return wait, coreBottleneck
}

// leastValuable returns the index of the request with the lowest value density. Where calls are
// scarce, requests that need none are passed over, as rejecting them would spare no call; only the
// last, which is the one that can't be reached in time, is always considered.
func (c *Controller) leastValuable(queue []*request, scarce bottleneck) int {
	least := len(queue) - 1
	lowest := c.valueDensity(queue[least])
	for i, r := range queue[:least] {
		if scarce == callBottleneck && c.expectedWork(r.class).callTime <= 0 {
			continue
		}
		if density := c.valueDensity(r); density < lowest {
			least = i
			lowest = density
		}
	}
	return least
}

// valueDensity returns the value of a request per cost in cores and calls. The fewer requests of its
// class were admitted, the higher it is: otherwise only the least valuable class would be rejected.
func (c *Controller) valueDensity(r *request) float64 {
	expected := c.expectedWork(r.class)
	cost := expected.coreTime/c.concurrency.runLimit + expected.callTime/c.downstream.limit
	return r.value / max(cost*r.class.admittedFraction, minCost)
}
