package admission

import (
	"flag"
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	flag.Set("rapid.seed", "20261201") // the same verdict every time
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "1000")
}

func drawSite(t *rapid.T) Settings {
	f := func(name string, lo, hi float64) float64 { return rapid.Float64Range(lo, hi).Draw(t, name) }
	n := func(name string, lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, name) }
	site := Settings{Cores: n("cores", 1, 6), Servers: n("servers", 1, 20), Clients: n("callers", 0, 900),
		IdleTimeout: f("idle", 0.01, 30), SlowStartSpeed: f("coldFrom", 0.15, 1), SlowStartDuration: 5 * float64(n("cold", 0, 1)),
		DrainGracePeriod: f("grace", 0, 2), DeadlineTolerance: 0.06, ConcurrencyLimit: f("crowd", 2, 8), ConcurrencyWindow: 2,
		MemoryLimit: f("memory", 300, 5000), RunningMemoryFactor: f("factor", 1, 16), KeyMemory: f("key", 1, 60),
		Downstream: Downstream(n("below", 0, 2)), CallLimit: min(1, float64(n("some", 0, 4))) * f("share", 0.1, 1.5),
		CallWindow: 5, AbandonedCallLifetime: 0.2, Preemption: Preemption(n("stopping", 0, 2)), Backpressure: Backpressure(n("free", 0, 3)),
		ResultCacheTTL: float64(n("reuse", 0, 1)), DeadlinePropagation: rapid.Bool().Draw(t, "tells"),
		MaxRetryAfter: float64(n("advice", 0, 1)), OverQuotaValue: 0.1, ValueByWork: rapid.Bool().Draw(t, "byWork")}
	for i := range n("tenants", 0, 2) {
		site.Tenants = append(site.Tenants, Tenant{Rate: float64(10 * (i + 1))})
	}
	for range n("stages", 1, 3) {
		limit := f("limit", 0.5, 6)
		site.Classes = append(site.Classes, Class{Idempotency: Idempotency(n("effect", 0, 2)), Timeout: limit,
			SoftDeadline: f("due", 0.2, limit), Value: float64(n("utility", 1, 3)), LateValue: f("late", 0, 1),
			DeduplicationWindow: f("window", 0.5, 4), CallsDownstream: site.Downstream != NoDownstream, DegradedValue: 0.5 * float64(n("skip", 0, 1))})
	}
	return site
}

// TestRules plays whatever the wire allows against the model: no task lost, no effect twice, clean
// drains, nothing over its limits, and the same actions from the same events.
func TestRules(t *testing.T) {
	seen := map[played]int{}
	defer func() { everyCase(t, seen) }()
	rapid.Check(t, func(t *rapid.T) {
		p := newPlain(drawSite(t), rapid.Int64().Draw(t, "seed"), rapid.Float64Range(0, 1e5).Draw(t, "clock"))
		p.seen = seen
		p.must(t, Event{Kind: Started})
		steps := rapid.IntRange(10, 60).Draw(t, "steps")
		drainStep := rapid.IntRange(0, 2*steps).Draw(t, "drain")
		for i := 0; i < steps && p.now < p.killAt; i++ {
			p.now = min(p.next(), p.now+rapid.Float64Range(0.002, 0.2).Draw(t, "dt"))
			var events []Event
			if p.next() <= p.now {
				events = append(events, p.ring())
			}
			events = append(events, p.draw(t)...)
			if i == drainStep {
				left := rapid.Float64Range(0.1, 3).Draw(t, "left")
				p.drainAt, p.killAt = p.now, p.now+left
				events = append(events, Event{Kind: DrainStarted, Duration: left})
			}
			for range rapid.IntRange(0, 6).Draw(t, "reads") {
				in := Request{Class: rapid.IntRange(0, len(p.site.Classes)-1).Draw(t, "stage"),
					Memory: rapid.Float64Range(1, 30).Draw(t, "memory"), Age: rapid.Float64Range(0, 1).Draw(t, "age"),
					ExpectedWork: 0.1, HasSubject: rapid.Bool().Draw(t, "marked"), Write: rapid.Bool().Draw(t, "write")}
				if p.site.DeadlinePropagation {
					in.RemainingBudget = rapid.Float64Range(0.001, 8).Draw(t, "wait")
				}
				identity := fmt.Sprint(in.Class, rapid.IntRange(0, 5).Draw(t, "identity"))
				events = append(events, p.read(fmt.Sprint("t", len(p.ids)), identity, in))
			}
			p.must(t, events...)
		}
		// Nothing ends any more: the timers alone must answer all.
		for last := p.now + 20; p.next() <= last && p.now < p.killAt; {
			p.now = p.next()
			events := []Event{p.ring()}
			for _, id := range p.ids { // calls keep their time-outs
				if task := p.tasks[id]; task.where == "calling" && (task.answered || task.limit <= p.now) {
					events = append(events, p.lost(task))
				}
			}
			p.must(t, events...)
		}
		for _, id := range p.ids {
			if task := p.tasks[id]; !task.answered && !task.gone && !math.IsInf(p.next(), 1) {
				t.Fatalf("task %s never got its answer", id)
			}
		}
	})
}

