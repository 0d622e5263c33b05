// Package routing decides, in a forwarder, which worker a task goes to, whether it may go to a second one, and which workers are left out. There is no
// I/O, clock or name of the wire in it; chance is a hash of a seed and a count.
//
// A fresh plan weighs the workers. While it ages its weights go over into those that the forwarder learned itself, from what each worker finished and
// rejected of its own tasks; and how many are open at each, and how long they take, counts throughout. So without any plan it goes on by its own
// judgement, and nothing jumps.
package routing

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
)

// State is how a worker stands.
type State uint8

const (
	Well   State = iota
	Out          // it lost tasks: none goes there for a while
	Trying       // one task at a time, to see whether it is back
	Gone         // there is no link to it
	states
)

func (s State) String() string {
	return [...]string{"well", "out", "trying", "gone", "?"}[min(s, states)]
}

type input uint8

const (
	spoke  input = iota // it answered, whatever it said
	soured              // it lost several tasks in a row
	lost                // it lost one
	rested              // it was out for long enough
	cut                 // the link broke
	linked
)

// life is a worker's whole standing; what it does not list changes nothing.
var life = [...]struct {
	in   State
	on   input
	next State
}{
	{Well, soured, Out},
	{Well, cut, Gone},
	{Out, rested, Trying},
	{Out, cut, Gone},
	{Trying, spoke, Well},
	{Trying, lost, Out},
	{Trying, cut, Gone},
	{Gone, linked, Well},
}

// End is how a try ended.
type End uint8

const (
	Finished End = iota
	Rejected     // it never ran
	Errored      // it ran, and failed
	Unsent       // it never left
	Cut          // the link broke while it was there: it may have run
	Late         // nothing came by its due moment
	Dropped      // nobody waits for it any more
)

// Proven tells whether a try that ended so is known not to have run.
func (e End) Proven() bool { return e == Rejected || e == Unsent }

const (
	// sourAfter tries in a row that were lost leave a worker out: one or two are the fate of any.
	sourAfter = 3
	// safeFirst is for how long only tasks that may run twice try a worker that lost some, in seconds: where none comes any will do.
	safeFirst = 1.0
	// restLeast is for how long it is left out at first, doubled each time up to maxRest.
	restLeast, maxRest = 0.25, 4.0
	// firstTook is what a task is taken to last where none has ended, and tookWeight what the latest one weighs: some ten tell.
	firstTook, tookWeight = 0.05, 0.1
	// ghosts is how many open tasks a rejection counts as: it takes a second try too, which a finished one does not.
	ghosts = 2.0
	// leastGhost is how long a rejection counts as an open task at the least.
	leastGhost = 0.05
	// again is the part of all first tries that second ones may be, and maxAgain what may be saved up: in an outage attempts stay under 1.1 a task.
	again, maxAgain = 0.08, 10.0
	// capWeight is what the latest round weighs in what a worker finishes; one that rejects so large a part is full, one that does not may have so much
	// more; leastCap is what all are taken for that finished nothing. ownWeight smooths what follows for the weights.
	capWeight, rejecting, headroom, leastCap, ownWeight = 0.3, 0.02, 1.25, 1.0, 0.3
	// MaxTries of a task: a third would mostly find what the second did.
	MaxTries = 2
	// MaxWorkers bounds the table.
	MaxWorkers = 4096
	// moves is the part of all weight that one plan may move at a forwarder: one that is wrong is found out before all follow it.
	moves = 0.25
)

// worker is one that tasks may go to.
type worker struct {
	name    string
	state   State
	open    int
	trying  bool    // one task is there to see whether it is back
	since   float64 // when it began to be tried
	started float64 // when its link came up last
	sour    int     // tries lost in a row
	rest    float64 // for how long it is left out the next time
	until   float64 // left out, or asked not to come, till then
	took    float64 // what its tasks lately took, 0 where none has ended
	ghost   float64 // rejections that still count as open tasks
	at      float64 // when that was worked out
	plan    float64 // weight by the plan, in the mean 1
	own     float64 // weight by what this forwarder learned, in the mean 1
	cap     float64 // tasks a second that it is taken to finish of this forwarder's
	round   Tally   // since that was learned last
	tally   Tally
}

// Tally is what became of tries at a worker since it was last told.
type Tally struct{ Finished, Rejected, Lost int }

func (w *worker) count(add func(*Tally)) {
	add(&w.round)
	add(&w.tally)
}

// Router is a forwarder's table.
type Router struct {
	seed    uint64
	draws   uint64
	workers []*worker
	byName  map[string]*worker
	fresh   float64 // till when the plan is
	aged    float64 // when nothing of it is left
	budget  float64 // of second tries
	took    float64 // what tasks lately took at any worker
	picks   []float64
	coldAt  float64 // the part of its speed that a worker starts at, 1 where none is taken for cold
	coldFor float64 // how long it takes to be warm
}

