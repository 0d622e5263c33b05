package choice

// How it is called: New(seed, site) makes one server's instance; Decide(now, events) takes the time and
// the server's events of one batch, in order, and returns what to do, in order. The slice is good until
// the next call. The interface lives in types.go, time buckets in internal/ring; all else is here.
//
// The mechanism is that of docs/design.md: a caller's remaining wait becomes a fixed due moment; a task
// with less time left than its stage's learned typical run is rejected unstarted; each call below gets
// the time that is left less a slush. The rest is what the rules need, and departures listed there.

import (
	"hash/crc32"
	"math"
	"slices"

	"swiftcourse/internal/ring"
)

type state uint8

const (
	held    state = iota
	sharing       // waits for the answer of the task it repeats
	running
	pausing // taken off, not confirmed: counts as running
	paused
	atCall   // parked: its call is not out
	calling  // its call is out
	answered // has its answer, yet still runs or has still to leave its call
	over
)

type input uint8

const (
	room     input = iota // judged: it may have a core
	repeats               // judged: another's answer is its own
	short                 // judged: less time left than a typical run
	noRoom                // judged: the load, the memory or a drain forbids it
	due                   // judged: its due moment is here, or it can earn nothing any more
	crowded               // judged: too many are on the cores
	letOut                // judged: its call may go
	leaveOut              // judged: a poorer answer pays better than the call
	gone                  // the rest happened
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
	do   func(*Server, *task)
}{
	{held, room, running, (*Server).start},
	{held, repeats, sharing, (*Server).reuse},
	{held, short, over, (*Server).sendBack},
	{held, noRoom, over, (*Server).sendAway},
	{held, due, over, (*Server).sendBack},
	{held, gone, over, nil},
	{sharing, due, over, (*Server).abandon},
	{sharing, gone, over, nil},
	{sharing, ended, over, nil},
	{sharing, stopped, over, (*Server).abandon},
	{running, parked, atCall, nil},
	{running, ended, over, nil},
	{running, stopped, over, (*Server).abandon},
	{running, due, answered, (*Server).abandonRun},
	{running, gone, answered, (*Server).takeOff},
	{running, crowded, pausing, (*Server).takeOff},
	{pausing, stopped, paused, nil},
	{pausing, parked, atCall, nil},
	{pausing, ended, over, nil},
	{pausing, due, answered, (*Server).abandonRun},
	{pausing, gone, answered, (*Server).takeOff},
	{paused, room, running, (*Server).start},
	{paused, due, over, (*Server).abandon},
	{paused, gone, over, nil},
	{atCall, letOut, calling, (*Server).call},
	{atCall, leaveOut, running, (*Server).skip},
	{atCall, due, answered, (*Server).abandon},
	{atCall, gone, answered, nil},
	{atCall, ended, over, nil},
	{atCall, stopped, over, (*Server).abandon},
	{calling, back, running, nil},
	{calling, callLost, atCall, nil},
	{calling, due, answered, (*Server).abandon},
	{calling, gone, answered, nil},
	{calling, ended, over, nil},
	{calling, stopped, over, (*Server).abandon},
	{answered, ended, over, nil},
	{answered, stopped, over, nil},
}

// step feeds one input to a task's life and keeps the counts that follow from states.
func (s *Server) step(t *task, on input) {
	for i := range life {
		if r := &life[i]; r.in == t.state && r.on == on {
			if t.state == calling || r.next == calling {
				s.book()
			}
			s.leave(t)
			t.state = r.next
			s.count[t.state]++
			s.memory += s.weight(t)
			if r.do != nil {
				r.do(s, t)
			}
			return
		}
	}
}

// leave takes the task out of the counts of its state and books the time spent there.
func (s *Server) leave(t *task) {
	s.count[t.state]--
	s.memory -= s.weight(t)
	if t.state == running || t.state == pausing {
		t.own += s.now - t.since
	}
	t.since = s.now
}

// weight is the memory that a task takes in its state.
func (s *Server) weight(t *task) float64 {
	switch t.state {
	case held, sharing:
		return t.memory
	case over:
		return 0
	}
	return t.memory * s.runFactor
}

