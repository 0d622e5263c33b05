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

// model is a slow, plain model of what the rules allow one server, fed with the events and actions
// of a controller. It holds no decision: whatever breaks a rule comes back as an error.
type model struct {
	settings Settings
	// controller and twin get the same events and must give the same actions.
	controller, twin *Controller

	now, startedAt  float64
	requests        map[string]*modelRequest
	ids             []string           // of requests, in order of arrival
	keys            map[string]float64 // until when each key is stored
	timers          []float64
	abandonedUntil  []float64 // until when abandoned calls may still be held downstream
	drainAt, killAt float64
	rejected        map[string]Action
	idleTimeout     float64 // as last told, 0 at first
	callsInFlight   []callSample
	covered         map[coverage]int // nil where coverage is not wanted
}

// callSample is how many calls were in flight from a time on.
type callSample struct{ at, calls float64 }

// place is where the model takes a request to be.
type place string

const (
	placeQueued    place = "queued"
	placeCoalesced place = "coalesced"
	placeOnCore    place = "on a core"
	placeAwaiting  place = "awaiting downstream"
	placeCalling   place = "calling"
	placeDone      place = "done"
)

type modelRequest struct {
	id, identity    string // identity is what a request and its repeats have in common
	class           Class
	place           place
	arrivedAt       float64
	hardDeadline    float64
	readAt          float64
	memory          float64
	callDeadline    float64 // when its call times out
	answered        bool
	clientGone      bool
	ran             bool
	called          bool
	cancelPending   bool
	mayHaveExecuted bool // its call may have had its effect
	repeats         bool // another request
}

func newModel(settings Settings, seed int64, now float64) *model {
	return &model{
		settings:   settings,
		controller: New(seed, settings),
		twin:       New(seed, settings),
		now:        now,
		startedAt:  now,
		requests:   map[string]*modelRequest{},
		keys:       map[string]float64{},
		rejected:   map[string]Action{},
		drainAt:    math.Inf(1),
		killAt:     math.Inf(1),
	}
}

func (m *model) count(where place) (n int) {
	for _, r := range m.requests {
		if r.place == where {
			n++
		}
	}
	return n
}

// arrive makes the event of a request that reaches the server and puts it into the model.
func (m *model) arrive(id, identity string, in Request) Event {
	class := m.settings.Classes[in.Class]
	r := &modelRequest{
		id: id, identity: identity, class: class, place: placeQueued,
		arrivedAt: m.now - in.Age, readAt: m.now, memory: in.Memory,
	}
	r.hardDeadline = max(m.now, r.arrivedAt+class.Timeout)
	if in.RemainingBudget > 0 {
		r.hardDeadline = m.now + in.RemainingBudget
	}
	if class.Idempotency == Deduplicated {
		in.DuplicateOf = m.original(r, in.DuplicateOf)
	}
	r.repeats = in.DuplicateOf != ""
	m.requests[id] = r
	m.ids = append(m.ids, id)
	return Event{Kind: Arrived, RequestID: id, Request: in}
}

// original returns the latest request of the same identity that has a key, or came in the same
// batch; otherwise what is given.
func (m *model) original(r *modelRequest, otherwise string) string {
	for _, id := range m.ids {
		other := m.requests[id]
		if other.identity != r.identity {
			continue
		}
		known := m.keys[other.id] >= r.arrivedAt || other.readAt == m.now
		if known && (other.place == placeQueued || other.ran) {
			otherwise = other.id
		}
	}
	return otherwise
}

// end makes the event of a run that ends.
func (m *model) end(r *modelRequest, outcome Outcome) Event {
	r.place = placeDone
	r.answered = r.answered || outcome == Finished || outcome == Failed
	return Event{Kind: RunEnded, RequestID: r.id, Outcome: outcome, Duration: 0.1}
}

