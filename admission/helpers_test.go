package admission

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// plain is a slow, plain model of what the rules allow one server, fed with the events and actions of
// an instance. It holds no decision: whatever breaks a rule comes back as an error.
type plain struct {
	site            Settings
	a, b            *Controller // twins: the same events must give the same actions
	now             float64
	born            float64
	tasks           map[string]*plainTask
	ids             []string
	keys            map[string]float64
	timers, lingers []float64
	drainAt, killAt float64
	rejected        map[string]Action
	idle            float64
	inHand          [][2]float64 // times and calls
	seen            map[played]int
}

type plainTask struct {
	id, identity         string
	stage                Class
	where                string // held, sharing, core, parked, calling, over
	arrived, due, readAt float64
	memory               float64
	answered, gone, ran  bool
	called, stopPending  bool
	unproven, hasEarlier bool
	limit                float64 // time-out of its call
}

func newPlain(site Settings, seed int64, now float64) *plain {
	return &plain{site: site, a: New(seed, site), b: New(seed, site), now: now, born: now, keys: map[string]float64{},
		tasks: map[string]*plainTask{}, drainAt: math.Inf(1), killAt: math.Inf(1), rejected: map[string]Action{}}
}

func (p *plain) count(where string) (n int) {
	for _, t := range p.tasks {
		if t.where == where {
			n++
		}
	}
	return n
}

// read makes the event of a task that reaches the server and puts it in the model.
func (p *plain) read(id, identity string, in Request) Event {
	st := p.site.Classes[in.Class]
	t := &plainTask{id: id, identity: identity, stage: st, where: "held", arrived: p.now - in.Age,
		readAt: p.now, memory: in.Memory}
	t.due = max(p.now, t.arrived+st.Timeout)
	if in.RemainingBudget > 0 {
		t.due = p.now + in.RemainingBudget
	}
	if st.Idempotency == Deduplicated {
		for _, other := range p.ids { // what holds an entry, or came in the same batch
			o := p.tasks[other]
			if o.identity != identity {
				continue
			}
			if (p.keys[o.id] >= t.arrived || o.readAt == p.now) && (o.where == "held" || o.ran) {
				in.DuplicateOf = o.id
			}
		}
	}
	t.hasEarlier = in.DuplicateOf != ""
	p.tasks[id] = t
	p.ids = append(p.ids, id)
	return Event{Kind: Arrived, RequestID: id, Request: in}
}

// end makes the event of a run that ends.
func (p *plain) end(t *plainTask, o Outcome) Event {
	t.where = "over"
	t.answered = t.answered || o == Finished || o == Failed
	return Event{Kind: RunEnded, RequestID: t.id, Outcome: o, Duration: 0.1}
}

// batch hands the events to both twins, applies what they answer and checks the rules.
func (p *plain) batch(events ...Event) error {
	acts := append([]Action(nil), p.a.Decide(p.now, events)...)
	if twin := p.b.Decide(p.now, events); len(acts)+len(twin) > 0 && !reflect.DeepEqual(acts, twin) {
		return fmt.Errorf("twins differ: %v against %v", acts, twin)
	}
	for _, act := range acts {
		if err := p.apply(act); err != nil {
			return fmt.Errorf("%+v at %.3f: %w", act, p.now, err)
		}
	}
	return p.rules()
}

func (p *plain) apply(a Action) error {
	switch a.Kind {
	case SetTimer:
		p.timers = append(p.timers, p.now+a.Duration)
		return check(a.Duration >= 0, "timer in the past")
	case ReportLoad:
		return check(p.site.Backpressure != NoBackpressure && a.Load >= 0, "free value not allowed")
	case SetIdleTimeout:
		p.idle = a.Duration
		return check(a.Duration >= 0.01 && a.Duration <= p.site.IdleTimeout, "connections closed too soon or too late")
	case SetHealth, LogLine:
		return nil
	}
	t := p.tasks[a.RequestID]
	if t == nil {
		return fmt.Errorf("unknown task")
	}
	is := func(where ...string) bool { return slices.Contains(where, t.where) }
	switch a.Kind {
	case StartRun:
		if !is("held") || t.answered || t.gone {
			return fmt.Errorf("starts a task that is %s", t.where)
		}
		if t.arrived > p.drainAt+p.site.DrainGracePeriod {
			return fmt.Errorf("runs what came after the grace")
		}
		if p.twin(t) {
			return fmt.Errorf("runs a second try")
		}
		t.where, t.ran = "core", true
	case Reject, Fail:
		if t.answered || t.gone {
			return fmt.Errorf("answers twice")
		}
		if a.Kind == Reject && (t.ran || !is("held") || t.hasEarlier && p.twin(t)) {
			return fmt.Errorf("rejects what ran")
		}
		p.rejected[a.RequestID] = a
		t.answered = true
		if t.where == "calling" {
			p.lingers = append(p.lingers, p.now+p.site.AbandonedCallLifetime)
		}
		if is("held", "sharing") {
			t.where = "over"
		}
	case CancelRun:
		t.stopPending = t.where == "core"
		ok := p.site.Preemption != NoPreemption && t.stage.Idempotency != Deduplicated && (t.answered || t.gone)
		return check(ok, "stops what it must not")
	case DispatchCall:
		if !is("parked") || t.answered || a.Duration <= 0 || p.now+a.Duration > t.due {
			return fmt.Errorf("call from %s for %.3f", t.where, a.Duration)
		}
		if t.called && t.unproven && t.stage.Idempotency != Idempotent {
			return fmt.Errorf("repeats a call that may have had its effect")
		}
		t.where, t.called, t.unproven, t.limit = "calling", true, true, p.now+a.Duration
	case Degrade:
		ok := is("parked") && t.stage.DegradedValue > 0
		t.where = "core"
		return check(ok, "skips a call it must not")
	case StoreKey:
		p.keys[a.RequestID] = p.now + a.Duration
	case DeleteKey:
		delete(p.keys, a.RequestID)
	case ReuseResult:
		t.where = "sharing"
		return check(t.hasEarlier, "repeats nothing")
	}
	return nil
}