type task struct {
	id      string
	state   state
	stage   *stage
	earlier string
	arrived float64
	dueAt   float64 // due moment: the caller leaves
	goal    float64 // due time: the last moment of full utility
	end     float64 // the last moment at which finishing it pays
	since   float64 // in this state
	own     float64 // on or near a core so far, without calls and pauses
	memory  float64
	value   float64 // utility, less where its tenant is over its share
	calls   int     // let out
	tries   int     // calls that did not come back well
	notTill float64 // no call before this
	ran     bool
	proven  bool // its last call is known not to have run
}

// runs is a bucket of what runs of one stage took and of how its tasks fared.
type runs struct {
	n       int
	sum     float64
	calls   int        // that came back well
	bins    [48]uint16 // by run time, from 1 ms up, three to a doubling
	offered float64    // utility read
	timely  float64    // utility finished by the due time
}

type low struct {
	seen bool
	min  float64
}

func (l *low) take(x float64) {
	if !l.seen || x < l.min {
		l.seen, l.min = true, x
	}
}

type stage struct {
	Stage
	floor   float64 // typical own run: what must be left of a task's wait
	mean    float64 // mean own run lately
	calls   float64 // mean calls of a run
	price   float64 // what a second of run of this stage brings the result
	log     *ring.Ring[runs]
	lowest  *ring.Ring[low]
	offered float64 // utility read lately, and how much of it was finished in time
	timely  float64
}

type tenant struct{ rate, left, at float64 }

type keyEntry struct {
	id    string
	until float64
}

// calls is a bucket of what calls below did.
type calls struct {
	n, lost int
	sum     float64
	held    float64 // calls in hand, times seconds
}

// Server is one server's instance.
type Server struct {
	seed, draws uint32
	now         float64
	acts        []Action
	stages      []stage
	tenants     []tenant
	tasks       []*task // in order of arrival here
	byID        map[string]*task
	keys        []keyEntry
	count       [over + 1]int
	memory      float64

	cores, crowd          float64
	coldFrom, coldFor     float64 // coldFor is 0 where it was born warm
	memoryLimit           float64
	runFactor, keyMemory  float64
	drainGrace, lateSlack float64
	overShare             float64
	below                 Below
	callShare             float64
	callFor, callLinger   float64
	stopping              Stopping
	free                  Free
	callers               float64
	reuseFor              float64
	tellsWait             bool
	adviceMax             float64 // 0 where none is forwarded
	byWork                bool
	wholeGoal, stageGoal  float64

	born, tickAt, armed float64
	drainAt, killAt     float64
	lastEnd             float64 // when work last got on
	runCap              float64
	arms                [2]float64 // what each arm of the bandit earned
	arm                 int
	armTill, armGain    float64
	armBusy             bool
	callCap, callCredit float64
	callTime, callBest  float64
	callLog             *ring.Ring[calls]
	callLow             *ring.Ring[low]
	lingering           []float64
	bookedAt            float64
	share, shareTold    float64 // of the usual traffic wanted
	lag                 float64 // mean time that tasks lately waited unread
	unmet               int     // tasks since the last tick that were read or run for nothing
}

// New makes an instance for a server that starts now.
func New(seed int64, site Site) *Server {
	s := &Server{
		seed: uint32(seed) ^ uint32(seed>>32), byID: map[string]*task{},
		cores: math.Max(1, float64(site.Cores)), crowd: math.Max(1, site.Crowd), coldFrom: site.ColdFrom,
		memoryLimit: site.Memory, runFactor: math.Max(1, site.RunFactor), keyMemory: site.KeyMemory,
		drainGrace: site.DrainGrace, lateSlack: site.AnswerSlack, overShare: site.OverShare, below: site.Below,
		callShare: site.CallShare, callFor: math.Max(0.1, site.CallFor), callLinger: site.CallLinger,
		stopping: site.Stopping, free: site.Free, callers: math.Max(1, float64(site.Callers)),
		reuseFor: site.ReuseFor, tellsWait: site.TellsWait, byWork: site.UtilityByWork,
		wholeGoal: math.Max(site.WholeGoal, 0.01), stageGoal: site.StageGoal,
		armed: math.Inf(1), drainAt: math.Inf(1), killAt: math.Inf(1), share: 1, shareTold: 1,
	}
	if site.Cold {
		s.coldFor = site.ColdFor
	}
	if site.Advice {
		s.adviceMax = site.AdviceMax
	}
	for _, st := range site.Stages {
		s.stages = append(s.stages, stage{Stage: st})
	}
	for _, tn := range site.Tenants {
		// A server sees about its part of a tenant's traffic; half as much again covers uneven callers.
		rate := 1.5 * tn.Rate / math.Max(1, float64(site.Servers))
		s.tenants = append(s.tenants, tenant{rate: rate, left: 2 * rate})
	}
	return s
}

