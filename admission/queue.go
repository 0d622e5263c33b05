package admission

import (
	"cmp"
	"slices"
)

const (
	// maxWaitFraction is the fraction of a request's spare time that it may be expected to wait.
	// Run times vary: after a longer wait requests would end late.
	maxWaitFraction = 0.25
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
	memory := &c.memory
	fits := memory.used()+r.memory*(memory.runningFactor-1) <= memoryForRequests*memory.limit
	// While many await their call, more of their kind would be wasted work, unless they can be
	// degraded.
	stuck := r.class.CallsDownstream && r.class.DegradedValue == 0 &&
		c.count(stateAwaitingDownstream) >= max(2, c.downstream.limit)
	// A request over its tenant's quota leaves room for one within, as it can't be preempted later.
	leavesRoom := !r.overQuota || c.count(statesOnCore) < max(1, c.concurrency.runLimit-1)
	return fits && !stuck && leavesRoom
}

// work is an amount of work, in seconds of a core and of a downstream call.
type work struct{ run, call float64 }

// shedQueue goes through the queue by soft deadline. Where cores or calls can't reach a request in
// time, it rejects the one with the lowest value density of those up to it.
func (c *Controller) shedQueue() {
	queue := c.inState(stateQueued)
	slices.SortStableFunc(queue, bySoftDeadline)
	ahead := work{call: c.count(stateAwaitingDownstream) * c.downstream.callTime.mean}
	for i := 0; i < len(queue); i++ {
		r := queue[i]
		own := c.expectedWork(r.class)
		wait, byCalls := c.expectedWait(ahead, own)
		ahead.run += own.run
		ahead.call += own.call
		if wait == 0 || wait <= maxWaitFraction*(r.valueUntil-c.now-own.run-own.call) {
			continue
		}
		shed := c.leastDense(queue[:i+1], byCalls)
		spared := c.expectedWork(queue[shed].class)
		ahead.run -= spared.run
		ahead.call -= spared.call
		c.step(queue[shed], onOverload)
		queue = slices.Delete(queue, shed, shed+1)
		i--
	}
}

// expectedWork returns what a run of the class is expected to take: of calls nothing, where it can
// be degraded.
func (c *Controller) expectedWork(class *learnedClass) work {
	expected := work{run: class.runTime.mean}
	if class.DegradedValue <= 0 {
		expected.call = class.meanCalls * c.downstream.callTime.mean
	}
	return expected
}

// expectedWait returns how long a request waits for the work ahead of it, and whether it waits for
// calls rather than for cores.
func (c *Controller) expectedWait(ahead, own work) (wait float64, byCalls bool) {
	wait = ahead.run / c.concurrency.runLimit
	if own.call <= 0 {
		return wait, false
	}
	if waitForCalls := ahead.call / c.downstream.limit; waitForCalls > wait {
		return waitForCalls, true
	}
	return wait, false
}

// leastDense returns the index of the request with the lowest value density. Where calls are what
// is scarce it passes over those that need none, except the last, for which the others make way.
func (c *Controller) leastDense(queue []*request, byCalls bool) int {
	least := len(queue) - 1
	lowest := c.valueDensity(queue[least])
	for i, r := range queue[:least] {
		if byCalls && c.expectedWork(r.class).call <= 0 {
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
// of its class are admitted, or the least valuable class alone would be rejected.
func (c *Controller) valueDensity(r *request) float64 {
	expected := c.expectedWork(r.class)
	cost := expected.run/c.concurrency.runLimit + expected.call/c.downstream.limit
	return r.value / max(cost*r.class.admittedFraction, minCost)
}
