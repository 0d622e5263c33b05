package admission

// How it is called: New(seed, site) makes one server's instance; Decide(now, events) takes the time and
// the server's events of one batch, in order, and returns what to do, in order. The slice is good until
// the next call. The interface lives in types.go, time buckets in internal/ring; all else is here.
//
// The mechanism is that of docs/design.md: a caller's remaining wait becomes a fixed due moment; a task
// with less time left than its stage's learned typical run is rejected unstarted; each call below gets
// the time that is left less a slush. The rest is what the rules need, and the exceptions listed there.

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"math"
	"slices"

	"swiftcourse/internal/timewindow"
)

// state is one state, or several in a row of the table and where tasks are counted.
type state uint16

const (
	held    state = 1 << iota
	sharing       // waits for the answer of the task it repeats
	running
	atCall   // parked: its call is not out
	calling  // its call is out
	answered // has its answer, yet still runs or has still to leave its call
	over
	onCore = running | answered
)

type input uint16

const (
	room     input = 1 << iota // judged: it may have a core
	repeats                    // judged: another's answer is its own
	short                      // judged: less time left than a typical run
	noRoom                     // judged: the load, the memory or a drain forbids it
	due                        // judged: its due moment is here, or it can earn nothing any more
	letOut                     // judged: its call may go
	leaveOut                   // judged: a poorer answer pays better than the call
	gone                       // the rest happened
	parked
	back
	callLost
	ended
	stopped
)

// life is the whole life of a task: what no row names changes nothing.
var life = []struct {
	in   state
	on   input
	next state
	do   func(*Controller, *task)
}{
	{held, room, running, (*Controller).start},
	{held, repeats, sharing, act(ReuseResult)},
	{held, short | due, over, (*Controller).sendBack},
	{held, noRoom, over, (*Controller).sendAway},
	{held | sharing, gone, over, (*Controller).forget},
	{sharing, due, over, (*Controller).abandon},
	{sharing | running | answered, ended, over, nil},
	{sharing | running, stopped, over, (*Controller).abandon},
	{running, parked, atCall, nil},
	{running, due, answered, both((*Controller).abandon, (*Controller).takeOff)},
	{running, gone, answered, (*Controller).takeOff},
	{atCall, letOut, calling, (*Controller).invoke},
	{atCall, leaveOut, running, act(Degrade)},
	{atCall, due, answered, (*Controller).abandon},
	{atCall, gone, answered, nil},
	{calling, back, running, nil},
	{calling, callLost, atCall, nil},
	{calling, due, answered, both((*Controller).abandon, (*Controller).linger)},
	{calling, gone, answered, (*Controller).linger},
	{answered, stopped, over, nil},
}

// step feeds one input to a task's life, books what follows from states and tells whether a row fitted.
func (s *Controller) step(t *task, on input) bool {
	for _, r := range life {
		if t == nil || r.in&t.state == 0 || r.on&on == 0 {
			continue
		}
		s.bookCalls()
		if t.of != nil && t.state == held { // what was not run, or is another's answer, took nothing
			if r.next != running {
				t.of.Refund()
			}
			t.of = nil
		}
		if t.state&onCore != 0 {
			t.own += s.now - t.since
		}
		s.memory -= s.weight(t)
		t.state, t.since = r.next, s.now
		if t.state == over {
			delete(s.byID, t.id)
		} else {
			s.memory += s.weight(t)
		}
		if r.do != nil {
			r.do(s, t)
		}
		return true
	}
	return false
}

// weight is the memory that a task takes in its state.
func (s *Controller) weight(t *task) float64 {
	if t.state&(held|sharing) != 0 {
		return t.memory
	}
	return t.memory * s.runFactor
}

// n counts the tasks in any of the states.
func (s *Controller) n(in state) (n float64) {
	for _, t := range s.tasks {
		if t.state&in != 0 {
			n++
		}
	}
	return n
}

type task struct {
	id                   string
	state                state
	stage                *stage
	arrived, dueAt, goal float64 // goal is the due time, dueAt the due moment, when the caller leaves
	end                  float64 // the last moment at which finishing it pays
	since, own           float64 // in this state; on or near a core so far, without calls and pauses
	memory, value        float64 // value is the utility, less where its tenant is over its share
	calls, tries         int     // calls that came back well; tries of the one at hand that did not
	notTill              float64 // no call before this
	ran, repeated        bool
	over                 int     // 1 where its tenant is over its share
	of                   *tenant // whose part of a budget it took one of, nil for none
	proven               bool    // its last call is known not to have run
}

