package admission

import (
	"fmt"
	"testing"
)

// warm returns a server that has learned runs of 0.5 s of its first stage.
func warm(t *testing.T, site Settings) *plain {
	p := newPlain(within(site), 1, 100)
	p.must(t, Event{Kind: Started})
	for i := range 6 {
		p.run(t, fmt.Sprint("w", i), 0.5, Finished)
	}
	p.till(t, p.now+0.2)
	return p
}

func (p *plain) run(t *testing.T, id string, lasts float64, o Outcome) {
	t.Helper()
	p.must(t, p.read(id, id, Request{Memory: 1, RemainingBudget: 4}))
	p.till(t, p.now+lasts)
	p.must(t, p.end(p.tasks[id], o))
}

func (p *plain) reads(t *testing.T, prefix string, n int, in Request) {
	t.Helper()
	for i := range n {
		id := fmt.Sprint(prefix, i)
		p.must(t, p.read(id, id, in))
	}
}

// The floor is learned of runs, not of quick errors, and checked at reading and again at the start.
func TestShortOfTimeIsSentBackAtOnce(t *testing.T) {
	p := warm(t, Settings{MaxRetryAfter: 1})
	for i := range 20 {
		p.run(t, fmt.Sprint("e", i), 0.01, Failed)
	}
	p.reads(t, "short", 1, Request{Memory: 1, RemainingBudget: 0.3})
	if a, ok := p.rejected["short0"]; !ok || a.Duration != 0 {
		t.Fatalf("want a rejection that may come back at once, got %v", p.rejected)
	}
	p.reads(t, "long", 1, Request{Memory: 1, RemainingBudget: 1})
	if !p.tasks["long0"].ran {
		t.Fatal("a task with time for twice the typical run was not run")
	}
	p = warm(t, Settings{Cores: 1})
	p.reads(t, "a", 2, Request{Memory: 1, RemainingBudget: 2})
	p.till(t, p.now+1.8)
	p.must(t, p.end(p.tasks["a0"], Finished))
	if p.tasks["a1"].ran || !p.tasks["a1"].answered {
		t.Fatal("a held task that had become short of time was run or left without an answer")
	}
}

func TestFloorHoldsWhileWorkIsHalted(t *testing.T) {
	p := warm(t, Settings{Classes: []Class{{SoftDeadline: 30, Timeout: 60, Value: 1}}})
	for i := range 37 { // a low floor in the last 30 s, then 0.5 s again
		p.run(t, fmt.Sprint("q", i), []float64{0.05, 0.5}[min(i/20, 1)], Finished)
	}
	p.reads(t, "stuck", 2, Request{Memory: 1, RemainingBudget: 60})
	p.till(t, p.now+25)
	p.reads(t, "new", 1, Request{Memory: 1, RemainingBudget: 0.3})
	if _, ok := p.rejected["new0"]; !ok || p.a.stages[0].floor < 0.4 || !p.a.halted || p.a.share > 0.05 {
		t.Fatalf("floor %.2f, halted %v, share %.2f", p.a.stages[0].floor, p.a.halted, p.a.share)
	}
}

// A wait that passes the time limit is not believed.
func TestRunningTaskIsAnsweredWhenDue(t *testing.T) {
	for wait, due := range map[float64]float64{1: 1, 1000: 4} {
		p := warm(t, Settings{})
		p.reads(t, "a", 1, Request{Memory: 1, RemainingBudget: wait})
		p.till(t, p.now+due+0.01)
		if !p.tasks["a0"].answered {
			t.Fatalf("no answer at the due moment of a running task told to wait %.0f s", wait)
		}
	}
}

