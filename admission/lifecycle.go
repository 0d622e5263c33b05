package admission

import "slices"

// state is the state of a request. It is a bit, so that a row of the transition table and a count
// can name a set of states.
type state uint16

const (
	stateQueued             state = 1 << iota
	stateCoalesced                // waits for the result of the request that it repeats
	stateRunning                  // on or near a core
	stateAwaitingDownstream       // its call is not dispatched yet
	stateCalling                  // its call is in flight
	stateAnswered                 // needs no response any more, yet its run has not ended
	stateDone

	statesOnCore = stateRunning | stateAnswered
)

// trigger is what moves a request to another state. It is a bit too.
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

// transitions is the state table of a request. A trigger that no row names for the present state is
// ignored; where two rows match, the first one applies.
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

// request is a request that the server took in, until it is done.
type request struct {
	id        string
	class     *learnedClass
	state     state
	since     float64 // when it came to its state
	arrivedAt float64
	// softDeadline is the time until which its response has its full value.
	softDeadline float64
	// hardDeadline is the time at which its client leaves, so that it needs its final response before.
	hardDeadline float64
	// valueUntil is the one of the two deadlines until which finishing it is worth the cores.
	valueUntil   float64
	coreTime     float64 // seconds on or near a core so far, without calls and pauses
	memory       float64 // while it is queued
	value        float64 // of its response; less where its tenant is over its quota
	overQuota    bool
	chargedQuota *tenantQuota // the quota that it was charged to while queued; nil for none
	ran          bool
	duplicate    bool // repeats a deduplicated request
	call         callProgress
}

// callProgress is how far the downstream calls of a request are.
type callProgress struct {
	finishedCalls int     // calls that ended well
	lostAttempts  int     // attempts of the present call that did not end well
	backoffUntil  float64 // time before which no attempt is made
	notExecuted   bool    // the last attempt is known not to have run downstream
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

// apply moves a request along a transition and updates what is accounted by state.
func (c *Controller) apply(row *transition, r *request) {
	c.accrueCallCredit()
	if r.state == stateQueued {
		r.settleQuotaCharge(row.to)
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

// settleQuotaCharge ends the charge of a request that leaves the queue for another state. It is refunded
// unless the request runs: a rejection, or the result of another request, uses nothing of the
// quota.
func (r *request) settleQuotaCharge(to state) {
	if r.chargedQuota != nil && to != stateRunning {
		r.chargedQuota.Refund()
	}
	r.chargedQuota = nil
}

func (r *request) done() bool { return r.state == stateDone }

// count returns how many requests are in any of the states, as a float64 as the limits are fractional.
func (c *Controller) count(in state) (n float64) {
	for _, r := range c.requests {
		if r.state&in != 0 {
			n++
		}
	}
	return n
}

// inState returns a new slice of the requests in a state, in order of arrival.
func (c *Controller) inState(in state) []*request {
	isElsewhere := func(r *request) bool { return r.state != in }
	return slices.DeleteFunc(slices.Clone(c.requests), isElsewhere)
}

// handleRunEnded ends a run and learns from it.
func (c *Controller) handleRunEnded(r *request, e *Event) {
	c.progress.lastEnd = c.now
	stateBefore := r.state
	r.class.recordWaste(stateBefore == stateAnswered && c.now >= r.hardDeadline)
	on := onRunEnded
	if e.Outcome == Cancelled || e.Outcome == NeverStarted {
		on = onRunCancelled
	}
	c.step(r, on)
	if r.ran && r.done() && r.informative(e.Outcome) {
		r.class.recordRun(c.now, r)
	}
	if e.Outcome == Finished && stateBefore != stateAnswered && c.now <= r.softDeadline {
		c.progress.lastTimely = c.now
		c.concurrency.experiment.reward += r.value
	}
}

// informative reports whether the minimum service time may be learned of a run that ended. Quick
// errors and runs that were cancelled early would make it too low; of a run that was cancelled after
// the present minimum at least that much is known.
func (r *request) informative(outcome Outcome) bool {
	return outcome == Finished || r.coreTime > r.class.minServiceTime
}

// startRun starts the run of a request that was admitted.
func (c *Controller) startRun(r *request) {
	r.ran = true
	r.class.admittedFraction += admissionWeight * (1 - r.class.admittedFraction)
	c.emit(Action{Kind: StartRun, RequestID: r.id})
}

// reuseResult responds with the result of the request that this one repeats.
func (c *Controller) reuseResult(r *request) { c.emit(Action{Kind: ReuseResult, RequestID: r.id}) }

// fail sends the final response of a request that may have run.
func (c *Controller) fail(r *request) {
	c.load.wasted++
	c.emit(Action{Kind: Fail, RequestID: r.id})
}

// cancelRun stops a run where runs can be preempted. It leaves deduplicated requests alone: a
// repeat may still want the result.
func (c *Controller) cancelRun(r *request) {
	if c.settings.Preemption != NoPreemption && r.class.Idempotency != Deduplicated {
		c.emit(Action{Kind: CancelRun, RequestID: r.id})
	}
}

// failAndCancelRun sends the final response of a running request and stops its run.
func (c *Controller) failAndCancelRun(r *request) {
	c.fail(r)
	c.cancelRun(r)
}
