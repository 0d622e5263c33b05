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

// WorkerState is how a worker stands.
type WorkerState uint8

const (
	Healthy      WorkerState = iota
	Ejected                  // it lost tasks: none goes there for a while
	Probing                  // one task at a time, to see whether it is back
	Disconnected             // there is no link to it
	workerStates
)

func (s WorkerState) String() string {
	return [...]string{"well", "out", "trying", "gone", "?"}[min(s, workerStates)]
}

type workerEvent uint8

const (
	responded               workerEvent = iota // it answered, whatever it said
	failureThresholdReached                    // it lost several tasks in a row
	attemptLost                                // it lost one
	ejectionExpired                            // it was out for long enough
	disconnected                               // the link broke
	connected
)

// transitions is a worker's whole standing; what it does not list changes nothing.
var transitions = [...]struct {
	in   WorkerState
	on   workerEvent
	next WorkerState
}{
	{Healthy, failureThresholdReached, Ejected},
	{Healthy, disconnected, Disconnected},
	{Ejected, ejectionExpired, Probing},
	{Ejected, disconnected, Disconnected},
	{Probing, responded, Healthy},
	{Probing, attemptLost, Ejected},
	{Probing, disconnected, Disconnected},
	{Disconnected, connected, Healthy},
}

// Outcome is how a try ended.
type Outcome uint8

const (
	Finished       Outcome = iota
	Rejected               // it never ran
	Failed                 // it ran, and failed
	NotSent                // it never left
	ConnectionLost         // the link broke while it was there: it may have run
	TimedOut               // nothing came by its due moment
	Cancelled              // nobody waits for it any more
)

// KnownNotExecuted tells whether a try that ended so is known not to have run.
func (e Outcome) KnownNotExecuted() bool { return e == Rejected || e == NotSent }

const (
	// maxConsecutiveLosses tries in a row that were lost leave a worker out: one or two are the fate of any.
	maxConsecutiveLosses = 3
	// idempotentProbeSeconds is for how long only tasks that may run twice try a worker that lost some, in seconds: where none comes any will do.
	idempotentProbeSeconds = 1.0
	// minEjectionSeconds is for how long it is left out at first, doubled each time up to maxRest.
	minEjectionSeconds, maxEjectionSeconds = 0.25, 4.0
	// initialLatency is what a task is taken to last where none has ended, and tookWeight what the latest one weighs: some ten tell.
	initialLatency, latencySmoothing = 0.05, 0.1
	// rejectionPenalty is how many open tasks a rejection counts as: it takes a second try too, which a finished one does not.
	rejectionPenalty = 2.0
	// minPenaltyDecaySeconds is how long a rejection counts as an open task at the least.
	minPenaltyDecaySeconds = 0.05
	// retryRatio is the part of all first tries that second ones may be, and maxAgain what may be saved up: in an outage attempts stay under 1.1 a task.
	retryRatio, maxRetryTokens = 0.08, 10.0
	// capacitySmoothing is what the latest round weighs in what a worker finishes; one that rejects so large a part is full, one that does not may have so much
	// more; leastCap is what all are taken for that finished nothing. ownWeight smooths what follows for the weights.
	capacitySmoothing, overloadRatio, capacityHeadroom, minCapacity, localWeightSmoothing = 0.3, 0.02, 1.25, 1.0, 0.3
	// MaxAttempts of a task: a third would mostly find what the second did.
	MaxAttempts = 2
	// MaxWorkers bounds the table.
	MaxWorkers = 4096
	// maxPlanShift is the part of all weight that one plan may move at a forwarder: one that is wrong is found out before all follow it.
	maxPlanShift = 0.25
)

// worker is one that tasks may go to.
type worker struct {
	name              string
	state             WorkerState
	inFlight          int
	probeInFlight     bool          // one task is there to see whether it is back
	probingSince      float64       // when it began to be tried
	connectedAt       float64       // when its link came up last
	consecutiveLosses int           // tries lost in a row
	nextEjection      float64       // for how long it is left out the next time
	unavailableUntil  float64       // left out, or asked not to come, till then
	latency           float64       // what its tasks lately took, 0 where none has ended
	penalty           float64       // rejections that still count as open tasks
	penaltyAt         float64       // when that was worked out
	planWeight        float64       // weight by the plan, in the mean 1
	localWeight       float64       // weight by what this forwarder learned, in the mean 1
	capacity          float64       // tasks a second that it is taken to finish of this forwarder's
	roundCounts       AttemptCounts // since that was learned last
	reportCounts      AttemptCounts
}