// decide hands the events to both twins, applies what they answer and checks the rules.
func (m *model) decide(events ...Event) error {
	actions := append([]Action(nil), m.controller.Decide(m.now, events)...)
	twin := m.twin.Decide(m.now, events)
	if len(actions)+len(twin) > 0 && !reflect.DeepEqual(actions, twin) {
		return fmt.Errorf("twins differ: %v against %v", actions, twin)
	}
	for _, action := range actions {
		if err := m.apply(action); err != nil {
			return fmt.Errorf("%+v at %.3f: %w", action, m.now, err)
		}
	}
	return m.checkRules()
}

func (m *model) apply(a Action) error {
	switch a.Kind {
	case SetTimer:
		m.timers = append(m.timers, m.now+a.Duration)
		return check(a.Duration >= 0, "timer in the past")
	case ReportLoad:
		return check(m.settings.Backpressure != NoBackpressure && a.Load >= 0, "load report not allowed")
	case SetIdleTimeout:
		m.idleTimeout = a.Duration
		inRange := a.Duration >= 0.01 && a.Duration <= m.settings.IdleTimeout
		return check(inRange, "connections closed too soon or too late")
	case SetHealth, LogLine:
		return nil
	}
	r := m.requests[a.RequestID]
	if r == nil {
		return errors.New("unknown request")
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
		r.cancelPending = r.place == placeOnCore
		preemptible := m.settings.Preemption != NoPreemption && r.class.Idempotency != Deduplicated
		return check(preemptible && (r.answered || r.clientGone), "stops what it must not")
	case DispatchCall:
		return m.dispatchCall(a, r)
	case Degrade:
		allowed := r.place == placeAwaiting && r.class.DegradedValue > 0
		r.place = placeOnCore
		return check(allowed, "skips a call it must not")
	case StoreKey:
		m.keys[a.RequestID] = m.now + a.Duration
	case DeleteKey:
		delete(m.keys, a.RequestID)
	case ReuseResult:
		r.place = placeCoalesced
		return check(r.repeats, "repeats nothing")
	}
	return nil
}

func (m *model) startRun(r *modelRequest) error {
	switch {
	case r.place != placeQueued || r.answered || r.clientGone:
		return fmt.Errorf("starts a request that is %s", r.place)
	case r.arrivedAt > m.drainAt+m.settings.DrainGracePeriod:
		return errors.New("runs what came after the grace period")
	case m.hasRunDuplicate(r):
		return errors.New("runs a second attempt")
	}
	r.place = placeOnCore
	r.ran = true
	return nil
}

// respond takes a final response: a rejection or a failure.
func (m *model) respond(a Action, r *modelRequest) error {
	if r.answered || r.clientGone {
		return errors.New("answers twice")
	}
	mayHaveRun := r.ran || r.place != placeQueued || r.repeats && m.hasRunDuplicate(r)
	if a.Kind == Reject && mayHaveRun {
		return errors.New("rejects what ran")
	}
	m.rejected[a.RequestID] = a
	r.answered = true
	switch r.place {
	case placeCalling:
		m.abandonCall()
	case placeQueued, placeCoalesced:
		r.place = placeDone
	}
	return nil
}

func (m *model) dispatchCall(a Action, r *modelRequest) error {
	if r.place != placeAwaiting || r.answered || a.Duration <= 0 || m.now+a.Duration > r.hardDeadline {
		return fmt.Errorf("call from %s for %.3f", r.place, a.Duration)
	}
	if r.called && r.mayHaveExecuted && r.class.Idempotency != Idempotent {
		return errors.New("repeats a call that may have had its effect")
	}
	r.place = placeCalling
	r.called = true
	r.mayHaveExecuted = true
	r.callDeadline = m.now + a.Duration
	return nil
}

func (m *model) abandonCall() {
	m.abandonedUntil = append(m.abandonedUntil, m.now+m.settings.Downstream.AbandonedCallLifetime)
}