// mayCall tells whether a call of it may go out: one that may have had its effect is not repeated.
func (t *task) mayCall() bool { return t.tries == 0 || t.proven || t.stage.Idempotency == Idempotent }

// tenant is what one of those who share the service may have done here; bound tells that it is a part of a
// budget that holds for all servers together, so that what is over it may not run at all.
type tenant struct {
	timewindow.TokenBucket
	bound bool
}

// learned is what the last seconds taught of runs or calls, and the lowest of that in the last 30 s.
type learned struct {
	log    *timewindow.Buckets[timewindow.Histogram]
	lowest timewindow.Minimum
	all    timewindow.Histogram
	mean   float64
}

func newLearned(now, lasts float64) learned {
	return learned{log: timewindow.New[timewindow.Histogram](8, lasts/8, now), lowest: timewindow.NewMinimum(6, 5, now)}
}

func (l *learned) refresh(now float64) {
	l.all = timewindow.Histogram{}
	l.log.ForEach(now, l.all.Merge)
	l.mean = l.all.Mean(l.mean)
}

type stage struct {
	Class
	learned
	floor float64 // typical own run
	vain  float64 // part of the runs whose caller had left before their end
	need  float64 // what must be left of a task's wait
	calls float64 // mean calls of a run
	runs  float64 // part of its tasks that were run rather than turned away, of the last 50 or so
}

// Controller is one server's instance.
type Controller struct {
	seed, draws                                int64
	cores, crowd, coldFrom, coldFor            float64 // coldFor is 0 where it was born warm
	memoryLimit, runFactor, keyMemory          float64
	drainGrace, overShare, reuseFor, adviceMax float64
	leastCalls, maxCalls, maxCallTime          float64
	callsBound                                 float64 // calls out whatever else is so: a part of a budget
	callLinger, creditFull, patience           float64 // patience is a sixth of the shortest due time
	callers, maxIdle, idle, rest               float64 // idle: connections silent for so long are closed
	tellsWait, byWork, tier                    bool
	stopping                                   Preemption
	free                                       Backpressure

	now, memory                     float64
	acts                            []Action
	stages                          []stage
	tenants                         []tenant
	tasks                           []*task // in order of reading
	byID                            map[string]*task
	keys, lingering                 timewindow.ExpiringNames // entries kept; given-up calls still held below
	born, drainAt, killAt           float64
	tickAt, armed                   float64 // armed is when the earliest timer goes off
	lastEnd, lastTimely, typical    float64 // when work last got on, and paid; the longest mean run
	runCap, armTill, armGain        float64
	arms                            [2]float64 // what each arm of the bandit earned
	arm                             int
	armBusy, halted, bySubject      bool // bySubject: tasks name subjects, by which callers may pick
	gauges                          Gauges
	callCap, callCredit, callBooked float64 // call-seconds under the cap that were not used
	call                            learned // how calls below fare
	share, shareTold                float64 // of the usual traffic wanted
	lag                             float64 // mean time that tasks lately waited unread
	lastRead, gap                   float64 // mean time between the last 50 or so reads
	reads, unmet                    float64 // tasks since the last tick: read; read or run for nothing
}

