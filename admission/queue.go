package admission

import (
	"cmp"
	"slices"
)

const (
	// maxWaitFraction is the part of a request's spare time that it may be expected to wait. Runs
	// vary: a longer wait would start requests that end late.
	maxWaitFraction = 0.25
	// minCost bounds the cost of a request from below where it is divided by.
	minCost = 1e-4
)

// bySoftDeadline orders requests by soft deadline, with what is over its tenant's quota last.
func bySoftDeadline(a, b *request) int {
	if a.overQuota != b.overQuota {
		if a.overQuota {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.softDeadline, b.softDeadline)
}

// first returns the request that passes the filter and comes before all others that do; nil where
// none passes.
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
	// While many wait for their call to be dispatched, more of their kind would be wasted work,
	// unless they can do without.
	stuck := r.class.CallsDownstream && r.class.DegradedValue == 0 &&
		c.count(stateAwaitingDownstream) >= max(2, c.downstream.limit)
	// What is over its tenant's quota leaves room for another, as it can't be taken off for them.
	leavesRoom := !r.overQuota || c.count(statesOnCore) < max(1, c.concurrency.runLimit-1)
	return fits && !stuck && leavesRoom
}

// work is an amount of work, in seconds of a core and of a downstream call.
type work struct{ run, call float64 }

// shedQueue goes through the queue by soft deadline and rejects what the cores, or the calls, can't
// reach in time: of all up to the one that would be late, the one that has the least value for what
// it costs.
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

// expectedWork is what a run of the class is expected to take of cores, and of calls: none where it
// can do without.
func (c *Controller) expectedWork(class *learnedClass) work {
	expected := work{run: class.runTime.mean}
	if class.DegradedValue <= 0 {
		expected.call = class.meanCalls * c.downstream.callTime.mean
	}
	return expected
}

// expectedWait is how long a request waits for the work ahead of it, and whether calls rather than
// cores make it wait.
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

// leastDense returns the index of the request with the lowest value density; the last is one to
// choose from in any case, the others only where they call downstream or cores are what is scarce.
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

// valueDensity is the value of a request for what it costs of cores and calls. It counts for more
// the fewer of its class are admitted, or the least valuable class alone would be rejected.
func (c *Controller) valueDensity(r *request) float64 {
	expected := c.expectedWork(r.class)
	cost := expected.run/c.concurrency.runLimit + expected.call/c.downstream.limit
	return r.value / max(cost*r.class.admittedFraction, minCost)
}