// begin sets what needs the time of the first batch.
func (s *Server) begin() {
	s.born, s.tickAt, s.lastEnd, s.bookedAt, s.armTill = s.now, s.now, s.now, s.now, s.now+1
	for i := range s.stages {
		// 8 s of runs: some tens on a busy server, yet a slow-down of a few seconds still shows.
		s.stages[i].log = ring.New[runs](8, 1, s.now)
		s.stages[i].lowest = ring.New[low](6, 5, s.now)
	}
	s.callLog = ring.New[calls](10, s.callFor/10, s.now)
	s.callLow = ring.New[low](6, 5, s.now)
	s.runCap = s.cores
	s.callCap = 2 * s.cores // a start only: it is learned
	if s.below == Shared {
		s.callCap = s.callShare / 2
	}
	if s.coldFor > 0 {
		s.share = math.Max(0.05, s.coldFrom)
	}
	s.act(Action{Kind: Health, Flag: true})
}

// Decide takes one batch of the server's events and returns what to do.
func (s *Server) Decide(now float64, events []Event) []Action {
	s.now, s.acts = now, s.acts[:0]
	if s.callLog == nil {
		s.begin()
	}
	for i := range events {
		s.see(&events[i])
	}
	s.keys = slices.DeleteFunc(s.keys, func(k keyEntry) bool { return k.until < now })
	s.lingering = slices.DeleteFunc(s.lingering, func(until float64) bool { return until <= now })
	if now >= s.tickAt-1e-4 {
		s.tick(Gauges{Busy: -1, Runnable: -1})
	}
	s.judgeDue()
	s.judgeCalls()
	s.judgeCrowd()
	s.judgeRoom()
	s.judgeHold()
	s.tasks = slices.DeleteFunc(s.tasks, func(t *task) bool {
		if t.state == over {
			delete(s.byID, t.id)
		}
		return t.state == over
	})
	s.arm1()
	return s.acts
}

func (s *Server) act(a Action) { s.acts = append(s.acts, a) }

func (s *Server) see(e *Event) {
	t := s.byID[e.ID]
	if t == nil && e.Kind != Read && e.Kind != Timer && e.Kind != Drain {
		return
	}
	switch e.Kind {
	case Read:
		s.read(e)
	case Ended:
		s.lastEnd = s.now
		on := ended
		if e.Outcome == Stopped || e.Outcome == NeverStarted {
			on = stopped
		}
		own := t.own
		if t.state == running || t.state == pausing || (t.state == answered && t.tries == 0) {
			own = t.own + s.now - t.since
		}
		was := t.state
		s.step(t, on)
		// A quick error or a run cut short would teach too low a floor; one cut after the floor is a bound.
		if t.ran && (e.Outcome == Finished || own > t.stage.floor && was != pausing) {
			t.stage.learn(s.now, own, t.calls-t.tries)
		}
		if e.Outcome == Finished && was != answered && s.now <= t.goal {
			t.stage.log.At(s.now).timely += t.value
			s.armGain += t.value
		}
	case Parked:
		s.lastEnd = s.now
		s.step(t, parked)
	case CallDone:
		s.callDone(t, e)
	case Gone:
		if t.state == calling {
			s.lingering = append(s.lingering, s.now+s.callLinger)
		}
		s.step(t, gone)
	case Drain:
		s.drainAt, s.killAt = s.now, s.now+e.Took
		s.act(Action{Kind: Health, Flag: false})
		for _, t := range s.tasks {
			t.dueAt = math.Min(t.dueAt, s.lastAnswer())
		}
	case Timer:
		if s.now >= s.armed-1e-4 {
			s.armed = math.Inf(1)
		}
		if s.now >= s.tickAt-1e-4 {
			s.tick(e.Gauges)
		}
	}
}

// lastAnswer is when a draining server must have answered all: three hundredths before the kill are
// several ticks of any site known.
func (s *Server) lastAnswer() float64 { return s.killAt - 0.03 }