// In a large fleet the share is far under one, yet a call needs more than the slush to come back.
func TestCallCarriesTheRestLessASlush(t *testing.T) {
	for below, want := range map[Downstream][2]float64{ServerTier: {0.98, 0.995}, SharedDependency: {0.1, 0.5}} {
		p := warm(t, Settings{Downstream: below, CallLimit: 0.15})
		p.reads(t, "a", 1, Request{Memory: 1, RemainingBudget: 1})
		p.tasks["a0"].where = "parked"
		p.must(t, Event{Kind: AwaitingDownstream, RequestID: "a0"})
		if left := p.tasks["a0"].limit - p.now; left < want[0] || left > want[1] {
			t.Fatalf("call out for %.3f with 1 s left", left)
		}
	}
}

// A call into a tier that hangs is given up in time for another, which gets what is left; the first to be tried
// again is one that may be, and only where typical calls are known.
func TestAHungCallLeavesTimeForAnother(t *testing.T) {
	for effect, want := range map[Idempotency]float64{Idempotent: 0.4, AtMostOnce: 1.9} {
		p := warm(t, Settings{Downstream: ServerTier, Classes: []Class{{SoftDeadline: 2, Timeout: 4, Value: 1, Idempotency: effect}}})
		call := func(id string) float64 {
			p.tasks[id].where = "parked"
			p.must(t, Event{Kind: AwaitingDownstream, RequestID: id})
			return p.tasks[id].limit - p.now
		}
		for i := range 30 {
			id := fmt.Sprint("a", i)
			p.must(t, p.read(id, id, Request{Memory: 1, RemainingBudget: 2}))
			if left := call(id); i == 0 && left < 1.9 {
				t.Fatalf("the first call out for %.3f", left)
			}
			p.till(t, p.now+0.1)
			p.tasks[id].where = "core"
			p.must(t, Event{Kind: CallReturned, RequestID: id, Outcome: Finished, Duration: 0.1})
			p.must(t, p.end(p.tasks[id], Finished))
		}
		p.must(t, p.read("hung", "hung", Request{Memory: 1, RemainingBudget: 2}))
		if left := call("hung"); left < want-0.1 || left > want+0.1 {
			t.Fatalf("effect %d: out for %.3f with 2 s left", effect, left)
		}
	}
}

func TestCallsStayUnderTheShare(t *testing.T) {
	p := warm(t, Settings{Cores: 6, Downstream: SharedDependency, CallLimit: 4})
	for i := range 6 {
		id := fmt.Sprint("a", i)
		p.reads(t, id, 1, Request{Memory: 1, RemainingBudget: 3})
		p.tasks[id+"0"].where = "parked"
		p.must(t, Event{Kind: AwaitingDownstream, RequestID: id + "0"})
	}
	if n := p.count("calling"); n < 1 || n > 3 {
		t.Fatalf("%d of 6 calls let out at once, share 4", n)
	}
}

// A part of a budget binds: its tenant's tasks beyond it are rejected unstarted, and what never ran costs none of it.
func TestAPartOfABudgetBinds(t *testing.T) {
	p := warm(t, Settings{Cores: 4, ConcurrencyLimit: 8, Tenants: []Tenant{{Rate: 1e6}, {Rate: 1e6}}})
	p.must(t, Event{Kind: AllowanceChanged, Allowance: &Allowance{Tenant: 0, Limit: 4, BurstDuration: 0.5}})
	p.reads(t, "a", 3, Request{Memory: 1, RemainingBudget: 4})
	if n := len(p.rejected); n != 3 { // what its own guess had saved up is not of the budget
		t.Fatalf("%d of 3 rejected as the part begins empty", n)
	}
	p.till(t, p.now+1)
	p.reads(t, "b", 1, Request{Memory: 1, RemainingBudget: 0.01}) // too short to run: it takes nothing
	p.reads(t, "c", 4, Request{Memory: 1, RemainingBudget: 4})
	p.reads(t, "other", 4, Request{Tenant: 1, Memory: 1, RemainingBudget: 4})
	for id, want := range map[string]bool{"b0": true, "c0": false, "c1": false, "c2": true, "c3": true, "other3": false} {
		if _, is := p.rejected[id]; is != want {
			t.Errorf("%s rejected: %t, half a second of 4 may be saved up", id, is)
		}
	}
	p.till(t, p.now+1)
	p.must(t, Event{Kind: AllowanceChanged, Allowance: &Allowance{Tenant: 0, Limit: 0, BurstDuration: 0.5}})
	p.reads(t, "d", 1, Request{Memory: 1, RemainingBudget: 4})
	if _, is := p.rejected["d0"]; !is {
		t.Error("with none allowed one was taken in")
	}
}