// New makes an instance for a server that starts now.
func New(seed int64, site Settings) *Controller {
	s := &Controller{
		seed: seed, byID: map[string]*task{}, cores: max(1, float64(site.Cores)), crowd: max(1, site.ConcurrencyLimit),
		coldFrom: site.SlowStartSpeed, coldFor: site.SlowStartDuration, memoryLimit: site.MemoryLimit, adviceMax: site.MaxRetryAfter,
		runFactor: max(1, site.RunningMemoryFactor), keyMemory: site.KeyMemory, drainGrace: site.DrainGracePeriod,
		overShare: site.OverQuotaValue, callLinger: site.AbandonedCallLifetime, stopping: site.Preemption, free: site.Backpressure,
		reuseFor: site.ResultCacheTTL, tellsWait: site.DeadlinePropagation, byWork: site.ValueByWork, typical: 0.25,
		maxCallTime: math.Inf(1), tier: site.Downstream == ServerTier, patience: math.Inf(1),
		gauges:     Gauges{Runnable: -1},
		callsBound: math.Inf(1),
		callers:    float64(site.Clients), maxIdle: site.IdleTimeout, idle: site.IdleTimeout, rest: 1,
		share: 1, shareTold: 1, armed: math.Inf(1), drainAt: math.Inf(1), killAt: math.Inf(1),
	}
	s.creditFull = 16 * s.cores / max(1, float64(site.Clients)) // no limit in use, spread over the callers
	// A tier has its own guard: only a flood is kept from it. A shared dependency gets sluggish long
	// before it falls: a quarter of the share is let out however slow it is, and never all of it, as
	// calls of the dead and those whose end is not known yet count too.
	s.leastCalls, s.maxCalls, s.callCap = s.cores, 16*s.cores, 2*s.cores
	if site.Downstream == SharedDependency {
		s.leastCalls, s.maxCalls, s.callCap = site.CallLimit/4, 0.8*site.CallLimit, site.CallLimit/2
		// Where one call is over the share it must be short, to keep the window's mean.
		s.maxCallTime = site.CallLimit * site.CallWindow / 4
	}
	for _, st := range site.Classes {
		s.stages = append(s.stages, stage{Class: st, runs: 1})
		s.patience = min(s.patience, st.SoftDeadline/6)
	}
	for _, tn := range site.Tenants {
		// A server sees about its part of a tenant's traffic; half as much again covers uneven callers.
		rate := 1.5 * tn.Rate / max(1, float64(site.Servers))
		// Two seconds of it may come at once, and six tasks however few they are: one whose tasks come by
		// chance and that keeps to its share is over such a one for 1% of them.
		s.tenants = append(s.tenants, tenant{TokenBucket: timewindow.NewTokenBucket(rate, max(6, 2*rate))})
	}
	return s
}

// begin sets what needs the time of the first batch.
func (s *Controller) begin() {
	s.born, s.lastEnd, s.lastTimely, s.callBooked, s.lastRead = s.now, s.now, s.now, s.now, s.now
	for i := range s.stages {
		// 8 s: some tens of runs on a busy server, yet a slow-down of a few seconds still shows.
		s.stages[i].learned = newLearned(s.now, 8)
	}
	s.call, s.runCap = newLearned(s.now, 5), s.cores
	s.act(Action{Kind: SetHealth, Healthy: true})
}

// Decide takes one batch of the server's events and returns what to do.
func (s *Controller) Decide(now float64, events []Event) []Action {
	s.now, s.acts = now, s.acts[:0]
	if s.call.log == nil {
		s.begin()
	}
	for i := range events {
		s.see(&events[i])
	}
	s.bookCalls()
	s.keys.Expire(now)
	s.lingering.Expire(now)
	if now >= s.tickAt-1e-4 {
		s.tick()
	}
	s.judgeDue()
	s.judgeCalls()
	s.judgeRoom()
	s.judgeHold()
	s.tasks = slices.DeleteFunc(s.tasks, func(t *task) bool { return t.state == over })
	s.setTimer()
	return s.acts
}

func (s *Controller) act(a Action) { s.acts = append(s.acts, a) }

// act is the effect that is one plain action.
func act(kind ActionKind) func(*Controller, *task) {
	return func(s *Controller, t *task) { s.act(Action{Kind: kind, RequestID: t.id}) }
}

func both(f, g func(*Controller, *task)) func(*Controller, *task) {
	return func(s *Controller, t *task) { f(s, t); g(s, t) }
}

func (s *Controller) see(e *Event) {
	t := s.byID[e.RequestID]
	switch {
	case e.Kind == Arrived:
		s.read(e)
	case e.Kind == DrainStarted:
		s.drainAt, s.killAt = s.now, s.now+e.Duration
		s.act(Action{Kind: SetHealth, Healthy: false})
		for _, t := range s.tasks {
			t.dueAt = min(t.dueAt, s.lastAnswer())
		}
	case e.Kind == AllowanceChanged:
		s.allow(e.Allowance)
	case e.Kind == TimerFired:
		s.gauges = e.Gauges
		if s.now >= s.armed-1e-4 {
			s.armed = math.Inf(1)
		}
	case t == nil: // it is over
	case e.Kind == RunEnded:
		s.runEnded(t, e)
	case e.Kind == AwaitingDownstream:
		s.lastEnd, t.tries = s.now, 0 // another call than the last
		s.step(t, parked)
	case e.Kind == CallReturned && t.state == calling:
		s.callDone(t, e)
	case e.Kind == ClientGone:
		s.step(t, gone)
	}
}