// read takes a task in. Its due moment never changes but for a drain.
func (s *Server) read(e *Event) {
	in := &e.Task
	st := &s.stages[min(max(in.Stage, 0), len(s.stages)-1)]
	t := &task{id: e.ID, stage: st, earlier: in.Earlier, arrived: s.now - in.Age, since: s.now,
		memory: in.Memory, value: st.Utility}
	limit := t.arrived + st.TimeLimit
	switch {
	case in.Wait > 0: // an honest wait never passes the time limit of all tries together
		t.dueAt = math.Min(s.now+in.Wait, limit)
	case s.tellsWait:
		t.dueAt = s.now
	default:
		t.dueAt = limit
	}
	t.dueAt = math.Min(math.Max(t.dueAt, s.now), s.lastAnswer())
	t.goal = math.Min(t.arrived+math.Min(st.DueTime+st.DueStretch*in.Hint, st.TimeLimit), t.dueAt)
	t.end = t.goal
	// Exception to the due moment: an answer after the due time that earns less than half blocks better work.
	if st.LateUtility >= 0.5 {
		t.end = t.dueAt
	}
	if s.byWork && in.Hint > 0 {
		t.value *= in.Hint
	}
	if in.Tenant < len(s.tenants) && in.Tenant >= 0 && !s.tenants[in.Tenant].take(s.now) {
		t.value *= s.overShare
	}
	st.log.At(s.now).offered += t.value
	s.lag += 0.05 * (in.Age - s.lag)
	s.byID[t.id] = t
	s.tasks = append(s.tasks, t)
	s.count[held]++
	s.memory += t.memory
	repeat := t.earlier != "" && (st.Effect == Fingerprinted || s.reuseFor > 0 && !in.Write)
	switch {
	case repeat && s.now < t.dueAt:
		s.step(t, repeats)
	case repeat || s.now >= t.dueAt:
		s.step(t, due)
	case t.arrived > s.drainAt+s.drainGrace, s.used()+t.memory > 0.95*s.memoryLimit:
		s.step(t, noRoom)
	case st.Effect == Fingerprinted:
		// Without its entry a repeat would bear no mark and run too: no entry, no run.
		if s.used()+s.keyMemory > 0.9*s.memoryLimit {
			s.step(t, noRoom)
			break
		}
		s.keep(t, st.Window)
	case s.reuseFor > 0 && in.Marked && !in.Write && st.Effect == Restartable:
		if s.used()+s.keyMemory < 0.5*s.memoryLimit { // only a saving: it takes no memory that tasks need
			s.keep(t, t.dueAt-s.now+s.reuseFor)
		}
	}
}

// take tells whether one more task is within the tenant's share.
func (tn *tenant) take(now float64) bool {
	if tn.at > 0 {
		tn.left = math.Min(2*tn.rate, tn.left+(now-tn.at)*tn.rate)
	}
	tn.at = now
	if tn.left < 1 {
		return false
	}
	tn.left--
	return true
}

func (s *Server) keep(t *task, lasts float64) {
	s.act(Action{Kind: Keep, ID: t.id, For: lasts})
	s.keys = append(s.keys, keyEntry{t.id, s.now + lasts + 0.01})
}

func (s *Server) used() float64 { return s.memory + float64(len(s.keys))*s.keyMemory }

func (st *stage) learn(now, own float64, calls int) {
	b := st.log.At(now)
	b.n++
	b.sum += own
	b.calls += calls
	b.bins[min(max(int(3*math.Log2(math.Max(own, 1e-6)/0.001)), 0), len(b.bins)-1)]++
}

