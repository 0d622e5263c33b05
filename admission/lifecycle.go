package admission

import "slices"

// state is the state of a request. States are bits, so that a row of the transition table and a
// count can name a set of states.
type state uint16

const (
	stateQueued             state = 1 << iota
	stateCoalesced                // waits for the result of the request that it repeats
	stateRunning                  // on a core or waiting for one
	stateAwaitingDownstream       // waits for its call to be dispatched
	stateCalling                  // its call is in flight
	stateAnswered                 // needs no response any more, but its run has not ended
	stateDone

	statesOnCore = stateRunning | stateAnswered // the run of an answered request may go on
)

// trigger causes a transition of a request to another state. Triggers are bits, as states are.
type trigger uint16

const (
	onAdmit      trigger = 1 << iota // decision: the request may run
	onDuplicate                      // decision: the result of the repeated request is reused
	onTooLate                        // decision: less time is left than a run is expected to take
	onOverload                       // decision: load, memory, a quota or a drain forbids it
	onExpire                         // decision: past the hard deadline, or the response is worthless
	onDispatch                       // decision: the call may be dispatched
	onDegrade                        // decision: a response without the call is preferred
	onClientGone                     // this and the following triggers are events
	onAwaitDownstream
	onCallReturned
	onCallLost
	onRunEnded
	onRunCancelled
)

// transition is a row of the transition table.
type transition struct {
	from   state
	on     trigger
	to     state
	effect func(*Controller, *request) // nil if there is none
}

// transitions is the transition table of requests. A trigger without a row for the present state
// is ignored; if two rows match, the first one applies.
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

// request is a request that has arrived and is not done.
type request struct {
	id         string
	class      *learnedClass
	state      state
	stateSince float64 // time at which it entered its state
	arrivedAt  float64
	// softDeadline is the time until which the response has its full value.
	softDeadline float64
	// hardDeadline is the time at which the client stops waiting; the final response must be sent
	// before then.
	hardDeadline float64
	// valueUntil is the time until which the request is worth running: hardDeadline, or the
	// earlier of the two deadlines if late responses have too little value.
	valueUntil   float64
	coreTime     float64 // seconds in statesOnCore so far, without calls and waits for calls
	memory       float64 // memory while queued, in kilobytes
	value        float64 // of its response; lowered if over quota
	overQuota    bool
	chargedQuota *tenantQuota // quota charged while queued; nil if none
	started      bool         // whether its run was started
	duplicate    bool         // whether it repeats a deduplicated request
	call         callProgress
}

// callProgress is the progress of the downstream calls of a request.
type callProgress struct {
	finishedCalls int     // calls that completed successfully
	lostAttempts  int     // attempts of the current call that did not complete successfully
	backoffUntil  float64 // time before which no attempt may be made
	notExecuted   bool    // whether the last attempt is known not to have run downstream
}

// step applies a trigger to a request and reports whether a transition matched. A nil request
// matches none.
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

// apply moves a request along a transition, updates the totals that depend on its state (call
// credit, quota, core time, memory) and runs the effect.
func (c *Controller) apply(row *transition, r *request) {
	c.accrueCallCredit()
	if r.state == stateQueued {
		r.settleQuotaCharge(row.to)
	}
	if r.state&statesOnCore != 0 {
		r.coreTime += c.now - r.stateSince
	}
	c.memory.release(r)
	r.state = row.to
	r.stateSince = c.now
	if r.state == stateDone {
		delete(c.byID, r.id)
	} else {
		c.memory.reserve(r)
	}
	if row.effect != nil {
		row.effect(c, r)
	}
}

// settleQuotaCharge settles the quota charge of a request that leaves the queue. The charge is
// refunded unless the request runs: a rejection, or the result of another request, uses nothing
// of the quota.
func (r *request) settleQuotaCharge(to state) {
	if r.chargedQuota != nil && to != stateRunning {
		r.chargedQuota.Refund()
	}
	r.chargedQuota = nil
}

func (r *request) done() bool { return r.state == stateDone }

// count returns the number of requests in any of the given states, as a float64 since the limits
// are fractional.
func (c *Controller) count(states state) (n float64) {
	for _, r := range c.requests {
		if r.state&states != 0 {
			n++
		}
	}
	return n
}

// inState returns a new slice of the requests in a state, in order of arrival.
func (c *Controller) inState(wanted state) []*request {
	inOtherState := func(r *request) bool { return r.state != wanted }
	return slices.DeleteFunc(slices.Clone(c.requests), inOtherState)
}

// handleRunEnded handles the end of a run and learns from it.
func (c *Controller) handleRunEnded(r *request, e *Event) {
	c.progress.lastEndAt = c.now
	stateBefore := r.state
	r.class.recordWaste(stateBefore == stateAnswered && c.now >= r.hardDeadline)
	on := onRunEnded
	if e.Outcome == Cancelled || e.Outcome == NeverStarted {
		on = onRunCancelled
	}
	c.step(r, on)
	if r.started && r.done() && r.hasUsefulRunTime(e.Outcome) {
		r.class.recordRun(c.now, r)
	}
	if e.Outcome == Finished && stateBefore != stateAnswered && c.now <= r.softDeadline {
		c.progress.lastTimelyAt = c.now
		c.concurrency.experiment.reward += r.value
	}
}

// hasUsefulRunTime reports whether the run time of a run that ended may be used to learn the
// minimum service time. Quick errors and runs cancelled early would lower the minimum too much. A
// run that was cancelled or failed after the present minimum shows that runs take at least that
// long.
func (r *request) hasUsefulRunTime(outcome Outcome) bool {
	return outcome == Finished || r.coreTime > r.class.minServiceTime
}

// startRun starts the run of an admitted request.
func (c *Controller) startRun(r *request) {
	r.started = true
	r.class.admittedFraction += admissionWeight * (1 - r.class.admittedFraction)
	c.emit(Action{Kind: StartRun, RequestID: r.id})
}

// reuseResult responds with the result of the request that this one repeats.
func (c *Controller) reuseResult(r *request) { c.emit(Action{Kind: ReuseResult, RequestID: r.id}) }

// fail sends the final response of a request that may have run.
func (c *Controller) fail(r *request) {
	c.load.wastedRequests++
	c.emit(Action{Kind: Fail, RequestID: r.id})
}

// cancelRun stops a run if runs can be preempted. Runs of deduplicated requests continue, as a
// repeat may still need the result.
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
