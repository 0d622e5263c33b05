// Package forwarder takes a forwarder's tasks to workers and their answers back. One goroutine owns all state: what judge/route decides on, the links and
// the tries. The serving loop hands tasks in and has them returned; nothing here makes it wait.
//
// A task's way: Begin, place, a link's writer, the worker, heard, settle, Return. A try that ends without an answer may be followed by another, as
// judge/route says.
package forwarder

import (
	"container/heap"
	"fmt"
	"hash/crc32"
	"log/slog"
	"runtime/debug"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/policy/loadplan"
	"swiftcourse/internal/policy/routing"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/timewindow"
	"swiftcourse/internal/wire/rpc"
)

// Worker is where tasks may go.
type Worker struct{ Name, Addr string }

// Request is a task on its way to a worker.
type Request struct {
	ID      string
	Stage   int
	Message rpc.Message // as it goes on, but for its number and its times
	Left    float64     // seconds in which it has to be back
}

// Result is how that ended.
type Result struct {
	ID      string
	Outcome admission.Outcome // Finished, Errored, Bounced where no worker took it, Stopped where nobody waits any more
	Body    []byte
	Took    float64
	Advice  float64 // with Bounced: when to come back, in seconds
}

// Config is what a dispatcher is told.
type Config struct {
	Workers                          []Worker
	Classes                          []admission.Class
	Seed                             int64
	SlowStartSpeed, SlowStartSeconds float64        // how workers start, see route.Cold
	Now                              func() float64 // the serving loop's clock: Unix seconds that move forward
	OnResults                        func([]Result) // hands tasks back
	OnWorkerAvailable                func()         // told once there is a worker
}

const (
	// maxInbox events wait for the owner. A task that finds no room has not left.
	maxInbox = 8192
	// maxTries are out at a time.
	maxTries = 16384
	// lateAfter is how long beyond its time a worker's answer is waited for: the slush of a hop.
	lateAfter = 0.010
	// learnEvery is how often it is worked out what workers do, in seconds: some tens of tasks at each.
	learnEvery = 0.5
	// tellEvery is how often the line of counts is written, in seconds.
	tellEvery = 10.0
)

// Dispatcher is a forwarder's side towards the workers.
type Dispatcher struct {
	Config
	inbox chan event
	quit  chan struct{}

	// What follows is the owner's alone.
	router  *routing.Router
	links   map[string]*link
	tries   map[string]*try
	due     dueList
	typical []*timewindow.Buckets[timewindow.Histogram] // by stage, what tasks took through a worker
	demand  map[string]float64                          // asked for by tenant since the last report
	since   float64                                     // of that
	linked  bool
	told    float64
	learned float64 // when it was worked out last what workers do
	counts  counts
	backs   []Result
}

type counts struct{ begun, finished, errored, bounced, late, second, cut int }

// event is one thing that happened; one of its parts is there.
type event struct {
	begin  *Request
	drop   string
	link   *link // with answer: that it came by
	answer *rpc.Answer
	plan   map[string]float64
	until  float64
	ask    func()
}

// try is a task that is out.
type try struct {
	out    Request
	until  float64 // when it has to be back
	worker *link   // where it is, nil where it is nowhere
	number uint64  // of its message there
	began  float64
	tried  []string
	index  int // in due
}

// Start begins to dial all workers.
func Start(shape Config) *Dispatcher {
	now := shape.Now()
	d := &Dispatcher{Config: shape, inbox: make(chan event, maxInbox), quit: make(chan struct{}), router: routing.New(uint64(shape.Seed)), links: map[string]*link{},
		tries: map[string]*try{}, demand: map[string]float64{}, since: now, told: now, learned: now}
	d.router.SetSlowStart(shape.SlowStartSpeed, shape.SlowStartSeconds)
	for range shape.Classes {
		d.typical = append(d.typical, timewindow.New[timewindow.Histogram](8, 1, now))
	}
	for _, w := range shape.Workers {
		d.router.AddWorker(now, w.Name)
		l := newLink(d, w)
		d.links[w.Name] = l
		go l.keep()
	}
	go d.run()
	return d
}

// Dispatch takes a task, from the serving loop; false where there is no room.
func (d *Dispatcher) Dispatch(out Request) bool {
	select {
	case d.inbox <- event{begin: &out}:
		return true
	default:
		return false
	}
}

// Cancel tells that nobody waits for a task any more. Where there is no room its due moment ends it.
func (d *Dispatcher) Cancel(id string) {
	select {
	case d.inbox <- event{drop: id}:
	default:
	}
}

// ApplyPlan has the weights of a plan hold until a moment of the loop's clock.
func (d *Dispatcher) ApplyPlan(weights map[string]float64, until float64) {
	select {
	case d.inbox <- event{plan: weights, until: until}:
	default: // the next comes soon
	}
}

// RecordDemand takes what the server was asked for, also what it turned away itself.
func (d *Dispatcher) RecordDemand(list []serving.CounterCell) {
	select {
	case d.inbox <- event{ask: func() {
		for _, n := range list {
			d.demand[n.Tenant] += float64(n.Received)
		}
	}}:
	default: // the demand looks smaller for one report
	}
}