// New makes a router that knows no workers.
func New(seed uint64) *Router {
	return &Router{seed: seed, byName: map[string]*worker{}, budget: maxAgain, took: firstTook, coldAt: 1}
}

// Cold tells how workers start, by the settings: at a part of their speed, and evenly up to all of it in so many seconds. A worker counts
// as started when a link to it comes up after there was none.
func (r *Router) Cold(from, lasts float64) {
	if lasts > 0 {
		r.coldAt, r.coldFor = max(0, min(1, from)), lasts
	}
}

// coldPart is what a cold worker is given of the work that its stated speed allows. Forwarders draw each for itself, so what all send to
// one worker in a time is Poisson-like around the sum of their means, however many they are; at 0.8 of the N that it is allowed it goes
// beyond N + 2 sqrt(N) + 2 in at most 16 of 10,000 such times for N from 1 to 100, at N itself in up to 180. See docs/design.md.
const coldPart = 0.8

// warmth is the part of its weight that counts for a worker now.
func (r *Router) warmth(w *worker, now float64) float64 {
	if since := now - w.started; since < r.coldFor {
		return coldPart * (r.coldAt + (1-r.coldAt)*max(0, since)/r.coldFor)
	}
	return 1
}

// Add puts a worker in, without a link; a name that is there already, or that has no room, changes nothing.
func (r *Router) Add(now float64, name string) {
	if r.byName[name] == nil && len(r.workers) < MaxWorkers {
		w := &worker{name: name, state: Gone, rest: restLeast, at: now, plan: 1, own: 1, cap: leastCap}
		r.workers, r.byName[name] = append(r.workers, w), w
	}
}

// step feeds an input to a worker's standing.
func (w *worker) step(on input) {
	for _, row := range life {
		if row.in == w.state && row.on == on {
			w.state = row.next
			return
		}
	}
}

// Linked tells that there is a link to a worker, or that there is none any more.
func (r *Router) Linked(now float64, name string, is bool) {
	w := r.byName[name]
	if w == nil {
		return
	}
	if is {
		if w.state == Gone {
			w.started = now
		}
		w.step(linked)
		w.trying, w.until = false, 0
		return
	}
	w.step(cut)
}

// Plan takes over weights, fresh until a moment and gone as long after it as it was fresh. A worker that they don't name weighs nothing.
func (r *Router) Plan(now float64, weights map[string]float64, until float64) {
	sum := 0.0
	for _, w := range r.workers {
		sum += weights[w.name]
	}
	if !(sum > 0) || math.IsInf(sum, 0) || until <= now {
		return
	}
	// What goes from one worker to another is bounded: the step towards the new weights is cut where it is larger.
	moved := 0.0
	part := r.part(now)
	for _, w := range r.workers {
		w.plan = part*w.plan + (1-part)*w.own // as it weighs now
		moved += math.Abs(weights[w.name]/sum*float64(len(r.workers))-w.plan) / 2
	}
	step := 1.0
	if most := moves * float64(len(r.workers)); moved > most {
		step = most / moved
	}
	for _, w := range r.workers {
		w.plan += step * (weights[w.name]/sum*float64(len(r.workers)) - w.plan)
	}
	r.fresh, r.aged = until, until+(until-now)
}

// part is what of the plan counts: all while it is fresh, nothing once it has aged.
func (r *Router) part(now float64) float64 {
	switch {
	case now <= r.fresh:
		return 1
	case now >= r.aged:
		return 0
	}
	return (r.aged - now) / (r.aged - r.fresh)
}

// Part is part, for those who show it.
func (r *Router) Part(now float64) float64 { return r.part(now) }

// weight is a worker's, 0 where it may have no task now.
func (r *Router) weight(w *worker, now, part float64) float64 {
	if w.state == Out && now >= w.until {
		w.step(rested)
		w.since = now
	}
	switch {
	case w.state == Out || w.state == Gone, now < w.until, w.state == Trying && w.trying:
		return 0
	}
	return (part*w.plan + (1-part)*w.own) * r.warmth(w, now)
}

// Learn works out what workers finish of this forwarder's tasks, a second. It is called every so often, for the time since the last call.
func (r *Router) Learn(seconds float64) {
	sum := 0.0
	for _, w := range r.workers {
		n := &w.round
		rate := float64(n.Finished) / max(seconds, 1e-3)
		switch {
		case float64(n.Rejected+n.Lost) > rejecting*float64(n.Finished+n.Rejected+n.Lost):
			w.cap += capWeight * (max(leastCap, rate) - w.cap)
		case rate*headroom > w.cap:
			w.cap += capWeight * (rate*headroom - w.cap)
		}
		*n = Tally{}
		sum += w.cap
	}
	for _, w := range r.workers {
		w.own += ownWeight * (w.cap*float64(len(r.workers))/sum - w.own)
	}
}

// expects is how long a task would take there, for comparing.
func (r *Router) expects(w *worker, now float64) float64 {
	r.fade(w, now)
	took := w.took
	if took == 0 {
		took = r.took
	}
	return (float64(w.open) + w.ghost + 1) * took
}

