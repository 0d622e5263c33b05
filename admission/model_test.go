package admission

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// model is a simple reference model of what one server may do. It follows the events and the
// actions of a controller but decides nothing itself; an action that breaks a rule is returned as
// an error.
type model struct {
	settings Settings
	// controller and replay get the same events and must return the same actions.
	controller, replay *Controller

	now, startedAt   float64
	requests         map[string]*modelRequest
	ids              []string           // request IDs, in order of arrival
	keys             map[string]float64 // expiry time of each stored key
	timers           []float64
	abandonedUntil   []float64 // times until which abandoned calls may still occupy the dependency
	drainAt, killAt  float64
	rejectedOrFailed map[string]Action
	idleTimeout      float64 // as last set by an action; 0 if never set
	callsInFlight    []callSample
	covered          map[coverage]int // nil if coverage is not recorded
}

// callSample is the number of calls in flight from a time on.
type callSample struct{ at, calls float64 }

// modelState is the state of a request in the model.
type modelState string

const (
	modelQueued             modelState = "queued"
	modelCoalesced          modelState = "coalesced"
	modelOnCore             modelState = "on a core"
	modelAwaitingDownstream modelState = "awaiting downstream"
	modelCalling            modelState = "calling"
	modelDone               modelState = "done"
)

// modelRequest is a request as the model knows it.
type modelRequest struct {
	id, identity    string // a request and its repeats share their identity
	class           Class
	state           modelState
	arrivedAt       float64
	hardDeadline    float64
	readAt          float64
	memory          float64
	callDeadline    float64 // time at which its call times out
	answered        bool
	clientGone      bool
	ran             bool
	called          bool
	cancelPending   bool
	mayHaveExecuted bool // whether its call may have run downstream
	isRepeat        bool // whether it repeats another request
}

// newModel returns a model whose server starts at the given time.
func newModel(settings Settings, seed int64, now float64) *model {
	return &model{
		settings:         settings,
		controller:       New(seed, settings),
		replay:           New(seed, settings),
		now:              now,
		startedAt:        now,
		requests:         map[string]*modelRequest{},
		keys:             map[string]float64{},
		rejectedOrFailed: map[string]Action{},
		drainAt:          math.Inf(1),
		killAt:           math.Inf(1),
	}
}

// count returns the number of requests in a state.
func (m *model) count(wanted modelState) (n int) {
	for _, r := range m.requests {
		if r.state == wanted {
			n++
		}
	}
	return n
}

// arrive adds an arriving request to the model and returns its event.
func (m *model) arrive(id, identity string, request Request) Event {
	class := m.settings.Classes[request.Class]
	r := &modelRequest{
		id: id, identity: identity, class: class, state: modelQueued,
		arrivedAt: m.now - request.Age, readAt: m.now, memory: request.Memory,
	}
	r.hardDeadline = max(m.now, r.arrivedAt+class.Timeout)
	if request.RemainingBudget > 0 {
		r.hardDeadline = m.now + request.RemainingBudget
	}
	if class.Idempotency == Deduplicated {
		request.DuplicateOf = m.original(r, request.DuplicateOf)
	}
	r.isRepeat = request.DuplicateOf != ""
	m.requests[id] = r
	m.ids = append(m.ids, id)
	return Event{Kind: Arrived, RequestID: id, Request: request}
}

// original returns the ID of the latest request of the same identity that has a stored key or
// arrived in the same batch; the given default if there is none.
func (m *model) original(r *modelRequest, defaultID string) string {
	for _, id := range m.ids {
		other := m.requests[id]
		if other.identity != r.identity {
			continue
		}
		known := m.keys[other.id] >= r.arrivedAt || other.readAt == m.now
		if known && (other.state == modelQueued || other.ran) {
			defaultID = other.id
		}
	}
	return defaultID
}

// endRun marks the run of a request as ended and returns the event.
func (m *model) endRun(r *modelRequest, outcome Outcome) Event {
	r.state = modelDone
	r.answered = r.answered || outcome == Finished || outcome == Failed
	return Event{Kind: RunEnded, RequestID: r.id, Outcome: outcome, Duration: 0.1}
}

// decide passes the events to both controllers, applies the actions and checks the rules.
func (m *model) decide(events ...Event) error {
	actions := append([]Action(nil), m.controller.Decide(m.now, events)...)
	replayed := m.replay.Decide(m.now, events)
	if len(actions)+len(replayed) > 0 && !reflect.DeepEqual(actions, replayed) {
		return fmt.Errorf("same events gave different actions: %v and %v", actions, replayed)
	}
	for _, action := range actions {
		if err := m.apply(action); err != nil {
			return fmt.Errorf("action %+v at %.3f s: %w", action, m.now, err)
		}
	}
	return m.checkRules()
}