func (s *Controller) draining() bool { return !math.IsInf(s.killAt, 1) }

// lastAnswer is when a draining server must have answered all, several ticks of any site before the kill.
func (s *Controller) lastAnswer() float64 { return s.killAt - 0.03 }

// read takes a task in. Its due moment never changes but for a drain.
func (s *Controller) read(e *Event) {
	in := &e.Request
	st := &s.stages[min(max(in.Class, 0), len(s.stages)-1)]
	t := &task{id: e.RequestID, stage: st, arrived: s.now - in.Age, since: s.now, memory: in.Memory,
		value: st.Value, state: held}
	t.dueAt = t.arrived + st.Timeout
	if in.RemainingBudget > 0 || s.tellsWait { // an honest wait never passes the time limit of all tries together
		t.dueAt = min(s.now+in.RemainingBudget, t.dueAt)
	}
	t.dueAt = min(max(t.dueAt, s.now), s.lastAnswer())
	t.goal = t.arrived + min(st.SoftDeadline+st.SoftDeadlineStretch*in.ExpectedWork, st.Timeout)
	t.end = t.dueAt
	if st.LateValue < 0.5 { // exception: answers after the due time block what earns more
		t.end = min(t.goal, t.dueAt)
	}
	if s.byWork && in.ExpectedWork > 0 {
		t.value *= in.ExpectedWork
	}
	over := false
	if in.Tenant >= 0 && in.Tenant < len(s.tenants) {
		of := &s.tenants[in.Tenant]
		switch had := of.Take(s.now); {
		case had:
			t.of = of
		case of.bound:
			over = true
		default:
			t.over, t.value = 1, t.value*s.overShare
		}
	}
	s.reads++
	s.lag += 0.05 * (in.Age - s.lag)
	s.gap += 0.02 * (s.now - s.lastRead - s.gap)
	s.lastRead = s.now
	s.bySubject = s.bySubject || in.HasSubject
	s.byID[t.id] = t
	s.tasks = append(s.tasks, t)
	s.memory += t.memory
	shares := s.reuseFor > 0 && st.Idempotency == Idempotent && !in.Write
	t.repeated = in.DuplicateOf != "" && st.Idempotency == Deduplicated
	switch {
	case t.arrived > s.drainAt+s.drainGrace, s.used() > 0.95*s.memoryLimit:
		s.step(t, noRoom)
	case in.DuplicateOf != "" && (t.repeated || shares):
		s.step(t, repeats)
	case over:
		s.step(t, noRoom)
	case st.Idempotency == Deduplicated && s.used()+s.keyMemory > 0.9*s.memoryLimit:
		s.step(t, noRoom) // without its entry a repeat would bear no mark and run too: no entry, no run
	case st.Idempotency == Deduplicated:
		s.keep(t, st.DeduplicationWindow)
	case shares && in.HasSubject && s.used()+s.keyMemory < 0.5*s.memoryLimit:
		s.keep(t, t.dueAt-s.now+s.reuseFor) // only a saving: it takes no memory that tasks need
	}
}

func (s *Controller) keep(t *task, lasts float64) {
	s.act(Action{Kind: StoreKey, RequestID: t.id, Duration: lasts})
	s.keys.Add(t.id, s.now+lasts+0.01)
}

func (s *Controller) used() float64 { return s.memory + float64(len(s.keys))*s.keyMemory }

func (s *Controller) runEnded(t *task, e *Event) {
	s.lastEnd = s.now
	was, on := t.state, ended
	t.stage.vain *= 0.95 // the last 20 runs tell
	if was == answered && s.now >= t.dueAt {
		t.stage.vain += 0.05
	}
	if e.Outcome == Cancelled || e.Outcome == NeverStarted {
		on = stopped
	}
	s.step(t, on)
	// A quick error or a run cut short would teach too low a floor; one cut after the floor is a bound.
	if t.ran && t.state == over && (e.Outcome == Finished || t.own > t.stage.floor) {
		t.stage.log.Current(s.now).Add(t.own)
		t.stage.calls += 0.05 * (float64(t.calls) - t.stage.calls) // the last 20 tell
	}
	if e.Outcome == Finished && was != answered && s.now <= t.goal {
		s.lastTimely = s.now
		s.armGain += t.value
	}
}