// A part of a budget of calls binds whatever the share says, down to none.
func TestCallsStayUnderTheirPartOfABudget(t *testing.T) {
	for part, want := range map[float64]int{2.9: 2, 1: 1, 0: 0} {
		p := warm(t, Settings{Cores: 6, Downstream: ServerTier})
		p.must(t, Event{Kind: AllowanceChanged, Allowance: &Allowance{Tenant: -1, Limit: part}})
		for i := range 6 {
			id := fmt.Sprint("a", i)
			p.reads(t, id, 1, Request{Memory: 1, RemainingBudget: 3})
			p.tasks[id+"0"].where = "parked"
			p.must(t, Event{Kind: AwaitingDownstream, RequestID: id + "0"})
		}
		p.till(t, p.now+0.5)
		if n := p.count("calling"); n != want {
			t.Errorf("%d of 6 calls are out with a part of %g", n, part)
		}
		if out, waiting := p.a.DownstreamCalls(); out != want || out+waiting != 6 {
			t.Errorf("it tells of %d out and %d waiting", out, waiting)
		}
	}
}

// Lost calls to a tier must not starve a server whose cores are idle.
func TestLostCallsKeepTheBoundAtTheCores(t *testing.T) {
	p := warm(t, Settings{Downstream: ServerTier})
	p.reads(t, "a", 1, Request{Memory: 1, RemainingBudget: 4})
	for range 40 {
		p.tasks["a0"].where = "parked"
		p.must(t, Event{Kind: AwaitingDownstream, RequestID: "a0"})
		p.till(t, p.now+0.05)
		p.must(t, Event{Kind: CallReturned, RequestID: "a0", Outcome: Rejected})
	}
	if p.a.callCap < 2 {
		t.Fatalf("bound on calls at %.2f with 2 cores", p.a.callCap)
	}
}

// Tasks read too late lower the share of traffic wanted and are asked not to try elsewhere; where none is
// finished in time any more the server leaves the list, but not while some are, as under plain overload.
func TestUnreadBacklogKeepsTrafficAway(t *testing.T) {
	for _, some := range []bool{false, true} {
		p := warm(t, Settings{Backpressure: BackpressureWeight, MaxRetryAfter: 1})
		for i := range 60 {
			p.reads(t, fmt.Sprint("late", i, "-"), 1, Request{Memory: 1, Age: 1.9, RemainingBudget: 0.2})
			if p.till(t, p.now+0.05); some && i%4 == 3 {
				p.run(t, fmt.Sprint("in time", i), 0.25, Finished)
			}
		}
		if a := p.rejected["late59-0"]; p.a.share > 0.3 || !a.NoFailover || p.a.halted == some {
			t.Fatalf("share %.2f, last answer %+v, off the list: %v", p.a.share, a, p.a.halted)
		}
		if p.till(t, p.now+0.8); p.a.halted { // off the list nothing comes, so nothing waits unread
			t.Fatal("still off the list after 0.8 s without a task")
		}
	}
}

// One task in forty turned away lowers the share wanted by as much, not as if hardly any had been finished.
func TestFewUnmetOfManyLowerTheShareLittle(t *testing.T) {
	for reads, want := range map[float64][2]float64{40: {0.5, 0.7}, 2: {0.2, 0.3}, 0: {0.2, 0.3}} {
		a := warm(t, Settings{Backpressure: BackpressureWeight}).a
		for range 20 {
			a.reads, a.unmet = reads, 1
			a.tuneShare()
		}
		if a.share < want[0] || a.share > want[1] {
			t.Errorf("one of %g a tick: share %.2f", reads, a.share)
		}
	}
}