// TakeReport tells what was asked for and seen since the last one, nil where the owner is busy.
func (d *Dispatcher) TakeReport() *loadplan.Report {
	done := make(chan *loadplan.Report, 1)
	select {
	case d.inbox <- event{ask: func() { done <- d.report() }}:
	default:
		return nil
	}
	select {
	case r := <-done:
		return r
	case <-time.After(200 * time.Millisecond):
		return nil
	}
}

// Stop ends it; what is out is not returned.
func (d *Dispatcher) Stop() { close(d.quit) }

func (d *Dispatcher) run() {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		select {
		case <-d.quit:
			return
		case e := <-d.inbox:
			d.take(&e)
			for range min(len(d.inbox), 256) {
				next := <-d.inbox
				d.take(&next)
			}
		case <-alarm.C:
		}
		d.tick()
		if len(d.backs) > 0 {
			d.OnResults(d.backs)
			d.backs = nil
		}
		alarm.Reset(time.Duration(max(0.001, d.next()-d.Now()) * float64(time.Second)))
	}
}

// take does what an event asks for. A panic stops there: its task ends by its due moment.
func (d *Dispatcher) take(e *event) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("forward_panic", "cause", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	now := d.Now()
	switch {
	case e.begin != nil:
		d.begin(now, e.begin)
	case e.drop != "":
		if t := d.tries[e.drop]; t != nil {
			d.recall(t)
			d.leave(now, t, routing.Cancelled, 0)
			d.settle(t, admission.Cancelled, nil, 0)
		}
	case e.plan != nil:
		d.router.ApplyPlan(now, e.plan, e.until)
	case e.ask != nil:
		e.ask()
	case e.answer != nil:
		d.heard(now, e.link, e.answer)
	}
}

// begin places a task that came.
func (d *Dispatcher) begin(now float64, out *Request) {
	d.counts.begun++
	if d.tries[out.ID] != nil || len(d.tries) >= maxTries {
		d.backs = append(d.backs, Result{ID: out.ID, Outcome: admission.Rejected})
		return
	}
	t := &try{out: *out, until: now + out.Left}
	d.tries[out.ID] = t
	heap.Push(&d.due, t)
	d.place(now, t, 0)
}

// safe tells whether a task may run twice.
func (d *Dispatcher) safe(t *try) bool {
	return d.Classes[t.out.Stage].Idempotency == admission.Idempotent
}

func (d *Dispatcher) retry(now float64, t *try, outcome routing.Outcome) routing.Retry {
	return routing.Retry{
		LastOutcome:    outcome,
		Attempts:       len(t.tried),
		IsIdempotent:   d.safe(t),
		Remaining:      t.until - now,
		TypicalLatency: d.usual(now, t.out.Stage),
	}
}

// place sends a task to a worker, or gives it back where none may have it; advice is the last worker's.
func (d *Dispatcher) place(now float64, t *try, advice float64) {
	for {
		name, back := d.router.Pick(now, d.safe(t), t.tried...)
		if name == "" {
			d.counts.bounced++
			d.settle(t, admission.Rejected, nil, max(advice, back))
			return
		}
		l := d.links[name]
		t.tried = append(t.tried, name)
		t.worker, t.began = l, now
		m := t.out.Message
		m.Came, m.Wait, m.NoWait = now, t.until-now, false
		d.router.StartAttempt(name, len(t.tried))
		if t.number = l.send(t, &m); t.number > 0 {
			return
		}
		d.leave(now, t, routing.NotSent, 0) // its line is full: it never left
		if !d.router.AllowRetry(d.retry(now, t, routing.NotSent)) {
			d.counts.bounced++
			d.settle(t, admission.Rejected, nil, 0)
			return
		}
	}
}

// usual is what tasks of a stage typically take through a worker.
func (d *Dispatcher) usual(now float64, stage int) float64 {
	var all timewindow.Histogram
	d.typical[stage].ForEach(now, all.Merge)
	return all.Median()
}

// leave takes a try off its worker.
func (d *Dispatcher) leave(now float64, t *try, end routing.Outcome, advice float64) {
	if l := t.worker; l != nil {
		d.router.FinishAttempt(now, l.Name, end, now-t.began, advice)
		delete(l.tries, t.number)
		t.worker = nil
		l.closeIdle()
	}
}

// recall tells the worker that nobody waits for a task any more.
func (d *Dispatcher) recall(t *try) {
	if t.worker != nil {
		t.worker.gone(t.number)
	}
}

// settle gives a task back.
func (d *Dispatcher) settle(t *try, outcome admission.Outcome, body []byte, advice float64) {
	delete(d.tries, t.out.ID)
	heap.Remove(&d.due, t.index)
	d.backs = append(d.backs, Result{ID: t.out.ID, Outcome: outcome, Body: body, Took: d.Now() - (t.until - t.out.Left), Advice: advice})
}