// refresh works out a stage's floor and means anew.
func (s *Controller) refresh(st *stage) {
	st.learned.refresh(s.now)
	if st.all.Count >= 4 { // fewer say little of a median
		st.floor = st.all.Median()
		st.lowest.Observe(s.now, st.floor)
	} else if !s.halted {
		// Few ends: back towards the lowest of 30 s, in about 2 s. Not while work is halted: there
		// are no ends then because none can end, and a lower floor would let in what cannot either.
		st.floor += 0.05 * min(st.lowest.Value(s.now)-st.floor, 0)
	}
	// Exception for thin waits, which pass the floor and yet run out at calls or in long runs: as far as one
	// run in three ends in vain, the time at calls and a second run must be left too, unless cores are free.
	st.need = min(st.floor+min(1, 3*st.vain)*(st.mean+st.calls*s.call.mean), st.Timeout/2)
}

// allow takes the server's part of a budget over. Exception: what all servers share is not guessed then.
func (s *Controller) allow(a *Allowance) {
	switch {
	case a.Tenant < 0:
		s.callsBound = max(a.Limit, 0.01) // none go out below one, and the cap, which is divided by, is not 0
	case a.Tenant < len(s.tenants):
		of := &s.tenants[a.Tenant]
		if !of.bound { // what its own guess saved up is not of the budget
			of.TokenBucket = timewindow.NewTokenBucket(0, 0)
		}
		of.bound = true
		of.SetRate(s.now, a.Limit, max(min(1, math.Ceil(a.Limit)), a.BurstDuration*a.Limit)) // of none, none is saved up
	}
}

// DownstreamCalls tells how many calls below are out and how many tasks wait for one.
func (s *Controller) DownstreamCalls() (out, waiting int) { return int(s.out()), int(s.n(atCall)) }

// crowdLimit is what the cores survive, cold or warm: a ceiling. A fifth is kept free.
func (s *Controller) crowdLimit() float64 {
	speed := s.coldFrom + (1-s.coldFrom)*min(1, (s.now-s.born+1e-9)/max(s.coldFor, 1e-9))
	return max(1, 0.8*s.cores*(1+(s.crowd-1)*speed))
}

// crowdRoom tells whether one more may come to the cores, should all calls return at once.
func (s *Controller) crowdRoom() bool { return s.n(onCore|calling)+1 <= s.crowdLimit() }

func (s *Controller) tick() {
	s.tickAt = s.now + 0.1 // a tenth of the shortest memory that matters; its cost is not felt
	// Halted: the cores are taken yet nothing got on for 4 runs, or tasks wait unread for long and none ended
	// in time for 0.5 s. Without that last test all servers would leave together under plain overload.
	halted := s.n(onCore) >= s.cores && s.now-s.lastEnd > 4*s.typical ||
		s.lag > s.patience && s.now-s.lastTimely > 0.5
	s.lag *= 0.98
	if s.now-s.lastRead > 0.5 { // nothing waits unread, and none could be timely: what was learned is past
		s.lag, s.lastTimely = 0, s.now
	}
	if halted != s.halted && !s.draining() {
		s.act(Action{Kind: SetHealth, Healthy: !halted})
	}
	s.halted = halted
	s.typical = 0.25 // where little is known, or runs are so short that a pause of the cores shows
	for i := range s.stages {
		s.refresh(&s.stages[i])
		s.typical = max(s.typical, s.stages[i].mean)
	}
	s.learnCalls()
	s.tuneIdle()
	s.tuneRunCap()
	s.tuneShare()
}

// tuneIdle closes connections at once where callers come back so seldom that keeping them costs the cores
// more than new ones do, and the full table would keep others out. While tasks wait unread it is to do just
// that: connections rest for longer and longer, as a try that gets none costs nothing here, and one that is
// read and turned away a handshake and a read. That guards against storms of retries and also meets bursts
// and slow cores; it may hurt where those kept out bring what pays best.
func (s *Controller) tuneIdle() {
	idle := s.maxIdle
	if s.gap*s.callers > 8 { // both cost about the same near 5 s, where some tens of callers share a server
		idle = 0.05 // the shortest that was tried, and the best on busy days
	}
	if s.lag > s.patience/2 { // from 0.05 s to 5 in 2.5 s, as a table takes to fill; and slowly back
		s.rest = min(1.2*s.rest, 1000)
	} else {
		s.rest = max(1, s.rest/1.03)
	}
	idle = min(s.maxIdle, idle*s.rest)
	if idle > 1.2*s.idle || idle < s.idle/1.2 { // smaller steps would only add messages
		s.idle = idle
		s.act(Action{Kind: SetIdleTimeout, Duration: idle})
	}
}