func TestOverloadIsTurnedAwayWithAdvice(t *testing.T) {
	p := warm(t, Settings{MaxRetryAfter: 1})
	p.reads(t, "a", 40, Request{Memory: 1, RemainingBudget: 4})
	if n := len(p.rejected); n < 20 || n > 36 {
		t.Fatalf("%d of 40 turned away at once on 2 cores", n)
	}
	for id, a := range p.rejected {
		if a.Duration <= 0 || a.Duration > 1 {
			t.Fatalf("%s: advice %.2f", id, a.Duration)
		}
	}
	// The least useful stage must not be the only one turned away: it counts for more the fewer are run.
	few, most := &p.a.stages[0], p.a.stages[0]
	most.runs = 1
	if p.a.density(&task{stage: few, value: 1}) < 1.3*p.a.density(&task{stage: &most, value: 1}) {
		t.Fatalf("%.2f of the stage are run, yet it counts as any", few.runs)
	}
}

func TestHeldTasksStartByDueTime(t *testing.T) {
	p := warm(t, Settings{Cores: 1, Classes: []Class{{SoftDeadline: 9, Timeout: 9, Value: 3},
		{SoftDeadline: 5, Timeout: 9, Value: 1}}})
	p.reads(t, "first", 1, Request{Memory: 1, RemainingBudget: 9})
	p.reads(t, "later", 1, Request{Memory: 1, RemainingBudget: 9})
	p.reads(t, "sooner", 1, Request{Class: 1, Memory: 1, RemainingBudget: 9})
	p.must(t, p.end(p.tasks["first0"], Finished))
	if !p.tasks["sooner0"].ran || p.tasks["later0"].ran {
		t.Fatal("held tasks did not start by due time")
	}
}

// Connections of callers that come back seldom must not fill the table; those of a few busy callers stay.
// Where each walk opens a connection it is asked against, but not where callers may pick by subject.
func TestSeldomCallersAreNotKept(t *testing.T) {
	for callers, bySubject := range map[int]bool{4: false, 900: false, 901: true} {
		p := warm(t, Settings{Clients: callers})
		p.reads(t, "a", 12, Request{Memory: 1, RemainingBudget: 4, HasSubject: bySubject})
		p.till(t, p.now+0.1)
		p.reads(t, "b", 1, Request{Memory: 1, RemainingBudget: 0.1})
		walks := !p.rejected["b0"].NoFailover
		if kept := p.idle == 0; kept != (callers == 4) || walks != (kept || bySubject) {
			t.Errorf("%d callers: connections closed after %.2f s, walks %v", callers, p.idle, walks)
		}
	}
}

// Waits that pass the floor, yet run out before the run ends, must not go on filling cores others need.
func TestRunsInVainRaiseWhatMustBeLeft(t *testing.T) {
	for cores, ran := range map[int]bool{1: false, 2: true} {
		p := warm(t, Settings{Cores: cores})
		for i := range 20 {
			id := fmt.Sprint("thin", i)
			p.must(t, p.read(id, id, Request{Memory: 1, RemainingBudget: 0.6}))
			if p.till(t, p.now+0.7); p.tasks[id].ran {
				p.must(t, p.end(p.tasks[id], Finished))
			}
		}
		if p.tasks["thin19"].ran != ran || !p.tasks["thin0"].ran {
			t.Fatalf("with %d cores the last thin wait ran: %v", cores, p.tasks["thin19"].ran)
		}
	}
}