// AttemptCounts is what became of tries at a worker since it was last told.
type AttemptCounts struct{ Finished, Rejected, Lost int }

func (w *worker) count(add func(*AttemptCounts)) {
	add(&w.roundCounts)
	add(&w.reportCounts)
}

// Router is a forwarder's table.
type Router struct {
	seed              uint64
	draws             uint64
	workers           []*worker
	byName            map[string]*worker
	planFreshUntil    float64 // till when the plan is
	planExpiresAt     float64 // when nothing of it is left
	retryTokens       float64 // of second tries
	latency           float64 // what tasks lately took at any worker
	cumulativeWeights []float64
	slowStartSpeed    float64 // the part of its speed that a worker starts at, 1 where none is taken for cold
	slowStartSeconds  float64 // how long it takes to be warm
}

// New makes a router that knows no workers.
func New(seed uint64) *Router {
	return &Router{seed: seed, byName: map[string]*worker{}, retryTokens: maxRetryTokens, latency: initialLatency, slowStartSpeed: 1}
}

// SetSlowStart tells how workers start, by the settings: at a part of their speed, and evenly up to all of it in so many seconds. A worker counts
// as started when a link to it comes up after there was none.
func (r *Router) SetSlowStart(from, lasts float64) {
	if lasts > 0 {
		r.slowStartSpeed, r.slowStartSeconds = max(0, min(1, from)), lasts
	}
}

// slowStartMargin is what a cold worker is given of the work that its stated speed allows. Forwarders draw each for itself, so what all send to
// one worker in a time is Poisson-like around the sum of their means, however many they are; at 0.8 of the N that it is allowed it goes
// beyond N + 2 sqrt(N) + 2 in at most 16 of 10,000 such times for N from 1 to 100, at N itself in up to 180. See docs/design.md.
const slowStartMargin = 0.8

// slowStartFactor is the part of its weight that counts for a worker now.
func (r *Router) slowStartFactor(w *worker, now float64) float64 {
	if since := now - w.connectedAt; since < r.slowStartSeconds {
		return slowStartMargin * (r.slowStartSpeed + (1-r.slowStartSpeed)*max(0, since)/r.slowStartSeconds)
	}
	return 1
}

// AddWorker puts a worker in, without a link; a name that is there already, or that has no room, changes nothing.
func (r *Router) AddWorker(now float64, name string) {
	if r.byName[name] == nil && len(r.workers) < MaxWorkers {
		w := &worker{name: name, state: Disconnected, nextEjection: minEjectionSeconds, penaltyAt: now, planWeight: 1, localWeight: 1, capacity: minCapacity}
		r.workers, r.byName[name] = append(r.workers, w), w
	}
}

// handleEvent feeds an input to a worker's standing.
func (w *worker) handleEvent(on workerEvent) {
	for _, row := range transitions {
		if row.in == w.state && row.on == on {
			w.state = row.next
			return
		}
	}
}

// SetConnected tells that there is a link to a worker, or that there is none any more.
func (r *Router) SetConnected(now float64, name string, is bool) {
	w := r.byName[name]
	if w == nil {
		return
	}
	if is {
		if w.state == Disconnected {
			w.connectedAt = now
		}
		w.handleEvent(connected)
		w.probeInFlight, w.unavailableUntil = false, 0
		return
	}
	w.handleEvent(disconnected)
}