// tuneRunCap climbs fast while cores are free and work is held. How many may crowd each core beyond
// that is what the two arms try: one a core, or half as many again.
func (s *Controller) tuneRunCap() {
	g := s.gauges
	s.gauges.Runnable = -1 // each reading counts once
	waiting := s.n(held) > 0
	s.armBusy = s.armBusy || waiting
	if s.now >= s.armTill {
		if s.armBusy {
			s.arms[s.arm] += 0.3 * (s.armGain - s.arms[s.arm]) // the last three or so tell
			s.arm = 0
			if (s.arms[1] > s.arms[0]) != (s.chance() < 0.15) { // at times the other one: things change
				s.arm = 1
			}
		}
		s.armTill, s.armGain, s.armBusy = s.now+1, 0, false
	}
	if g.Runnable >= 0 && g.Runnable < s.cores && waiting {
		s.runCap += s.cores - g.Runnable
	} else if g.Runnable > s.cores*(1+0.5*float64(s.arm)) {
		s.runCap--
	}
	s.runCap = max(s.cores, min(s.runCap, float64(len(s.tasks)), s.crowdLimit()))
}

// tuneShare says how much of the usual traffic is wanted: less at once when tasks are turned away, more
// again in small steps. Reading costs too, so tasks read too late to run count like those turned away.
func (s *Controller) tuneShare() {
	switch {
	case s.draining():
		s.share = 0
	case s.halted:
		s.share = 0.05
	case s.unmet > 0:
		s.share = max(0.05, s.share*(1-min(0.07, s.unmet/max(s.reads, 1)))) // few of many lower it little
	case s.lag < s.patience:
		s.share = min(1, s.share+0.02)
	}
	s.unmet, s.reads = 0, 0
	told := math.Round(s.share*50) / 50 // smaller steps would only add messages
	if s.free != NoBackpressure && told != s.shareTold {
		s.shareTold = told
		values := map[Backpressure]float64{BackpressureLevel: 1 - told, BackpressureCredit: told * s.creditFull, BackpressureWeight: told}
		s.act(Action{Kind: ReportLoad, Load: values[s.free]})
	}
}