// hasRunDuplicate reports whether another attempt of a deduplicated request has run within its window.
func (m *model) hasRunDuplicate(r *modelRequest) bool {
	for _, other := range m.requests {
		if r.class.Idempotency == Deduplicated && other != r && other.ran && other.identity == r.identity &&
			math.Abs(other.arrivedAt-r.arrivedAt) <= r.class.DeduplicationWindow {
			return true
		}
	}
	return false
}

func check(ok bool, fault string) error {
	if !ok {
		return errors.New(fault)
	}
	return nil
}

// checkRules checks what must hold once a batch is answered.
func (m *model) checkRules() error {
	for _, id := range m.ids {
		r := m.requests[id]
		overdue := m.now > r.hardDeadline+m.settings.DeadlineTolerance || m.now >= m.killAt
		if !r.answered && !r.clientGone && overdue {
			return fmt.Errorf("request %s lost: due %.3f, now %.3f", id, r.hardDeadline, m.now)
		}
	}
	if memory := m.memory(); memory > m.settings.Memory.Limit {
		return fmt.Errorf("memory %.0f over %.0f", memory, m.settings.Memory.Limit)
	}
	if n := m.count(placeOnCore); float64(n) > m.survivableRuns() {
		return fmt.Errorf("%d runs are too many for the cores", n)
	}
	return m.checkCalls()
}

// memory adds up what requests and keys take.
func (m *model) memory() float64 {
	memory := 0.0
	for _, until := range m.keys {
		if until >= m.now {
			memory += m.settings.Memory.PerKey
		}
	}
	for _, id := range m.ids {
		r := m.requests[id]
		switch r.place {
		case placeDone:
		case placeQueued, placeCoalesced:
			memory += r.memory
		default:
			memory += r.memory * m.settings.Memory.RunningFactor
		}
	}
	return memory
}

// survivableRuns is how many runs the cores survive at this moment of the warm-up.
func (m *model) survivableRuns() float64 {
	slowStart := m.settings.SlowStart
	speed := 1.0
	if age := m.now - m.startedAt; age < slowStart.Duration {
		speed = slowStart.InitialSpeed + (1-slowStart.InitialSpeed)*age/slowStart.Duration
	}
	return float64(m.settings.Cores) * (1 + (m.settings.Concurrency.PerCore-1)*speed)
}

// checkCalls checks the mean of calls in flight over the window. What was in flight until the next
// batch is taken as if it had been so since this one.
func (m *model) checkCalls() error {
	window := m.settings.Downstream.CallWindow
	calls := 0
	for _, r := range m.requests {
		if r.place == placeCalling && !r.answered && !r.clientGone { // else it counts as abandoned
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
	// One abandoned call may pass the limit: the rule binds the sum of all servers.
	limit := m.settings.Downstream.CallLimit + m.settings.Downstream.AbandonedCallLifetime/window
	if m.settings.Downstream.Kind == SharedDependency && sum/window > limit {
		return fmt.Errorf("%.2f calls over the limit", sum/window)
	}
	return nil
}

// must ends the test on a broken rule.
func (m *model) must(t rapid.TB, events ...Event) {
	t.Helper()
	if err := m.decide(events...); err != nil {
		t.Fatal(err)
	}
}

// advance lets the timers go off up to a time.
func (m *model) advance(t *testing.T, to float64) {
	t.Helper()
	for m.nextTimer() <= to {
		m.now = m.nextTimer()
		m.must(t, m.fireTimers())
	}
	m.now = to
}

// nextTimer is when the earliest timer goes off.
func (m *model) nextTimer() float64 {
	return slices.Min(append([]float64{math.Inf(1)}, m.timers...))
}

// fireTimers takes out the timers that are due and makes their event.
func (m *model) fireTimers() Event {
	m.timers = slices.DeleteFunc(m.timers, func(at float64) bool { return at <= m.now })
	gauges := Gauges{Utilization: 0.9, Runnable: float64(m.count(placeOnCore))}
	return Event{Kind: TimerFired, Gauges: gauges}
}