func (m *model) apply(a Action) error {
	switch a.Kind {
	case SetTimer:
		m.timers = append(m.timers, m.now+a.Duration)
		return check(a.Duration >= 0, fmt.Sprintf("timer set to fire in %g s, want at least 0 s", a.Duration))
	case ReportLoad:
		return check(m.settings.Backpressure != NoBackpressure && a.Load >= 0,
			fmt.Sprintf("reports a load of %g with backpressure %v, want at least 0 and a backpressure other than none",
				a.Load, m.settings.Backpressure))
	case SetIdleTimeout:
		m.idleTimeout = a.Duration
		inRange := a.Duration >= 0.01 && a.Duration <= m.settings.IdleTimeout
		return check(inRange, fmt.Sprintf("idle timeout %g s, want 0.01 to %g s", a.Duration, m.settings.IdleTimeout))
	case SetHealth, LogLine:
		return nil
	}
	r := m.requests[a.RequestID]
	if r == nil {
		return fmt.Errorf("unknown request %q", a.RequestID)
	}
	return m.applyToRequest(a, r)
}

func (m *model) applyToRequest(a Action, r *modelRequest) error {
	switch a.Kind {
	case StartRun:
		return m.startRun(r)
	case Reject, Fail:
		return m.respond(a, r)
	case CancelRun:
		r.cancelPending = r.state == modelOnCore
		preemptible := m.settings.Preemption != NoPreemption && r.class.Idempotency != Deduplicated
		return check(preemptible && (r.answered || r.clientGone),
			fmt.Sprintf("cancels a run with preemption %v, idempotency %v, answered %t, client gone %t; "+
				"want preemptible, not deduplicated, and answered or client gone",
				m.settings.Preemption, r.class.Idempotency, r.answered, r.clientGone))
	case DispatchCall:
		return m.dispatchCall(a, r)
	case Degrade:
		allowed := r.state == modelAwaitingDownstream && r.class.DegradedValueFraction > 0
		message := fmt.Sprintf("skips the call of a request that is %s with a degraded value of %g, "+
			"want awaiting downstream and a value over 0", r.state, r.class.DegradedValueFraction)
		r.state = modelOnCore
		return check(allowed, message)
	case StoreKey:
		m.keys[a.RequestID] = m.now + a.Duration
	case DeleteKey:
		delete(m.keys, a.RequestID)
	case ReuseResult:
		r.state = modelCoalesced
		return check(r.isRepeat, "reuses a result for a request that repeats no other, want a repeat")
	}
	return nil
}

func (m *model) startRun(r *modelRequest) error {
	switch {
	case r.state != modelQueued || r.answered || r.clientGone:
		return fmt.Errorf("starts a request that is %s, answered %t, client gone %t; want queued, false, false",
			r.state, r.answered, r.clientGone)
	case r.arrivedAt > m.drainAt+m.settings.DrainGracePeriod:
		return fmt.Errorf("starts a request that arrived at %.3f s, after the grace period of the drain at %.3f s",
			r.arrivedAt, m.drainAt)
	case m.hasRunDuplicate(r):
		return fmt.Errorf("runs a second attempt of a deduplicated request within its window of %g s, want one run",
			r.class.DeduplicationWindow)
	}
	r.state = modelOnCore
	r.ran = true
	return nil
}

// respond applies a final response: a rejection or a failure.
func (m *model) respond(a Action, r *modelRequest) error {
	if r.answered || r.clientGone {
		return fmt.Errorf("sends a response to a request with answered %t, client gone %t; want false, false",
			r.answered, r.clientGone)
	}
	mayHaveRun := r.ran || r.state != modelQueued || r.isRepeat && m.hasRunDuplicate(r)
	if a.Kind == Reject && mayHaveRun {
		return errors.New("rejects a request that may have run, want it failed")
	}
	m.rejectedOrFailed[a.RequestID] = a
	r.answered = true
	switch r.state {
	case modelCalling:
		m.abandonCall()
	case modelQueued, modelCoalesced:
		r.state = modelDone
	}
	return nil
}

func (m *model) dispatchCall(a Action, r *modelRequest) error {
	if r.state != modelAwaitingDownstream || r.answered || a.Duration <= 0 || m.now+a.Duration > r.hardDeadline {
		return fmt.Errorf("dispatches a call of a request that is %s, answered %t, timeout %g s, %g s left; "+
			"want awaiting downstream, false, timeout over 0 and at most the time left",
			r.state, r.answered, a.Duration, r.hardDeadline-m.now)
	}
	if r.called && r.mayHaveExecuted && r.class.Idempotency != Idempotent {
		return errors.New("repeats a call that may have run downstream, of a request that is not idempotent")
	}
	r.state = modelCalling
	r.called = true
	r.mayHaveExecuted = true
	r.callDeadline = m.now + a.Duration
	return nil
}

func (m *model) abandonCall() {
	m.abandonedUntil = append(m.abandonedUntil, m.now+m.settings.Downstream.AbandonedCallLifetime)
}