func TestColdServerStartsFewer(t *testing.T) {
	for cold, most := range map[float64]int{0: 8, 60: 3} {
		p := newPlain(within(Settings{Cores: 2, SlowStartSpeed: 0.2, SlowStartDuration: cold}), 1, 0)
		p.must(t, Event{Kind: Started})
		p.reads(t, "a", 20, Request{Memory: 1, RemainingBudget: 4})
		for range 20 {
			p.now += 0.1
			p.must(t, Event{Kind: TimerFired, Gauges: Gauges{Runnable: 0}})
		}
		if n := p.count("core"); n > most || n < 2 {
			t.Errorf("cold for %.0f: %d on 2 cores", cold, n)
		}
	}
}

func TestDrainRejectsLateArrivalsAndAnswersAll(t *testing.T) {
	p := warm(t, Settings{})
	p.reads(t, "a", 3, Request{Memory: 1, RemainingBudget: 4})
	p.drainAt, p.killAt = p.now, p.now+1.5
	p.must(t, Event{Kind: DrainStarted, Duration: 1.5})
	p.till(t, p.now+1.2)
	p.reads(t, "late", 1, Request{Memory: 1, RemainingBudget: 4})
	if !p.tasks["late0"].answered || p.tasks["late0"].ran {
		t.Fatal("an arrival after the grace was not rejected at once")
	}
	p.till(t, p.killAt)
	p.must(t)
}

// parks has a running task wait for its call.
func (p *plain) parks(t *testing.T, id string) {
	t.Helper()
	p.tasks[id].where = "parked"
	p.must(t, Event{Kind: AwaitingDownstream, RequestID: id})
}

// Where calls are scarce, what can do without goes on without, rather than wait and keep others from the cores; the calls go where they add most.
func TestScarceCallsGoWhereTheyAddMost(t *testing.T) {
	p := warm(t, Settings{Cores: 6, Downstream: SharedDependency, CallLimit: 1, Classes: []Class{
		{SoftDeadline: 2, Timeout: 4, Value: 1, CallsDownstream: true}, {SoftDeadline: 2, Timeout: 4, Value: 1, CallsDownstream: true, DegradedValue: 0.5}}})
	for _, s := range []*Controller{p.a, p.b} {
		for range 8 {
			s.call.log.Current(p.now).Add(0.5)
		}
	}
	p.till(t, p.now+0.2)
	p.reads(t, "plain", 2, Request{Memory: 1, RemainingBudget: 4})
	p.reads(t, "poorer", 3, Request{Class: 1, Memory: 1, RemainingBudget: 4})
	p.parks(t, "plain0") // has the one call that may go out
	p.parks(t, "plain1")
	for i := range 3 {
		p.parks(t, fmt.Sprint("poorer", i))
	}
	if p.count("calling") != 1 || p.tasks["plain1"].where != "parked" {
		t.Fatalf("%d calls are out, the other is %s", p.count("calling"), p.tasks["plain1"].where)
	}
	for i := range 3 {
		if where := p.tasks[fmt.Sprint("poorer", i)].where; where != "core" {
			t.Errorf("poorer%d is %s: it can do without", i, where)
		}
	}

	// Slow calls go to the one that earns nothing without, though the other is due first.
	p = warm(t, Settings{Cores: 6, Downstream: SharedDependency, CallLimit: 1, Classes: []Class{
		{SoftDeadline: 30, Timeout: 40, Value: 1, CallsDownstream: true}, {SoftDeadline: 20, Timeout: 40, Value: 1, CallsDownstream: true, DegradedValue: 0.5}}})
	for _, s := range []*Controller{p.a, p.b} {
		s.call.lowest.Observe(p.now, 0.1)
		for range 8 {
			s.call.log.Current(p.now).Add(0.5)
		}
	}
	p.till(t, p.now+0.2)
	p.reads(t, "out", 1, Request{Memory: 1, RemainingBudget: 40})
	p.reads(t, "first", 1, Request{Class: 1, Memory: 1, RemainingBudget: 40})
	p.reads(t, "more", 1, Request{Memory: 1, RemainingBudget: 40})
	p.parks(t, "out0")
	p.parks(t, "first0")
	p.parks(t, "more0")
	p.tasks["out0"].where = "core"
	p.must(t, Event{Kind: CallReturned, RequestID: "out0", Outcome: Finished, Duration: 0.5})
	p.till(t, p.now+3)
	if p.tasks["more0"].where != "calling" || p.tasks["first0"].where == "calling" {
		t.Errorf("the one that needs it is %s, the other %s", p.tasks["more0"].where, p.tasks["first0"].where)
	}
}

