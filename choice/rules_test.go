package choice

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

func drawSite(t *rapid.T) Site {
	f := func(name string, lo, hi float64) float64 { return rapid.Float64Range(lo, hi).Draw(t, name) }
	n := func(name string, lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, name) }
	site := Site{Cores: n("cores", 1, 6), Servers: n("servers", 1, 20), Callers: n("callers", 0, 900),
		Idle: f("idle", 0.01, 30), ColdFrom: f("coldFrom", 0.15, 1), ColdFor: 5 * float64(n("cold", 0, 1)),
		DrainGrace: f("grace", 0, 2), AnswerSlack: 0.06, Crowd: f("crowd", 2, 8), CrowdFor: 2,
		Memory: f("memory", 300, 5000), RunFactor: f("factor", 1, 16), KeyMemory: f("key", 1, 60),
		Below: Below(n("below", 0, 2)), CallShare: min(1, float64(n("some", 0, 4))) * f("share", 0.1, 1.5),
		CallFor: 5, CallLinger: 0.2, Stopping: Stopping(n("stopping", 0, 2)), Free: Free(n("free", 0, 3)),
		ReuseFor: float64(n("reuse", 0, 1)), TellsWait: rapid.Bool().Draw(t, "tells"),
		AdviceMax: float64(n("advice", 0, 1)), OverShare: 0.1, UtilityByWork: rapid.Bool().Draw(t, "byWork")}
	for i := range n("tenants", 0, 2) {
		site.Tenants = append(site.Tenants, Tenant{Rate: float64(10 * (i + 1))})
	}
	for range n("stages", 1, 3) {
		limit := f("limit", 0.5, 6)
		site.Stages = append(site.Stages, Stage{Effect: Effect(n("effect", 0, 2)), TimeLimit: limit,
			DueTime: f("due", 0.2, limit), Utility: float64(n("utility", 1, 3)), LateUtility: f("late", 0, 1),
			Window: f("window", 0.5, 4), Calls: site.Below != Nothing, SkipUtility: 0.5 * float64(n("skip", 0, 1))})
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
		p.must(t, Event{Kind: Born})
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
				events = append(events, Event{Kind: Drain, Took: left})
			}
			for range rapid.IntRange(0, 6).Draw(t, "reads") {
				in := Task{Stage: rapid.IntRange(0, len(p.site.Stages)-1).Draw(t, "stage"),
					Memory: rapid.Float64Range(1, 30).Draw(t, "memory"), Age: rapid.Float64Range(0, 1).Draw(t, "age"),
					Hint: 0.1, Marked: rapid.Bool().Draw(t, "marked"), Write: rapid.Bool().Draw(t, "write")}
				if p.site.TellsWait {
					in.Wait = rapid.Float64Range(0.001, 8).Draw(t, "wait")
				}
				identity := fmt.Sprint(in.Stage, rapid.IntRange(0, 5).Draw(t, "identity"))
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
	effect   Effect
	stopping Stopping
	call     Outcome
}

func (p *plain) saw(t *plainTask, o Outcome) {
	if p.seen != nil {
		p.seen[played{t.stage.Effect, p.site.Stopping, o}]++
	}
}

// everyCase wants every effect with every way of stopping and every end of a call, some times each.
func everyCase(t *testing.T, seen map[played]int) {
	t.Helper()
	for _, effect := range []Effect{Idempotent, Deduplicated, AtMostOnce} {
		for _, stopping := range []Stopping{NoStop, Drop, Pause} {
			for _, call := range []Outcome{Finished, Errored, Bounced, TimedOut, Unreachable, Cut} {
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
		return p.end(task, Stopped)
	}
	task.where = "parked"
	p.saw(task, TimedOut)
	p.lingers = append(p.lingers, p.now+p.site.CallLinger)
	return Event{Kind: CallDone, ID: task.id, Outcome: TimedOut}
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
			events = append(events, Event{Kind: Ended, ID: id, Outcome: Stopped})
		case task.where == "core" && what < 4 && (task.answered || task.gone):
			events = append(events, p.end(task, Stopped))
		case task.where == "core" && what < 4:
			events = append(events, p.end(task, []Outcome{Finished, Finished, Finished, Errored}[what]))
		case task.where == "core" && what < 8 && task.stage.Calls && !task.answered && !task.gone:
			task.where, task.unproven = "parked", false
			events = append(events, Event{Kind: Parked, ID: id})
		case task.where == "calling" && (task.answered || task.gone || p.now >= task.limit):
			if task.gone {
				task.answered = true
			}
			events = append(events, p.lost(task))
		case task.where == "calling" && what < 3:
			task.where = "core"
			p.saw(task, Finished)
			events = append(events, Event{Kind: CallDone, ID: id, Outcome: Finished, Took: 0.05})
		case task.where == "calling" && what < 7:
			o := []Outcome{Bounced, Unreachable, Cut, Errored}[what-3]
			task.where, task.unproven = "parked", o == Cut || o == Errored
			p.saw(task, o)
			events = append(events, Event{Kind: CallDone, ID: id, Outcome: o, Took: 0.05})
		case task.where == "parked" && (task.answered || task.gone):
			events = append(events, p.end(task, Stopped))
		case task.where == "sharing" && what < 2:
			events = append(events, p.end(task, Finished))
		case what == 14 && !task.answered && !task.gone:
			task.gone = true
			if task.where == "held" || task.where == "sharing" {
				task.where = "over"
			}
			if task.where == "calling" {
				p.lingers = append(p.lingers, p.now+p.site.CallLinger)
			}
			events = append(events, Event{Kind: Gone, ID: id})
		}
	}
	return events
}