// heard takes a worker's answer.
func (d *Dispatcher) heard(now float64, l *link, a *rpc.Answer) {
	if a.End == rpc.PartSaid { // it wants no new task on this connection; what is out there is answered
		l.parts()
		return
	}
	t := l.tries[a.Number]
	if t == nil {
		return // late, or nobody's
	}
	switch a.End {
	case rpc.Finished:
		took := now - t.began
		d.leave(now, t, routing.Finished, 0)
		d.typical[t.out.Stage].Current(now).Add(took)
		d.counts.finished++
		d.settle(t, admission.Finished, a.Result, 0)
	case rpc.Rejected:
		d.leave(now, t, routing.Rejected, a.Say.Advice)
		d.again(now, t, routing.Rejected, a.Say.Advice)
	case rpc.Abandoned:
		d.leave(now, t, routing.Failed, 0)
		d.counts.errored++
		d.settle(t, admission.Failed, nil, 0)
	}
}

// again has a task go to another worker, or gives it back as its last try ended.
func (d *Dispatcher) again(now float64, t *try, end routing.Outcome, advice float64) {
	switch {
	case d.router.AllowRetry(d.retry(now, t, end)):
		d.counts.second++
		d.place(now, t, advice)
	case end.KnownNotExecuted():
		d.counts.bounced++
		d.settle(t, admission.Rejected, nil, advice)
	default:
		d.counts.cut++
		d.settle(t, admission.Failed, nil, 0)
	}
}

// changed books that a link is there, or is not any more: what was out on it may have run.
func (d *Dispatcher) changed(now float64, l *link, up bool) {
	d.router.SetConnected(now, l.Name, up)
	if up {
		slog.Info("worker", "name", l.Name, "addr", l.Addr, "is", "linked")
		if !d.linked {
			d.linked = true
			go d.OnWorkerAvailable()
		}
		return
	}
	slog.Info("worker", "name", l.Name, "is", "gone", "open", len(l.tries))
	out := l.tries
	l.tries = map[uint64]*try{}
	for _, t := range out {
		d.router.FinishAttempt(now, l.Name, routing.ConnectionLost, now-t.began, 0)
		t.worker = nil
		d.again(now, t, routing.ConnectionLost, 0)
	}
}

// next is when something is due.
func (d *Dispatcher) next() float64 {
	next := min(d.learned+learnEvery, d.told+tellEvery)
	if len(d.due) > 0 {
		next = min(next, d.due[0].until+lateAfter)
	}
	return next
}

// tick ends what is due.
func (d *Dispatcher) tick() {
	now := d.Now()
	for len(d.due) > 0 && now >= d.due[0].until+lateAfter {
		t := d.due[0]
		d.counts.late++
		d.recall(t)
		d.leave(now, t, routing.TimedOut, 0)
		d.settle(t, admission.Cancelled, nil, 0)
	}
	if now >= d.learned+learnEvery {
		d.router.LearnCapacity(now - d.learned)
		d.learned = now
	}
	if now >= d.told+tellEvery {
		d.told = now
		c := d.counts
		slog.Info("forwards", "begun", c.begun, "finished", c.finished, "errored", c.errored, "bounced", c.bounced, "late", c.late, "cut", c.cut,
			"second", c.second, "out", len(d.tries), "linked", d.router.ConnectedWorkers(), "workers", len(d.links), "plan", d.router.PlanInfluence(now))
		d.counts = counts{}
	}
}

// report tells what was asked for and seen since the last one.
func (d *Dispatcher) report() *loadplan.Report {
	now := d.Now()
	r := &loadplan.Report{IntervalSeconds: max(now-d.since, 0.001)}
	d.since = now
	for tenant, n := range d.demand {
		r.Demand = append(r.Demand, loadplan.TenantRate{Tenant: tenant, Rate: n / r.IntervalSeconds})
	}
	clear(d.demand)
	for _, s := range d.router.TakeStats() {
		r.Workers = append(r.Workers, loadplan.WorkerStats{Name: s.Name, Connected: s.State != routing.Disconnected, InFlight: s.InFlight, Finished: s.Finished, Rejected: s.Rejected, Lost: s.Lost})
	}
	return r
}

// dueList is tries by when they have to be back.
type dueList []*try

func (l dueList) Len() int           { return len(l) }
func (l dueList) Less(i, j int) bool { return l[i].until < l[j].until }
func (l dueList) Swap(i, j int)      { l[i], l[j] = l[j], l[i]; l[i].index, l[j].index = i, j }

// Push and Pop are what the heap calls.
func (l *dueList) Push(x any) { t := x.(*try); t.index = len(*l); *l = append(*l, t) }

// Pop takes the last.
func (l *dueList) Pop() any {
	n := len(*l) - 1
	t := (*l)[n]
	*l = (*l)[:n]
	return t
}

// SeedFor is a forwarder's own seed, so that two don't draw alike.
func SeedFor(name string, seed int64) int64 { return seed ^ int64(crc32.ChecksumIEEE([]byte(name))) }
