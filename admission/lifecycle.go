package admission

import "slices"

// state is a state of a request, or a set of several: in a row of the table, and where requests are
// counted.
type state uint16

const (
	stateQueued             state = 1 << iota
	stateCoalesced                // waits for the result of the request that it repeats
	stateRunning                  // on or near a core
	stateAwaitingDownstream       // its call is not dispatched yet
	stateCalling                  // its call is in flight
	stateAnswered                 // has its final response, yet its run has not ended
	stateDone

	statesOnCore = stateRunning | stateAnswered
)

// trigger is what moves a request to another state, or a set of several.
type trigger uint16

const (
	onAdmit      trigger = 1 << iota // decided: it may run
	onDuplicate                      // decided: the result of another request is its own
	onTooLate                        // decided: less time is left than a run takes
	onOverload                       // decided: load, memory, a quota or a drain forbids it
	onExpire                         // decided: its hard deadline is here, or it has no value any more
	onDispatch                       // decided: its call may go out
	onDegrade                        // decided: a response without the call is worth more
	onClientGone                     // events, from here on
	onAwaitDownstream
	onCallReturned
	onCallLost
	onRunEnded
	onRunCancelled
)

// transition is a row of the state table.
type transition struct {
	from   state
	on     trigger
	to     state
	effect func(*Controller, *request) // nil for none
}

// transitions are the whole life of a request: what no row names changes nothing. Where two rows
// match, the first holds.
var transitions = []transition{
	{stateQueued, onAdmit, stateRunning, (*Controller).startRun},
	{stateQueued, onDuplicate, stateCoalesced, (*Controller).reuseResult},
	{stateQueued, onTooLate | onExpire, stateDone, (*Controller).rejectExpired},
	{stateQueued, onOverload, stateDone, (*Controller).rejectOverload},
	{stateQueued | stateCoalesced, onClientGone, stateDone, (*Controller).deleteKey},
	{stateCoalesced, onExpire, stateDone, (*Controller).fail},
	{stateCoalesced | stateRunning | stateAnswered, onRunEnded, stateDone, nil},
	{stateCoalesced | stateRunning, onRunCancelled, stateDone, (*Controller).fail},
	{stateRunning, onAwaitDownstream, stateAwaitingDownstream, nil},
	{stateRunning, onExpire, stateAnswered, (*Controller).failAndCancelRun},
	{stateRunning, onClientGone, stateAnswered, (*Controller).cancelRun},
	{stateAwaitingDownstream, onDispatch, stateCalling, (*Controller).dispatchCall},
	{stateAwaitingDownstream, onDegrade, stateRunning, (*Controller).degrade},
	{stateAwaitingDownstream, onExpire, stateAnswered, (*Controller).fail},
	{stateAwaitingDownstream, onClientGone, stateAnswered, nil},
	{stateCalling, onCallReturned, stateRunning, nil},
	{stateCalling, onCallLost, stateAwaitingDownstream, nil},
	{stateCalling, onExpire, stateAnswered, (*Controller).failAndAbandonCall},
	{stateCalling, onClientGone, stateAnswered, (*Controller).abandonCall},
	{stateAnswered, onRunCancelled, stateDone, nil},
}

// request is a request that is not done.
type request struct {
	id        string
	class     *learnedClass
	state     state
	since     float64 // when it came to its state
	arrivedAt float64
	// softDeadline is until when its response has its full value.
	softDeadline float64
	// hardDeadline is when its client leaves: it has its final response by then.
	hardDeadline float64
	// valueUntil is the later of the two at which finishing it is still worth the cores.
	valueUntil float64
	coreTime   float64 // seconds on or near a core so far, without calls and pauses
	memory     float64 // while it is queued
	value      float64 // of its response; less where its tenant is over its quota
	overQuota  bool
	quota      *tenantQuota // that it was charged to; nil for none
	ran        bool
	duplicate  bool // repeats a deduplicated request
	call       callProgress
}