// chance is a draw from 0 to under 1.
func (s *Controller) chance() float64 {
	s.draws++
	return float64(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d %d", s.seed, s.draws))) / (1 << 32)
}

// judgeDue gives up what is due, what can earn nothing, and what is short of time.
func (s *Controller) judgeDue() {
	for _, t := range s.tasks {
		vain := t.stage.LateValue == 0 && s.now > t.goal
		switch {
		case s.now >= t.dueAt-1e-3, vain && (s.stopping != NoPreemption || t.state == atCall):
			s.step(t, due)
		case t.end-s.now < t.stage.floor, t.end-s.now < t.stage.need && s.n(onCore)+1 >= s.cores:
			s.step(t, short)
		}
	}
}

// first returns the task that passes ok and comes before all others that do.
func (s *Controller) first(ok func(*task) bool, order func(a, b *task) int) *task {
	var best *task
	for _, t := range s.tasks {
		if ok(t) && (best == nil || order(t, best) < 0) {
			best = t
		}
	}
	return best
}

// byGoal has what is over its tenant's share come last.
func byGoal(a, b *task) int { return cmp.Or(cmp.Compare(a.over, b.over), cmp.Compare(a.goal, b.goal)) }

// judgeRoom starts held tasks by due time while the cap, the crowd and the memory allow.
func (s *Controller) judgeRoom() {
	for s.n(onCore) < s.runCap && s.crowdRoom() && s.step(s.first(s.startable, byGoal), room) {
	}
}

func (s *Controller) startable(t *task) bool {
	fits := s.used()+t.memory*(s.runFactor-1) <= 0.95*s.memoryLimit
	// While many wait to be let out, more of their kind would be work begun in vain, unless they can do
	// without.
	vain := t.stage.CallsDownstream && t.stage.DegradedValue == 0 && s.n(atCall) >= max(2, s.callCap)
	// What is over its tenant's share leaves room for another, as it can't be taken off for them.
	spare := t.over == 0 || s.n(onCore) < max(1, s.runCap-1)
	return t.state == held && fits && !vain && spare
}

// judgeHold goes through the hold by due time and turns away what the cores, or the calls, can't reach
// in time: of all up to the one that would be late, the one that brings least for what it takes.
func (s *Controller) judgeHold() {
	line := slices.DeleteFunc(slices.Clone(s.tasks), func(t *task) bool { return t.state != held })
	slices.SortStableFunc(line, byGoal)
	ahead, aheadCalls := 0.0, s.n(atCall)*s.call.mean
	for i := 0; i < len(line); i++ {
		t := line[i]
		run, away := t.stage.mean, t.stage.away(s)
		wait, byCalls := ahead/s.runCap, away > 0 && aheadCalls/s.callCap > ahead/s.runCap
		if byCalls {
			wait = aheadCalls / s.callCap
		}
		ahead += run
		aheadCalls += away
		// Runs vary: a wait over a quarter of the time to spare would start tasks that end late.
		if wait == 0 || wait <= 0.25*(t.end-s.now-run-away) {
			continue
		}
		worst := i
		for j := 0; j < i; j++ {
			if (!byCalls || line[j].stage.away(s) > 0) && s.density(line[j]) < s.density(line[worst]) {
				worst = j
			}
		}
		ahead -= line[worst].stage.mean
		aheadCalls -= line[worst].stage.away(s)
		s.step(line[worst], noRoom)
		line = slices.Delete(line, worst, worst+1)
		i--
	}
}

// away is how long a run of the stage has to be at calls; none where it can do without.
func (st *stage) away(s *Controller) float64 {
	if st.DegradedValue > 0 {
		return 0
	}
	return st.calls * s.call.mean
}

// gain is what the call of a task adds to what it brings.
func (t *task) gain() float64 { return t.value * (1 - t.stage.DegradedValue) }

func byGain(a, b *task) int { return cmp.Or(cmp.Compare(b.gain(), a.gain()), byGoal(a, b)) }

// density is what a task brings for what it takes of cores and calls; it counts for more the fewer of its
// stage are run, or the least useful stage alone would be turned away.
func (s *Controller) density(t *task) float64 {
	takes := t.stage.mean/s.runCap + t.stage.away(s)/s.callCap
	return t.value / max(takes*t.stage.runs, 1e-4)
}

// out counts the calls in hand, those included that were given up but may still be held below.
func (s *Controller) out() float64 { return s.n(calling) + float64(len(s.lingering)) }

// bookCalls keeps what was left unused of a cap that is no whole number: it lets one more out at times.
func (s *Controller) bookCalls() {
	unused := s.callCap - s.out()
	s.callCredit = min(s.callCap, 1, s.callCredit+unused*(s.now-s.callBooked))
	s.callBooked = s.now
}

func (s *Controller) callDone(t *task, e *Event) {
	s.lastEnd = s.now
	b := s.call.log.Current(s.now)
	if e.Outcome == Finished {
		b.Add(e.Duration)
		t.calls++
		s.step(t, back)
		return
	}
	b.Untimed++
	if e.Outcome == TimedOut {
		s.linger(t)
	}
	t.proven = e.Outcome == Rejected || e.Outcome == Unreachable
	t.tries++
	t.notTill = s.now + 0.02*float64(t.tries)*(1+s.chance()) // a short breath, not in step with others
	s.step(t, callLost)
}

// learnCalls learns how long calls take and how many may be out.
func (s *Controller) learnCalls() {
	s.call.refresh(s.now)
	if s.call.all.Count >= 4 {
		s.call.lowest.Observe(s.now, s.call.mean)
	}
	// Halved in 1.4 s while calls are slow or one in four is lost; doubled as fast while all are in use.
	switch {
	case s.slow() || 3*s.call.all.Untimed > s.call.all.Count+3:
		s.callCap *= 0.95
	case s.n(atCall) > 0:
		s.callCap *= 1.05
	}
	s.callCap = min(max(s.leastCalls, min(s.callCap, s.maxCalls)), s.callsBound)
}

// slow tells that calls take twice what they lately took at best.
func (s *Controller) slow() bool { return s.call.mean > 2*s.call.lowest.Value(s.now) }

const slush = 0.01 // the design's upper value: answers still have to be written and sent

// judgeCalls lets calls out by due time, or by utility when they have turned slow.
func (s *Controller) judgeCalls() {
	for _, t := range s.tasks {
		if t.state != atCall {
			continue
		}
		late, poorer := s.now+s.call.mean/2 > t.end, t.stage.DegradedValue
		switch {
		case poorer > 0 && s.crowdRoom() &&
			(!t.mayCall() || t.tries > 2 || late && poorer > t.stage.LateValue):
			s.step(t, leaveOut)
		case poorer == 0 && (!t.mayCall() || late && (s.slow() || t.stage.LateValue == 0)),
			t.dueAt-s.now <= slush:
			s.step(t, due)
		}
	}
	order := byGoal
	if s.slow() {
		order = byGain
	}
	for s.crowdRoom() {
		out := s.out()
		if out+1 > s.callsBound || out+1 > s.callCap && (out >= s.callCap || s.callCredit <= 0) {
			s.judgeWaits()
			return
		}
		ready := func(t *task) bool { return t.state == atCall && t.notTill <= s.now && t.mayCall() }
		if !s.step(s.first(ready, order), letOut) {
			return
		}
	}
}

// judgeWaits goes through those that wait for calls, which are scarce, in the order in which a call adds
// most, and has the others do without where their wait would be too long, by the measure of the hold.
func (s *Controller) judgeWaits() {
	line := slices.DeleteFunc(slices.Clone(s.tasks), func(t *task) bool { return t.state != atCall })
	slices.SortStableFunc(line, byGain)
	for i, t := range line {
		wait := float64(i+1) * s.call.mean / s.callCap
		if t.stage.DegradedValue > 0 && wait > 0.25*(t.end-s.now-s.call.mean) && s.crowdRoom() {
			s.step(t, leaveOut)
		}
	}
}

func (s *Controller) start(t *task) {
	t.ran = true
	t.stage.runs += 0.02 * (1 - t.stage.runs)
	s.act(Action{Kind: StartRun, RequestID: t.id})
}

func (s *Controller) sendBack(t *task) { s.turnAway(t, 0) }

// sendAway says when to come back: when the hold as it stands has been run.
func (s *Controller) sendAway(t *task) {
	t.stage.runs *= 0.98
	s.turnAway(t, min(s.adviceMax, max(0.1, s.n(held)*s.typical/s.runCap)))
}

// turnAway rejects a task that never ran. It asks not to try elsewhere while tasks wait unread for long or
// little is wanted: the others fare alike and reads take from runs. Where a try opens a connection, always,
// unless callers pick by subject. It may hurt where only this server is slow or crowded.
func (s *Controller) turnAway(t *task, advice float64) {
	if t.repeated { // another try of it may have run
		s.abandon(t)
		return
	}
	if t.over == 0 { // it says nothing of what else is wanted, and is over its share wherever it goes
		s.unmet++
	}
	s.forget(t)
	s.act(Action{Kind: Reject, RequestID: t.id, Duration: advice,
		NoFailover: t.over > 0 || s.lag > s.patience || s.share < 0.4 ||
			s.share < 0.95 && !s.bySubject && s.idle < s.maxIdle})
}

func (s *Controller) forget(t *task) {
	if s.keys.Remove(t.id) {
		s.act(Action{Kind: DeleteKey, RequestID: t.id})
	}
}

func (s *Controller) abandon(t *task) {
	s.unmet++
	s.act(Action{Kind: Fail, RequestID: t.id})
}

func (s *Controller) takeOff(t *task) {
	if s.stopping != NoPreemption && t.stage.Idempotency != Deduplicated { // a repeat may still want the answer of that
		s.act(Action{Kind: CancelRun, RequestID: t.id})
	}
}

// invoke lets a call out with the time left less the slush. Exception: in a tier that is not slow, four mean
// calls where twice that is left and it may go again: a server there that died unseen would hold it for all.
func (s *Controller) invoke(t *task) {
	lasts, first := min(t.dueAt-s.now-slush, s.maxCallTime), 4*s.call.mean
	if s.tier && t.stage.Idempotency == Idempotent && s.call.all.Count >= 20 && !s.slow() && lasts > 2*first {
		lasts = first
	}
	s.act(Action{Kind: DispatchCall, RequestID: t.id, Duration: lasts})
}

// linger counts a call that was given up for as long as it may still be held below.
func (s *Controller) linger(t *task) { s.lingering.Add(t.id, s.now+s.callLinger) }

// setTimer keeps one timer armed for whatever comes first.
func (s *Controller) setTimer() {
	next := s.tickAt
	for _, t := range s.tasks {
		if t.state&(answered|over) == 0 {
			next = min(next, t.dueAt)
		}
	}
	if next < s.armed {
		s.armed = next
		s.act(Action{Kind: SetTimer, Duration: max(0, next-s.now), Label: "next"})
	}
}
