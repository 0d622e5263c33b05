package choice

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
	site            Site
	a, b            *Server // twins: the same events must give the same actions
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
	stage                Stage
	where                string // held, sharing, core, parked, calling, over
	arrived, due, readAt float64
	memory               float64
	answered, gone, ran  bool
	called, stopPending  bool
	unproven, hasEarlier bool
	limit                float64 // time-out of its call
}

func newPlain(site Site, seed int64, now float64) *plain {
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
func (p *plain) read(id, identity string, in Task) Event {
	st := p.site.Stages[in.Stage]
	t := &plainTask{id: id, identity: identity, stage: st, where: "held", arrived: p.now - in.Age,
		readAt: p.now, memory: in.Memory}
	t.due = max(p.now, t.arrived+st.TimeLimit)
	if in.Wait > 0 {
		t.due = p.now + in.Wait
	}
	if st.Effect == Deduplicated {
		for _, other := range p.ids { // what holds an entry, or came in the same batch
			o := p.tasks[other]
			if o.identity != identity {
				continue
			}
			if (p.keys[o.id] >= t.arrived || o.readAt == p.now) && (o.where == "held" || o.ran) {
				in.Earlier = o.id
			}
		}
	}
	t.hasEarlier = in.Earlier != ""
	p.tasks[id] = t
	p.ids = append(p.ids, id)
	return Event{Kind: Read, ID: id, Task: in}
}

// end makes the event of a run that ends.
func (p *plain) end(t *plainTask, o Outcome) Event {
	t.where = "over"
	t.answered = t.answered || o == Finished || o == Errored
	return Event{Kind: Ended, ID: t.id, Outcome: o, Took: 0.1}
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
		p.timers = append(p.timers, p.now+a.For)
		return check(a.For >= 0, "timer in the past")
	case SetFree:
		return check(p.site.Free != NoFree && a.Value >= 0, "free value not allowed")
	case Idle:
		p.idle = a.For
		return check(a.For >= 0.01 && a.For <= p.site.Idle, "connections closed too soon or too late")
	case Health, Note:
		return nil
	}
	t := p.tasks[a.ID]
	if t == nil {
		return fmt.Errorf("unknown task")
	}
	is := func(where ...string) bool { return slices.Contains(where, t.where) }
	switch a.Kind {
	case Start:
		if !is("held") || t.answered || t.gone {
			return fmt.Errorf("starts a task that is %s", t.where)
		}
		if t.arrived > p.drainAt+p.site.DrainGrace {
			return fmt.Errorf("runs what came after the grace")
		}
		if p.twin(t) {
			return fmt.Errorf("runs a second try")
		}
		t.where, t.ran = "core", true
	case Reject, Abandon:
		if t.answered || t.gone {
			return fmt.Errorf("answers twice")
		}
		if a.Kind == Reject && (t.ran || !is("held") || t.hasEarlier && p.twin(t)) {
			return fmt.Errorf("rejects what ran")
		}
		p.rejected[a.ID] = a
		t.answered = true
		if t.where == "calling" {
			p.lingers = append(p.lingers, p.now+p.site.CallLinger)
		}
		if is("held", "sharing") {
			t.where = "over"
		}
	case TakeOff:
		t.stopPending = t.where == "core"
		ok := p.site.Stopping != NoStop && t.stage.Effect != Deduplicated && (t.answered || t.gone)
		return check(ok, "stops what it must not")
	case Call:
		if !is("parked") || t.answered || a.For <= 0 || p.now+a.For > t.due {
			return fmt.Errorf("call from %s for %.3f", t.where, a.For)
		}
		if t.called && t.unproven && t.stage.Effect != Idempotent {
			return fmt.Errorf("repeats a call that may have had its effect")
		}
		t.where, t.called, t.unproven, t.limit = "calling", true, true, p.now+a.For
	case Skip:
		ok := is("parked") && t.stage.SkipUtility > 0
		t.where = "core"
		return check(ok, "skips a call it must not")
	case Keep:
		p.keys[a.ID] = p.now + a.For
	case Forget:
		delete(p.keys, a.ID)
	case Reuse:
		t.where = "sharing"
		return check(t.hasEarlier, "repeats nothing")
	}
	return nil
}

// twin tells whether another try of a deduplicated task has run within its window.
func (p *plain) twin(t *plainTask) bool {
	for _, o := range p.tasks {
		if t.stage.Effect == Deduplicated && o != t && o.ran && o.identity == t.identity &&
			math.Abs(o.arrived-t.arrived) <= t.stage.Window {
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
			memory += t.memory * p.site.RunFactor
		}
		if t.where == "calling" && !t.answered && !t.gone { // else it lingers
			calls++
		}
		if !t.answered && !t.gone && (p.now > t.due+p.site.AnswerSlack || p.now >= p.killAt) {
			return fmt.Errorf("task %s lost: due %.3f, now %.3f", id, t.due, p.now)
		}
	}
	if age := p.now - p.born; age < p.site.ColdFor {
		speed = p.site.ColdFrom + (1-p.site.ColdFrom)*age/p.site.ColdFor
	}
	for _, until := range p.lingers {
		if until > p.now {
			calls++
		}
	}
	switch {
	case memory > p.site.Memory:
		return fmt.Errorf("memory %.0f over %.0f", memory, p.site.Memory)
	case float64(p.count("core")) > float64(p.site.Cores)*(1+(p.site.Crowd-1)*speed):
		return fmt.Errorf("%d crowd the cores", p.count("core"))
	}
	// What was in hand until the next batch is taken as if it had been so since this one.
	p.inHand = append(p.inHand, [2]float64{p.now, float64(calls)})
	sum := 0.0
	for i, end := len(p.inHand)-1, p.now; i > 0 && end > p.now-p.site.CallFor; i-- {
		sum += p.inHand[i-1][1] * (end - max(p.inHand[i-1][0], p.now-p.site.CallFor))
		end = p.inHand[i-1][0]
	}
	// One call that lingers may pass the share: the rule binds the fleet's sum.
	if p.site.Below == Shared && sum/p.site.CallFor > p.site.CallShare+p.site.CallLinger/p.site.CallFor {
		return fmt.Errorf("%.2f calls over the share", sum/p.site.CallFor)
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
	return Event{Kind: Timer, Gauges: Gauges{Busy: 0.9, Runnable: float64(p.count("core"))}}
}

func within(site Site) Site {
	if site.Stages == nil {
		site.Stages = []Stage{{DueTime: 2, TimeLimit: 4, Utility: 1, Calls: true}}
	}
	if site.Cores == 0 {
		site.Cores = 2
	}
	site.Memory, site.Idle = 1e6, 30
	site.RunFactor, site.Crowd, site.CrowdFor, site.AnswerSlack = 4, 4, 2, 0.05
	site.TellsWait, site.DrainGrace, site.CallLinger, site.CallFor = true, 1, 0.2, 5
	return site
}