// callProgress is how far the downstream calls of a request are.
type callProgress struct {
	returned     int     // calls that ended well
	lost         int     // attempts of the call at hand that did not
	backoffUntil float64 // no attempt before this
	notExecuted  bool    // the last attempt is known not to have run
}

// step applies a trigger to a request and reports whether a transition matched. r may be nil.
func (c *Controller) step(r *request, on trigger) bool {
	if r == nil {
		return false
	}
	for i := range transitions {
		row := &transitions[i]
		if row.from&r.state != 0 && row.on&on != 0 {
			c.apply(row, r)
			return true
		}
	}
	return false
}

// apply moves a request along a transition and books what follows from its states.
func (c *Controller) apply(row *transition, r *request) {
	c.accrueCallCredit()
	if r.state == stateQueued {
		r.settleQuota(row.to)
	}
	if r.state&statesOnCore != 0 {
		r.coreTime += c.now - r.since
	}
	c.memory.release(r)
	r.state = row.to
	r.since = c.now
	if r.state == stateDone {
		delete(c.byID, r.id)
	} else {
		c.memory.reserve(r)
	}
	if row.effect != nil {
		row.effect(c, r)
	}
}

// settleQuota refunds what a request that leaves the queue was charged with, if it does not run: what
// was rejected, or has the result of another, used nothing of the quota.
func (r *request) settleQuota(to state) {
	if r.quota != nil && to != stateRunning {
		r.quota.Refund()
	}
	r.quota = nil
}

func (r *request) done() bool { return r.state == stateDone }

// count returns how many requests are in any of the states.
func (c *Controller) count(in state) (n float64) {
	for _, r := range c.requests {
		if r.state&in != 0 {
			n++
		}
	}
	return n
}

// inState returns the requests in a state, in order of arrival, in a slice of the caller's own.
func (c *Controller) inState(in state) []*request {
	isElsewhere := func(r *request) bool { return r.state != in }
	return slices.DeleteFunc(slices.Clone(c.requests), isElsewhere)
}

// handleRunEnded takes the end of a run and learns from it.
func (c *Controller) handleRunEnded(r *request, e *Event) {
	c.progress.lastEnd = c.now
	was := r.state
	r.class.recordWaste(was == stateAnswered && c.now >= r.hardDeadline)
	on := onRunEnded
	if e.Outcome == Cancelled || e.Outcome == NeverStarted {
		on = onRunCancelled
	}
	c.step(r, on)
	// A quick error or a run cut short would teach too low a minimum; one cut after the minimum is
	// a bound.
	tells := e.Outcome == Finished || r.coreTime > r.class.minServiceTime
	if r.ran && r.done() && tells {
		r.class.recordRun(c.now, r)
	}
	if e.Outcome == Finished && was != stateAnswered && c.now <= r.softDeadline {
		c.progress.lastTimely = c.now
		c.concurrency.experiment.reward += r.value
	}
}

// startRun is the effect of an admission.
func (c *Controller) startRun(r *request) {
	r.ran = true
	r.class.admittedFraction += admissionWeight * (1 - r.class.admittedFraction)
	c.emit(Action{Kind: StartRun, RequestID: r.id})
}

func (c *Controller) reuseResult(r *request) { c.emit(Action{Kind: ReuseResult, RequestID: r.id}) }

// fail gives a request that has begun its final response.
func (c *Controller) fail(r *request) {
	c.load.wasted++
	c.emit(Action{Kind: Fail, RequestID: r.id})
}

// cancelRun stops a run where that is possible and nobody may still want its result, as the repeat
// of a deduplicated request may.
func (c *Controller) cancelRun(r *request) {
	if c.settings.Preemption != NoPreemption && r.class.Idempotency != Deduplicated {
		c.emit(Action{Kind: CancelRun, RequestID: r.id})
	}
}

func (c *Controller) failAndCancelRun(r *request) {
	c.fail(r)
	c.cancelRun(r)
}