// twin tells whether another try of a deduplicated task has run within its window.
func (p *plain) twin(t *plainTask) bool {
	for _, o := range p.tasks {
		if t.stage.Idempotency == Deduplicated && o != t && o.ran && o.identity == t.identity &&
			math.Abs(o.arrived-t.arrived) <= t.stage.DeduplicationWindow {
			return true
		}
	}
	return false
}

func check(ok bool, what string) error {
	if !ok {
		return fmt.Errorf("%s", what)
	}
	return nil
}

// rules checks what must hold once a batch is answered.
func (p *plain) rules() error {
	memory, speed, calls := 0.0, 1.0, 0
	for _, until := range p.keys {
		if until >= p.now {
			memory += p.site.KeyMemory
		}
	}
	for _, id := range p.ids {
		t := p.tasks[id]
		switch t.where {
		case "over":
		case "held", "sharing":
			memory += t.memory
		default:
			memory += t.memory * p.site.RunningMemoryFactor
		}
		if t.where == "calling" && !t.answered && !t.gone { // else it lingers
			calls++
		}
		if !t.answered && !t.gone && (p.now > t.due+p.site.DeadlineTolerance || p.now >= p.killAt) {
			return fmt.Errorf("task %s lost: due %.3f, now %.3f", id, t.due, p.now)
		}
	}
	if age := p.now - p.born; age < p.site.SlowStartDuration {
		speed = p.site.SlowStartSpeed + (1-p.site.SlowStartSpeed)*age/p.site.SlowStartDuration
	}
	for _, until := range p.lingers {
		if until > p.now {
			calls++
		}
	}
	switch {
	case memory > p.site.MemoryLimit:
		return fmt.Errorf("memory %.0f over %.0f", memory, p.site.MemoryLimit)
	case float64(p.count("core")) > float64(p.site.Cores)*(1+(p.site.ConcurrencyLimit-1)*speed):
		return fmt.Errorf("%d crowd the cores", p.count("core"))
	}
	// What was in hand until the next batch is taken as if it had been so since this one.
	p.inHand = append(p.inHand, [2]float64{p.now, float64(calls)})
	sum := 0.0
	for i, end := len(p.inHand)-1, p.now; i > 0 && end > p.now-p.site.CallWindow; i-- {
		sum += p.inHand[i-1][1] * (end - max(p.inHand[i-1][0], p.now-p.site.CallWindow))
		end = p.inHand[i-1][0]
	}
	// One call that lingers may pass the share: the rule binds the fleet's sum.
	if p.site.Downstream == SharedDependency && sum/p.site.CallWindow > p.site.CallLimit+p.site.AbandonedCallLifetime/p.site.CallWindow {
		return fmt.Errorf("%.2f calls over the share", sum/p.site.CallWindow)
	}
	return nil
}

// must ends the test on a broken rule.
func (p *plain) must(t rapid.TB, events ...Event) {
	t.Helper()
	if err := p.batch(events...); err != nil {
		t.Fatal(err)
	}
}

// till lets the timers go off up to then.
func (p *plain) till(t *testing.T, then float64) {
	t.Helper()
	for p.next() <= then {
		p.now = p.next()
		p.must(t, p.ring())
	}
	p.now = then
}

// next is when the earliest timer goes off.
func (p *plain) next() float64 {
	return slices.Min(append([]float64{math.Inf(1)}, p.timers...))
}

// ring takes out the timers that are due and makes their event.
func (p *plain) ring() Event {
	p.timers = slices.DeleteFunc(p.timers, func(at float64) bool { return at <= p.now })
	return Event{Kind: TimerFired, Gauges: Gauges{Utilization: 0.9, Runnable: float64(p.count("core"))}}
}

func within(site Settings) Settings {
	if site.Classes == nil {
		site.Classes = []Class{{SoftDeadline: 2, Timeout: 4, Value: 1, CallsDownstream: true}}
	}
	if site.Cores == 0 {
		site.Cores = 2
	}
	site.MemoryLimit, site.IdleTimeout = 1e6, 30
	site.RunningMemoryFactor, site.ConcurrencyLimit, site.ConcurrencyWindow, site.DeadlineTolerance = 4, 4, 2, 0.05
	site.DeadlinePropagation, site.DrainGracePeriod, site.AbandonedCallLifetime, site.CallWindow = true, 1, 0.2, 5
	return site
}