// refresh works out a stage's floor, mean and price anew.
func (s *Server) refresh(st *stage, halted bool) {
	var all runs
	st.log.All(s.now, func(b *runs) {
		all.n += b.n
		all.sum += b.sum
		all.calls += b.calls
		all.offered += b.offered
		all.timely += b.timely
		for i, n := range b.bins {
			all.bins[i] += n
		}
	})
	st.offered, st.timely = all.offered, all.timely
	if all.n > 0 {
		st.mean = all.sum / float64(all.n)
		st.calls = float64(all.calls) / float64(all.n)
	}
	if all.n >= 4 { // fewer say little of a median
		half := all.n / 2
		for i, n := range all.bins {
			if half -= int(n); half < 0 {
				st.floor = 0.001 * math.Exp2((float64(i)+0.5)/3)
				break
			}
		}
		st.lowest.At(s.now).take(st.floor)
	} else if !halted {
		// Few ends: back towards the lowest of 30 s, in about 2 s. Not while work is halted: there
		// are no ends then because none can end, and a lower floor would let in what cannot either.
		lowest := low{}
		st.lowest.All(s.now, func(b *low) {
			if b.seen {
				lowest.take(b.min)
			}
		})
		st.floor += 0.05 * (math.Min(lowest.min, st.floor) - st.floor)
	}
	st.floor = math.Min(st.floor, st.TimeLimit/2)
}

func (s *Server) onCore() int { return s.count[running] + s.count[pausing] + s.count[answered] }

// crowdLimit is what the cores survive, cold or warm: a ceiling. A fifth is kept free.
func (s *Server) crowdLimit() float64 {
	speed := 1.0
	if age := s.now - s.born; age < s.coldFor {
		speed = s.coldFrom + (1-s.coldFrom)*age/s.coldFor
	}
	return math.Max(1, 0.8*s.cores*(1+(s.crowd-1)*speed))
}

// crowdRoom tells whether one more may come to the cores, should all calls return at once.
func (s *Server) crowdRoom() bool {
	return float64(s.onCore()+s.count[calling]+1) <= s.crowdLimit()
}

// strain is how far the runs in hand have outrun the learned mean: over 1 when work slows or halts,
// before any end has told so.
func (s *Server) strain() float64 {
	age, n, mean := 0.0, 0, 0.0
	for _, t := range s.tasks {
		if t.state == running {
			age += t.own + s.now - t.since
			mean += t.stage.mean
			n++
		}
	}
	if n == 0 || mean == 0 {
		return 1
	}
	return math.Max(1, age/(2*mean))
}

const tickEvery = 0.1 // a tenth of the shortest memory that matters (1 s); its cost is not felt

func (s *Server) tick(g Gauges) {
	s.tickAt = s.now + tickEvery
	halted := s.onCore() > 0 && s.now-s.lastEnd > 1
	for i := range s.stages {
		s.refresh(&s.stages[i], halted)
	}
	s.priceStages()
	s.learnCalls()
	s.tuneRunCap(g)
	s.tuneShare()
}

// priceStages tells what one second of each stage's run brings the result: its part of the whole and,
// for the stage that fares worst, of that part of the goal.
func (s *Server) priceStages() {
	total, worst := 0.0, -1
	for i := range s.stages {
		st := &s.stages[i]
		total += st.offered
		if st.offered > 0 && (worst < 0 ||
			st.timely*s.stages[worst].offered < s.stages[worst].timely*st.offered) {
			worst = i
		}
	}
	for i := range s.stages {
		st := &s.stages[i]
		st.price = s.wholeGoal / math.Max(total, 1e-9)
		if i == worst {
			st.price += s.stageGoal / st.offered
		}
	}
}

// tuneRunCap climbs fast while cores are free and work is held. How many may crowd each core beyond
// that is what the two arms try: one a core, or half as many again.
func (s *Server) tuneRunCap(g Gauges) {
	waiting := s.count[held] + s.count[paused]
	s.armBusy = s.armBusy || waiting > 0
	if s.now >= s.armTill {
		if s.armBusy {
			s.arms[s.arm] += 0.3 * (s.armGain - s.arms[s.arm])
			s.arm = 0
			if s.arms[1] > s.arms[0] {
				s.arm = 1
			}
			if s.chance() < 0.15 { // now and then the other, lest a change go unseen
				s.arm = 1 - s.arm
			}
		}
		s.armTill, s.armGain, s.armBusy = s.now+1, 0, false
	}
	aim := s.cores * (1 + 0.5*float64(s.arm))
	switch {
	case g.Runnable >= 0 && g.Runnable < s.cores && waiting > 0:
		s.runCap += s.cores - g.Runnable
	case g.Runnable < 0 && g.Busy >= 0 && g.Busy < 0.95 && waiting > 0:
		s.runCap++
	case g.Runnable > aim:
		s.runCap--
	}
	live := float64(len(s.tasks))
	s.runCap = math.Max(s.cores, math.Min(s.runCap, math.Min(live, s.crowdLimit())))
}