// ApplyPlan takes over weights, fresh until a moment and gone as long after it as it was fresh. A worker that they don't name weighs nothing.
func (r *Router) ApplyPlan(now float64, weights map[string]float64, until float64) {
	sum := 0.0
	for _, w := range r.workers {
		sum += weights[w.name]
	}
	if !(sum > 0) || math.IsInf(sum, 0) || until <= now {
		return
	}
	// What goes from one worker to another is bounded: the step towards the new weights is cut where it is larger.
	moved := 0.0
	part := r.planInfluence(now)
	for _, w := range r.workers {
		w.planWeight = part*w.planWeight + (1-part)*w.localWeight // as it weighs now
		moved += math.Abs(weights[w.name]/sum*float64(len(r.workers))-w.planWeight) / 2
	}
	step := 1.0
	if most := maxPlanShift * float64(len(r.workers)); moved > most {
		step = most / moved
	}
	for _, w := range r.workers {
		w.planWeight += step * (weights[w.name]/sum*float64(len(r.workers)) - w.planWeight)
	}
	r.planFreshUntil, r.planExpiresAt = until, until+(until-now)
}

// planInfluence is what of the plan counts: all while it is fresh, nothing once it has aged.
func (r *Router) planInfluence(now float64) float64 {
	switch {
	case now <= r.planFreshUntil:
		return 1
	case now >= r.planExpiresAt:
		return 0
	}
	return (r.planExpiresAt - now) / (r.planExpiresAt - r.planFreshUntil)
}

// PlanInfluence is part, for those who show it.
func (r *Router) PlanInfluence(now float64) float64 { return r.planInfluence(now) }

// weight is a worker's, 0 where it may have no task now.
func (r *Router) weight(w *worker, now, part float64) float64 {
	if w.state == Ejected && now >= w.unavailableUntil {
		w.handleEvent(ejectionExpired)
		w.probingSince = now
	}
	switch {
	case w.state == Ejected || w.state == Disconnected, now < w.unavailableUntil, w.state == Probing && w.probeInFlight:
		return 0
	}
	return (part*w.planWeight + (1-part)*w.localWeight) * r.slowStartFactor(w, now)
}

// LearnCapacity works out what workers finish of this forwarder's tasks, a second. It is called every so often, for the time since the last call.
func (r *Router) LearnCapacity(seconds float64) {
	sum := 0.0
	for _, w := range r.workers {
		n := &w.roundCounts
		rate := float64(n.Finished) / max(seconds, 1e-3)
		switch {
		case float64(n.Rejected+n.Lost) > overloadRatio*float64(n.Finished+n.Rejected+n.Lost):
			w.capacity += capacitySmoothing * (max(minCapacity, rate) - w.capacity)
		case rate*capacityHeadroom > w.capacity:
			w.capacity += capacitySmoothing * (rate*capacityHeadroom - w.capacity)
		}
		*n = AttemptCounts{}
		sum += w.capacity
	}
	for _, w := range r.workers {
		w.localWeight += localWeightSmoothing * (w.capacity*float64(len(r.workers))/sum - w.localWeight)
	}
}

// expectedLatency is how long a task would take there, for comparing.
func (r *Router) expectedLatency(w *worker, now float64) float64 {
	r.decayPenalty(w, now)
	took := w.latency
	if took == 0 {
		took = r.latency
	}
	return (float64(w.inFlight) + w.penalty + 1) * took
}

// decayPenalty has rejections count as open tasks for about as long as tasks take anywhere: a slow worker that rejects at once looks as idle as a fast one otherwise,
// and draws all.
func (r *Router) decayPenalty(w *worker, now float64) {
	if now > w.penaltyAt {
		w.penalty *= math.Exp(-(now - w.penaltyAt) / max(minPenaltyDecaySeconds, r.latency))
		w.penaltyAt = now
	}
}

// random is the next number from 0 up to 1.
func (r *Router) random() float64 {
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
	part := r.planInfluence(now)
	sum, next := 0.0, math.Inf(1)
	r.cumulativeWeights = r.cumulativeWeights[:0]
	for _, w := range r.workers {
		weight := r.weight(w, now, part)
		if slices.Contains(except, w.name) || w.state == Probing && !safe && now < w.probingSince+idempotentProbeSeconds {
			weight = 0
		}
		if weight == 0 && w.state != Disconnected && w.unavailableUntil > now {
			next = min(next, w.unavailableUntil-now)
		}
		sum += weight
		r.cumulativeWeights = append(r.cumulativeWeights, sum)
	}
	if sum <= 0 {
		if math.IsInf(next, 1) {
			next = 0
		}
		return "", next
	}
	first, second := r.workerAt(sum*r.random()), r.workerAt(sum*r.random())
	if r.slowStartFactor(second, now) == 1 && r.expectedLatency(second, now) < r.expectedLatency(first, now) { // a cold one is idle, and would draw twice its part
		first = second
	}
	return first.name, 0
}