// fade has rejections count as open tasks for about as long as tasks take anywhere: a slow worker that rejects at once looks as idle as a fast one otherwise,
// and draws all.
func (r *Router) fade(w *worker, now float64) {
	if now > w.at {
		w.ghost *= math.Exp(-(now - w.at) / max(leastGhost, r.took))
		w.at = now
	}
}

// draw is the next number from 0 up to 1.
func (r *Router) draw() float64 {
	r.draws++
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], r.seed)
	binary.LittleEndian.PutUint64(b[8:], r.draws)
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// Pick chooses a worker for a task, "" where none may have it; back is when one may again, in seconds, as far as that is known. Two are drawn by
// weight, and the one where the task is expected to take less has it. Except are those that had it before; safe is a task that may run twice: only
// such ones try a worker that lost some.
func (r *Router) Pick(now float64, safe bool, except ...string) (name string, back float64) {
	part := r.part(now)
	sum, next := 0.0, math.Inf(1)
	r.picks = r.picks[:0]
	for _, w := range r.workers {
		weight := r.weight(w, now, part)
		if slices.Contains(except, w.name) || w.state == Trying && !safe && now < w.since+safeFirst {
			weight = 0
		}
		if weight == 0 && w.state != Gone && w.until > now {
			next = min(next, w.until-now)
		}
		sum += weight
		r.picks = append(r.picks, sum)
	}
	if sum <= 0 {
		if math.IsInf(next, 1) {
			next = 0
		}
		return "", next
	}
	first, second := r.at(sum*r.draw()), r.at(sum*r.draw())
	if r.warmth(second, now) == 1 && r.expects(second, now) < r.expects(first, now) { // a cold one is idle, and would draw twice its part
		first = second
	}
	return first.name, 0
}

// at is the worker into whose part of the weights a number falls.
func (r *Router) at(x float64) *worker {
	i, _ := slices.BinarySearch(r.picks, x)
	for i < len(r.picks)-1 && r.picks[i] <= x { // the end of a part belongs to the next, and those without weight have none
		i++
	}
	return r.workers[min(i, len(r.workers)-1)]
}

// Began tells that a task went to a worker, as its nth try.
func (r *Router) Began(now float64, name string, try int) {
	w := r.byName[name]
	if w == nil {
		return
	}
	w.open++
	if w.state == Trying {
		w.trying = true
	}
	if try == 1 {
		r.budget = min(maxAgain, r.budget+again)
	}
}

// Ended tells how a try ended after so many seconds; advice is for how long its worker wants no more, 0 where it did not say.
func (r *Router) Ended(now float64, name string, end End, took, advice float64) {
	w := r.byName[name]
	if w == nil {
		return
	}
	w.open = max(0, w.open-1)
	r.fade(w, now)
	switch end {
	case Finished:
		r.took += tookWeight / 10 * (took - r.took)
		if w.took == 0 {
			w.took = took
		}
		w.took += tookWeight * (took - w.took)
		w.count(func(t *Tally) { t.Finished++ })
	case Rejected:
		w.ghost += ghosts
		w.count(func(t *Tally) { t.Rejected++ })
		w.until = max(w.until, now+min(advice, maxRest))
	case Cut, Late:
		w.count(func(t *Tally) { t.Lost++ })
	}
	switch end {
	case Finished, Rejected, Errored:
		w.sour, w.rest, w.trying = 0, restLeast, false
		w.step(spoke)
	case Cut, Late:
		if w.sour++; w.state == Trying || w.state == Well && w.sour >= sourAfter {
			w.until, w.rest, w.trying = now+w.rest, min(maxRest, 2*w.rest), false
			w.step(lost)
			w.step(soured)
		}
	case Unsent, Dropped:
		w.trying = false
	}
}

// Again tells whether a task may have another try after one that ended so, with so much time left: where it is known not to have run, or may run
// twice; where a typical run fits; and as far as the budget of second tries goes.
func (r *Router) Again(end End, tries int, safe bool, left, typical float64) bool {
	if tries >= MaxTries || end == Finished || end == Dropped || end == Late || !end.Proven() && !safe || end == Errored || left <= typical || r.budget < 1 {
		return false
	}
	r.budget--
	return true
}

// Seen is what a forwarder tells of a worker.
type Seen struct {
	Name  string
	State State
	Open  int
	Tally
}

// Tell lists all workers and begins their tallies anew.
func (r *Router) Tell() (list []Seen) {
	for _, w := range r.workers {
		list = append(list, Seen{w.name, w.state, w.open, w.tally})
		w.tally = Tally{}
	}
	return list
}

// Standing is a worker's state.
func (r *Router) Standing(name string) State {
	if w := r.byName[name]; w != nil {
		return w.state
	}
	return Gone
}

// Linked workers are those that tasks may go to at some time.
func (r *Router) Links() (n int) {
	for _, w := range r.workers {
		if w.state != Gone {
			n++
		}
	}
	return n
}