// tuneShare says how much of the usual traffic is wanted: less at once when tasks are turned away, more
// again in small steps. Reading costs too, so tasks read too late to run count like those turned away.
func (s *Server) tuneShare() {
	if s.unmet > 0 {
		s.share = math.Max(0.05, s.share*0.93)
	} else {
		s.share = math.Min(1, s.share+0.02)
	}
	s.unmet = 0
	if s.killAt < math.Inf(1) {
		s.share = 0
	}
	if s.free == NoFree || math.Abs(s.share-s.shareTold) < 0.02 && s.share > 0 && s.share < 1 {
		return
	}
	if s.share == s.shareTold {
		return
	}
	s.shareTold = s.share
	value := s.share
	switch s.free {
	case Level:
		value = 1 - s.share
	case Credit:
		value = s.share * 4 * s.cores / s.callers
		if s.share == 1 {
			value = 1e6
		}
	}
	s.act(Action{Kind: SetFree, Value: value})
}

// chance is a draw from 0 to under 1.
func (s *Server) chance() float64 {
	s.draws++
	d, c := s.draws, s.seed
	sum := crc32.ChecksumIEEE([]byte{byte(c), byte(c >> 8), byte(c >> 16), byte(c >> 24),
		byte(d), byte(d >> 8), byte(d >> 16), byte(d >> 24)})
	return float64(sum) / (1 << 32)
}

// judgeDue gives up what is due, what can earn nothing, and what is short of time.
func (s *Server) judgeDue() {
	for _, t := range s.tasks {
		worthless := t.stage.LateUtility == 0 && s.now > t.goal
		switch {
		case s.now >= t.dueAt-1e-3,
			worthless && (s.stopping != NoStop || t.state == atCall || t.state == paused):
			if t.state == calling {
				s.lingering = append(s.lingering, s.now+s.callLinger)
			}
			s.step(t, due)
		case t.end-s.now < t.stage.floor:
			s.step(t, short)
		}
	}
}

// first returns the task in one of the states for which less holds against all others that pass ok.
func (s *Server) first(ok func(*task) bool, less func(a, b *task) bool) *task {
	var best *task
	for _, t := range s.tasks {
		if ok(t) && (best == nil || less(t, best)) {
			best = t
		}
	}
	return best
}

func byGoal(a, b *task) bool { return a.goal < b.goal }

// judgeRoom starts held tasks by due time while the cap, the crowd and the memory allow.
func (s *Server) judgeRoom() {
	for float64(s.onCore()) < s.runCap && s.crowdRoom() {
		t := s.first(s.startable, byGoal)
		if t == nil {
			return
		}
		s.step(t, room)
	}
}

func (s *Server) startable(t *task) bool {
	if t.state == paused {
		return true
	}
	if t.state != held || t.arrived > s.drainAt+s.drainGrace {
		return false
	}
	// Calls that wait to be let out are work begun in vain: no more of their kind while many wait.
	if t.stage.Calls && s.count[atCall] >= max(2, int(s.callCap)) {
		return false
	}
	return s.used()+t.memory*(s.runFactor-1) <= 0.95*s.memoryLimit
}

// judgeCrowd takes the latest due off the cores where calls have come back all at once.
func (s *Server) judgeCrowd() {
	for s.stopping == Pause && float64(s.count[running]) > 2*s.runCap {
		t := s.first(func(t *task) bool { return t.state == running },
			func(a, b *task) bool { return a.goal > b.goal })
		s.step(t, crowded)
	}
}

// patience is the part of a held task's time to spare that its expected wait may take. Runs vary, so
// more would start tasks that end late.
const patience = 0.6