// hasRunDuplicate reports whether another attempt of a deduplicated request ran within its
// window.
func (m *model) hasRunDuplicate(r *modelRequest) bool {
	for _, other := range m.requests {
		if r.class.Idempotency == Deduplicated && other != r && other.ran && other.identity == r.identity &&
			math.Abs(other.arrivedAt-r.arrivedAt) <= r.class.DeduplicationWindow {
			return true
		}
	}
	return false
}

// check returns an error with the message if ok is false.
func check(ok bool, message string) error {
	if !ok {
		return errors.New(message)
	}
	return nil
}

// checkRules checks the rules that must hold after each batch.
func (m *model) checkRules() error {
	for _, id := range m.ids {
		r := m.requests[id]
		overdue := m.now > r.hardDeadline+m.settings.DeadlineTolerance || m.now >= m.killAt
		if !r.answered && !r.clientGone && overdue {
			return fmt.Errorf("request %s has no response at %.3f s: hard deadline %.3f s, process killed at %.3f s",
				id, m.now, r.hardDeadline, m.killAt)
		}
	}
	if memory := m.memory(); memory > m.settings.Memory.Limit {
		return fmt.Errorf("memory use of %.0f kB over the limit of %.0f kB", memory, m.settings.Memory.Limit)
	}
	if n := m.count(modelOnCore); float64(n) > m.sustainableRuns() {
		return fmt.Errorf("%d running requests, the cores sustain %.1f", n, m.sustainableRuns())
	}
	return m.checkCalls()
}

// memory returns the memory that requests and keys use.
func (m *model) memory() float64 {
	memory := 0.0
	for _, until := range m.keys {
		if until >= m.now {
			memory += m.settings.Memory.KeyEntryMemory
		}
	}
	for _, id := range m.ids {
		r := m.requests[id]
		switch r.state {
		case modelDone:
		case modelQueued, modelCoalesced:
			memory += r.memory
		default:
			memory += r.memory * m.settings.Memory.RunningFactor
		}
	}
	return memory
}

// sustainableRuns returns the number of running requests that the cores sustain at this moment of
// the warm-up.
func (m *model) sustainableRuns() float64 {
	slowStart := m.settings.SlowStart
	speed := 1.0
	if age := m.now - m.startedAt; age < slowStart.Duration {
		speed = slowStart.InitialSpeed + (1-slowStart.InitialSpeed)*age/slowStart.Duration
	}
	return float64(m.settings.Cores) * (1 + (m.settings.Concurrency.RunsPerCore-1)*speed)
}

// checkCalls checks the mean number of calls in flight over the window. The number in flight
// after a batch is taken to hold until the next batch.
func (m *model) checkCalls() error {
	window := m.settings.Downstream.CallWindow
	calls := 0
	for _, r := range m.requests {
		if r.state == modelCalling && !r.answered && !r.clientGone { // otherwise it counts as abandoned
			calls++
		}
	}
	for _, until := range m.abandonedUntil {
		if until > m.now {
			calls++
		}
	}
	m.callsInFlight = append(m.callsInFlight, callSample{at: m.now, calls: float64(calls)})
	sum := 0.0
	end := m.now
	for i := len(m.callsInFlight) - 1; i > 0 && end > m.now-window; i-- {
		before := m.callsInFlight[i-1]
		sum += before.calls * (end - max(before.at, m.now-window))
		end = before.at
	}
	// One abandoned call may exceed this server's share: the limit applies to the sum over all
	// servers.
	limit := m.settings.Downstream.CallLimit + m.settings.Downstream.AbandonedCallLifetime/window
	if m.settings.Downstream.Kind == SharedDependency && sum/window > limit {
		return fmt.Errorf("mean of %.2f calls in flight over the last %.1f s, limit %.2f", sum/window, window, limit)
	}
	return nil
}

// must passes events to the controller and fails the test if a rule is broken.
func (m *model) must(t rapid.TB, events ...Event) {
	t.Helper()
	if err := m.decide(events...); err != nil {
		t.Fatal(err)
	}
}

// advance fires the timers that are due up to a time and moves the clock there.
func (m *model) advance(t *testing.T, to float64) {
	t.Helper()
	for m.nextTimer() <= to {
		m.now = m.nextTimer()
		m.must(t, m.fireTimers())
	}
	m.now = to
}

// nextTimer returns the time at which the earliest timer fires.
func (m *model) nextTimer() float64 {
	return slices.Min(append([]float64{math.Inf(1)}, m.timers...))
}

// fireTimers removes the timers that are due and returns their event.
func (m *model) fireTimers() Event {
	m.timers = slices.DeleteFunc(m.timers, func(at float64) bool { return at <= m.now })
	gauges := Gauges{Utilization: 0.9, Runnable: float64(m.count(modelOnCore))}
	return Event{Kind: TimerFired, Gauges: gauges}
}