// What is over its tenant's share comes last, leaves room for another, and is asked not to try elsewhere, where it is over just as well. What was not run
// takes nothing of a share.
func TestWhatIsOverAShareLeavesRoom(t *testing.T) {
	site := Settings{Cores: 2, Backpressure: BackpressureWeight, MaxRetryAfter: 1, OverQuotaValue: 0.05, Servers: 10, Tenants: []Tenant{{Rate: 0.01}, {Rate: 0.01}}}
	p := warm(t, site) // its six runs were all that the first tenant may have at once
	p.reads(t, "over", 8, Request{Memory: 1, RemainingBudget: 4})
	if n := p.count("core"); n != 1 {
		t.Fatalf("%d over their share run on 2 cores", n)
	}
	p.reads(t, "short", 10, Request{Tenant: 1, Memory: 1, RemainingBudget: 0.01})
	p.reads(t, "own", 1, Request{Tenant: 1, Memory: 1, RemainingBudget: 4})
	if !p.tasks["own0"].ran {
		t.Fatal("one within its share found no room, though ten before it did not run")
	}
	p.must(t, p.end(p.tasks["over0"], Finished))
	p.reads(t, "next", 2, Request{Tenant: 1, Memory: 1, RemainingBudget: 4})
	if !p.tasks["next0"].ran || p.tasks["next1"].ran {
		t.Error("one over its share ran before one that came later and is within its own")
	}
	p.must(t, p.end(p.tasks["own0"], Finished), p.end(p.tasks["next0"], Finished))
	p.must(t, p.end(p.tasks["next1"], Finished))
	share, overs := p.a.share, 0
	for range 8 { // one after the other runs, until the rest can't any more
		p.till(t, p.now+0.5)
		for _, id := range p.ids {
			if task := p.tasks[id]; task.where == "core" && !task.answered {
				p.must(t, p.end(task, Finished))
			}
		}
	}
	for id, a := range p.rejected {
		if id[:4] == "over" {
			if overs++; !a.NoFailover {
				t.Errorf("%s may try elsewhere", id)
			}
		}
	}
	if overs == 0 || p.a.share < share {
		t.Errorf("%d over their share rejected, share wanted %.2f, then %.2f", overs, share, p.a.share)
	}
}

// While tasks wait unread connections rest for longer, so that a full table keeps some tries out; once reading gets on they are closed at once again.
func TestAFullTableShieldsWhileTasksWaitUnread(t *testing.T) {
	p := warm(t, Settings{Cores: 8, Clients: 600, Classes: []Class{{SoftDeadline: 1.2, Timeout: 4, Value: 1}}})
	n := 0
	come := func(age float64, seconds float64) {
		for end := p.now + seconds; p.now < end; n++ {
			id := fmt.Sprint("a", n)
			p.must(t, p.read(id, id, Request{Memory: 1, Age: age, RemainingBudget: 3}))
			p.till(t, p.now+0.1)
			p.must(t, p.end(p.tasks[id], Finished))
		}
	}
	if come(0, 10); p.idle > 0.05 {
		t.Fatalf("seldom callers are kept for %.2f s", p.idle)
	}
	if come(0.3, 6); p.idle < 1 { // a quarter of the due time, unread
		t.Errorf("with tasks unread connections rest for %.2f s", p.idle)
	}
	if come(0, 25); p.idle > 0.06 {
		t.Errorf("reading got on, and connections rest for %.2f s", p.idle)
	}
}