// judgeHold goes through the hold by due time and turns away what the cores can't reach in time: of all
// up to the one that would be late, the one that brings least for its run.
func (s *Server) judgeHold() {
	if s.count[held] == 0 {
		return
	}
	line := make([]*task, 0, s.count[held])
	for _, t := range s.tasks {
		if t.state == held {
			line = append(line, t)
		}
	}
	slices.SortStableFunc(line, func(a, b *task) int {
		switch {
		case a.goal < b.goal:
			return -1
		case a.goal > b.goal:
			return 1
		}
		return 0
	})
	strain, ahead := s.strain(), 0.0
	aheadCalls := float64(s.count[atCall]) * s.callTime
	for i := 0; i < len(line); i++ {
		t := line[i]
		run, away := t.stage.mean*strain, t.stage.calls*s.callTime
		wait := ahead / s.runCap
		if away > 0 {
			wait = math.Max(wait, aheadCalls/s.callCap)
		}
		ahead += run
		aheadCalls += away
		if wait <= patience*(t.end-s.now-run-away) || wait == 0 {
			continue
		}
		byCalls, worst := away > 0 && wait > (ahead-run)/s.runCap, i
		for j := 0; j < i; j++ {
			if (!byCalls || line[j].stage.calls > 0) && s.density(line[j]) < s.density(line[worst]) {
				worst = j
			}
		}
		ahead -= line[worst].stage.mean * strain
		aheadCalls -= line[worst].stage.calls * s.callTime
		s.step(line[worst], noRoom)
		line = slices.Delete(line, worst, worst+1)
		i--
	}
}

// density is what a task brings for the share that it takes of the cores and of the calls.
func (s *Server) density(t *task) float64 {
	return t.stage.price * t.value / math.Max(t.stage.mean/s.runCap+t.stage.calls*s.callTime/s.callCap, 1e-4)
}

// book adds up the calls in hand until now.
func (s *Server) book() {
	inHand := float64(s.count[calling] + len(s.lingering))
	s.callLog.At(s.now).held += inHand * (s.now - s.bookedAt)
	// Where the cap is not a whole number, what was left unused of it lets one more out now and then.
	s.callCredit = math.Max(-1, math.Min(1, s.callCredit+(s.callCap-inHand)*(s.now-s.bookedAt)))
	s.bookedAt = s.now
}

func (s *Server) callDone(t *task, e *Event) {
	s.lastEnd = s.now
	if t.state != calling {
		return
	}
	t.proven = e.Outcome == Bounced || e.Outcome == Unreachable
	b := s.callLog.At(s.now)
	if e.Outcome == Finished {
		b.n++
		b.sum += e.Took
		s.step(t, back)
		return
	}
	b.lost++
	if e.Outcome == TimedOut {
		s.lingering = append(s.lingering, s.now+s.callLinger)
	}
	t.tries++
	t.notTill = s.now + 0.02*float64(t.tries)*(1+s.chance())
	s.step(t, callLost)
}

func (s *Server) learnCalls() {
	s.book()
	var all calls
	s.callLog.All(s.now, func(b *calls) {
		all.n += b.n
		all.sum += b.sum
		all.lost += b.lost
	})
	if all.n >= 4 {
		s.callTime = all.sum / float64(all.n)
		s.callLow.At(s.now).take(s.callTime)
	}
	lowest := low{}
	s.callLow.All(s.now, func(b *low) {
		if b.seen {
			lowest.take(b.min)
		}
	})
	s.callBest = lowest.min
	// Down in half a second's steps while calls are slow or one in four is lost; up while all is in use.
	switch {
	case s.slow() || 3*all.lost > all.n+3:
		s.callCap *= 0.95
	case s.count[atCall] > 0:
		s.callCap *= 1.05
	}
	least, most := s.cores, 16*s.cores // a tier has its own guard: only a flood is kept from it
	if s.below == Shared {
		// A dependency gets sluggish long before it falls: a quarter of the share is let out however
		// slow it is, and never all of it, as calls of the dead and late news of ended ones count too.
		least, most = 0.25*s.callShare, 0.8*s.callShare
	}
	s.callCap = math.Max(least, math.Min(s.callCap, most))
}

// slow tells that calls take twice what they lately took at best.
func (s *Server) slow() bool { return s.callTime > 2*s.callBest }

// callRoom tells whether one more call keeps within the share, and until when it may take at most.
func (s *Server) callRoom() (bool, float64) {
	inHand := float64(s.count[calling] + len(s.lingering))
	s.book()
	if inHand+1 > s.callCap && (inHand >= s.callCap || s.callCredit <= 0) || !s.crowdRoom() {
		return false, 0
	}
	if s.below != Shared || inHand+1 <= s.callShare {
		return true, math.Inf(1)
	}
	if inHand > 0 {
		return false, 0
	}
	// A share under one call is kept in the mean: one goes when what is left of the window's share
	// covers a usual call, and no longer than that.
	held := 0.0
	s.callLog.All(s.now, func(b *calls) { held += b.held })
	left := 0.9*s.callShare*s.callFor - held - s.callLinger
	return left > s.callTime && left > 0.01, left
}