// workerAt is the worker into whose part of the weights a number falls.
func (r *Router) workerAt(x float64) *worker {
	i, _ := slices.BinarySearch(r.cumulativeWeights, x)
	for i < len(r.cumulativeWeights)-1 && r.cumulativeWeights[i] <= x { // the end of a part belongs to the next, and those without weight have none
		i++
	}
	return r.workers[min(i, len(r.workers)-1)]
}

// StartAttempt tells that a task went to a worker, as its nth try.
func (r *Router) StartAttempt(now float64, name string, try int) {
	w := r.byName[name]
	if w == nil {
		return
	}
	w.inFlight++
	if w.state == Probing {
		w.probeInFlight = true
	}
	if try == 1 {
		r.retryTokens = min(maxRetryTokens, r.retryTokens+retryRatio)
	}
}

// FinishAttempt tells how a try ended after so many seconds; advice is for how long its worker wants no more, 0 where it did not say.
func (r *Router) FinishAttempt(now float64, name string, end Outcome, took, advice float64) {
	w := r.byName[name]
	if w == nil {
		return
	}
	w.inFlight = max(0, w.inFlight-1)
	r.decayPenalty(w, now)
	switch end {
	case Finished:
		r.latency += latencySmoothing / 10 * (took - r.latency)
		if w.latency == 0 {
			w.latency = took
		}
		w.latency += latencySmoothing * (took - w.latency)
		w.count(func(t *AttemptCounts) { t.Finished++ })
	case Rejected:
		w.penalty += rejectionPenalty
		w.count(func(t *AttemptCounts) { t.Rejected++ })
		w.unavailableUntil = max(w.unavailableUntil, now+min(advice, maxEjectionSeconds))
	case ConnectionLost, TimedOut:
		w.count(func(t *AttemptCounts) { t.Lost++ })
	}
	switch end {
	case Finished, Rejected, Failed:
		w.consecutiveLosses, w.nextEjection, w.probeInFlight = 0, minEjectionSeconds, false
		w.handleEvent(responded)
	case ConnectionLost, TimedOut:
		if w.consecutiveLosses++; w.state == Probing || w.state == Healthy && w.consecutiveLosses >= maxConsecutiveLosses {
			w.unavailableUntil, w.nextEjection, w.probeInFlight = now+w.nextEjection, min(maxEjectionSeconds, 2*w.nextEjection), false
			w.handleEvent(attemptLost)
			w.handleEvent(failureThresholdReached)
		}
	case NotSent, Cancelled:
		w.probeInFlight = false
	}
}

// AllowRetry tells whether a task may have another try after one that ended so, with so much time left: where it is known not to have run, or may run
// twice; where a typical run fits; and as far as the budget of second tries goes.
func (r *Router) AllowRetry(end Outcome, tries int, safe bool, left, typical float64) bool {
	if tries >= MaxAttempts || end == Finished || end == Cancelled || end == TimedOut || !end.KnownNotExecuted() && !safe || end == Failed || left <= typical || r.retryTokens < 1 {
		return false
	}
	r.retryTokens--
	return true
}

// WorkerStats is what a forwarder tells of a worker.
type WorkerStats struct {
	Name     string
	State    WorkerState
	InFlight int
	AttemptCounts
}

// TakeStats lists all workers and begins their tallies anew.
func (r *Router) TakeStats() (list []WorkerStats) {
	for _, w := range r.workers {
		list = append(list, WorkerStats{w.name, w.state, w.inFlight, w.reportCounts})
		w.reportCounts = AttemptCounts{}
	}
	return list
}

// WorkerState is a worker's state.
func (r *Router) WorkerState(name string) WorkerState {
	if w := r.byName[name]; w != nil {
		return w.state
	}
	return Disconnected
}

// Linked workers are those that tasks may go to at some time.
func (r *Router) ConnectedWorkers() (n int) {
	for _, w := range r.workers {
		if w.state != Disconnected {
			n++
		}
	}
	return n
}