// played is a case that the model has met: how a call ended, of which effect, where running work can be stopped in which way.
type played struct {
	effect   Idempotency
	stopping Preemption
	call     Outcome
}

func (p *plain) saw(t *plainTask, o Outcome) {
	if p.seen != nil {
		p.seen[played{t.stage.Idempotency, p.site.Preemption, o}]++
	}
}

// everyCase wants every effect with every way of stopping and every end of a call, some times each.
func everyCase(t *testing.T, seen map[played]int) {
	t.Helper()
	for _, effect := range []Idempotency{Idempotent, Deduplicated, AtMostOnce} {
		for _, stopping := range []Preemption{NoPreemption, PreemptByDrop, PreemptByPause} {
			for _, call := range []Outcome{Finished, Failed, Rejected, TimedOut, Unreachable, Disconnected} {
				if n := seen[played{effect, stopping, call}]; n < 5 {
					t.Errorf("effect %d, stopping %d, a call that ends as %d: played %d times", effect, stopping, call, n)
				}
			}
		}
	}
}

// lost is what becomes of a call that runs out of time or whose task has its answer.
func (p *plain) lost(task *plainTask) Event {
	if task.answered {
		return p.end(task, Cancelled)
	}
	task.where = "parked"
	p.saw(task, TimedOut)
	p.lingers = append(p.lingers, p.now+p.site.AbandonedCallLifetime)
	return Event{Kind: CallReturned, RequestID: task.id, Outcome: TimedOut}
}

// draw lets something happen, or nothing, to each task that is not over.
func (p *plain) draw(t *rapid.T) (events []Event) {
	for _, id := range p.ids {
		task := p.tasks[id]
		what := 99
		if task.where != "over" {
			what = rapid.IntRange(0, 14).Draw(t, "what")
		}
		switch {
		case task.where == "core" && task.stopPending: // the stop is confirmed in the batch after
			task.stopPending = false
			task.where = "over"
			events = append(events, Event{Kind: RunEnded, RequestID: id, Outcome: Cancelled})
		case task.where == "core" && what < 4 && (task.answered || task.gone):
			events = append(events, p.end(task, Cancelled))
		case task.where == "core" && what < 4:
			events = append(events, p.end(task, []Outcome{Finished, Finished, Finished, Failed}[what]))
		case task.where == "core" && what < 8 && task.stage.CallsDownstream && !task.answered && !task.gone:
			task.where, task.unproven = "parked", false
			events = append(events, Event{Kind: AwaitingDownstream, RequestID: id})
		case task.where == "calling" && (task.answered || task.gone || p.now >= task.limit):
			if task.gone {
				task.answered = true
			}
			events = append(events, p.lost(task))
		case task.where == "calling" && what < 3:
			task.where = "core"
			p.saw(task, Finished)
			events = append(events, Event{Kind: CallReturned, RequestID: id, Outcome: Finished, Duration: 0.05})
		case task.where == "calling" && what < 7:
			o := []Outcome{Rejected, Unreachable, Disconnected, Failed}[what-3]
			task.where, task.unproven = "parked", o == Disconnected || o == Failed
			p.saw(task, o)
			events = append(events, Event{Kind: CallReturned, RequestID: id, Outcome: o, Duration: 0.05})
		case task.where == "parked" && (task.answered || task.gone):
			events = append(events, p.end(task, Cancelled))
		case task.where == "sharing" && what < 2:
			events = append(events, p.end(task, Finished))
		case what == 14 && !task.answered && !task.gone:
			task.gone = true
			if task.where == "held" || task.where == "sharing" {
				task.where = "over"
			}
			if task.where == "calling" {
				p.lingers = append(p.lingers, p.now+p.site.AbandonedCallLifetime)
			}
			events = append(events, Event{Kind: ClientGone, RequestID: id})
		}
	}
	return events
}