const slush = 0.01 // the design's upper value: answers still have to be written and sent

// judgeCalls lets calls out by due time, or by utility when they have turned slow.
func (s *Server) judgeCalls() {
	less := byGoal
	if s.slow() {
		less = func(a, b *task) bool { return a.value > b.value || a.value == b.value && a.goal < b.goal }
	}
	for _, t := range s.tasks {
		if t.state != atCall {
			continue
		}
		late := s.now+s.callTime/2 > t.end
		again := t.tries == 0 || t.proven || t.stage.Effect == Restartable
		switch {
		case t.stage.SkipUtility > 0 && s.crowdRoom() &&
			(!again || t.tries > 2 || late && t.stage.SkipUtility > t.stage.LateUtility):
			s.step(t, leaveOut)
		case !again && t.stage.SkipUtility == 0, t.dueAt-s.now <= slush,
			late && t.stage.SkipUtility == 0 && (s.slow() || t.stage.LateUtility == 0):
			s.step(t, due)
		}
	}
	for {
		ok, atMost := s.callRoom()
		if !ok {
			return
		}
		t := s.first(func(t *task) bool {
			return t.state == atCall && t.notTill <= s.now &&
				(t.tries == 0 || t.proven || t.stage.Effect == Restartable)
		}, less)
		if t == nil {
			return
		}
		t.notTill = atMost
		s.step(t, letOut)
	}
}

// The effects that the table names.

func (s *Server) start(t *task) {
	t.ran = true
	s.act(Action{Kind: Start, ID: t.id})
}

func (s *Server) reuse(t *task) { s.act(Action{Kind: Reuse, ID: t.id}) }

func (s *Server) sendBack(t *task) {
	s.unmet++
	s.turnAway(t, 0)
}

func (s *Server) sendAway(t *task) {
	s.unmet++
	ahead := 0.0
	for _, o := range s.tasks {
		if o.state == held {
			ahead += o.stage.mean
		}
	}
	s.turnAway(t, math.Min(s.adviceMax, math.Max(0.1, ahead/s.runCap)))
}

// turnAway rejects a task that never ran and gives its entry in the table back.
func (s *Server) turnAway(t *task, advice float64) {
	s.keys = slices.DeleteFunc(s.keys, func(k keyEntry) bool {
		if k.id == t.id {
			s.act(Action{Kind: Forget, ID: t.id})
		}
		return k.id == t.id
	})
	if t.earlier != "" && t.stage.Effect == Fingerprinted {
		s.abandon(t) // another try of it may have run
		return
	}
	s.act(Action{Kind: Reject, ID: t.id, For: advice,
		Flag: s.lag > 0.25*t.stage.DueTime || s.share < 0.3})
}

func (s *Server) abandon(t *task) {
	s.unmet++
	s.act(Action{Kind: Abandon, ID: t.id})
}

func (s *Server) abandonRun(t *task) {
	s.abandon(t)
	s.takeOff(t)
}

func (s *Server) takeOff(t *task) {
	if s.stopping != NoStop {
		s.act(Action{Kind: TakeOff, ID: t.id})
	}
}

func (s *Server) call(t *task) {
	atMost := t.notTill
	t.notTill = 0
	t.calls++
	s.act(Action{Kind: Call, ID: t.id, For: math.Min(t.dueAt-s.now-slush, atMost)})
}

func (s *Server) skip(t *task) { s.act(Action{Kind: Skip, ID: t.id}) }

// arm1 keeps one timer armed for whatever comes first.
func (s *Server) arm1() {
	next := s.tickAt
	for _, t := range s.tasks {
		if t.state != answered {
			next = math.Min(next, t.dueAt)
		}
		if t.state == atCall && t.notTill > s.now {
			next = math.Min(next, t.notTill)
		}
	}
	if next < s.armed {
		s.armed = next
		s.act(Action{Kind: SetTimer, For: math.Max(0, next-s.now), Label: "next"})
	}
}
