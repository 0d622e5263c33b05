// Package simulation plays a fleet in simulated time: clients, balancers, servers whose decisions are made by package choice itself, and their
// failures. There is no goroutine and no clock in it, and chance comes from a seed, so the same scenario gives the same report to the byte.
package simulation

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"swiftcourse/internal/timerwheel"
)

// world is simulated time and chance.
type world struct {
	now    float64
	timers timerwheel.Wheel
	chance *rand.Rand
	events int
}

func newWorld(seed uint64) *world { return &world{chance: rand.New(rand.NewPCG(seed, 1))} }

// after has do called so many seconds from now.
func (w *world) after(seconds float64, do func()) timerwheel.Timer {
	return w.timers.Schedule(w.now+max(0, seconds), do)
}

// run lets time pass until then.
func (w *world) run(until float64) {
	for {
		next := w.timers.NextWakeup()
		if next > until {
			w.now = until
			return
		}
		w.now = max(w.now, next)
		before := w.timers.Len()
		w.timers.Advance(w.now, math.MaxInt32/64)
		w.events += max(1, before-w.timers.Len())
	}
}

// exponential draws a duration of that mean.
func (w *world) exponential(mean float64) float64 { return mean * w.chance.ExpFloat64() }

// machine runs work on cores that all of it shares equally: each run has the speed of a core, or of its part of all of them where there are more
// runs than cores. It counts in the work that each run has had since the machine was last empty, so a change costs a step in a heap.
type machine struct {
	w       *world
	cores   float64
	speed   float64 // of a core; 1 is usual
	had     float64 // seconds of a usual core that each run has had
	at      float64 // when that was so
	runs    runHeap
	timer   timerwheel.Timer
	fire    func()
	crowded func(n int) // hears of each change of the number of runs
	worked  float64     // seconds of a usual core, in all
}

// job is a run on a machine.
type job struct {
	finish float64 // what each run will have had when it is done
	order  int     // of equal ones the first comes first
	index  int
	done   func()
}

type runHeap struct {
	jobs  []*job
	added int
}

func (h *runHeap) Len() int { return len(h.jobs) }
func (h *runHeap) Less(i, j int) bool {
	a, b := h.jobs[i], h.jobs[j]
	return a.finish < b.finish || a.finish == b.finish && a.order < b.order
}
func (h *runHeap) Swap(i, j int) {
	h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i]
	h.jobs[i].index, h.jobs[j].index = i, j
}
func (h *runHeap) Push(x any) {
	j := x.(*job)
	j.index = len(h.jobs)
	h.jobs = append(h.jobs, j)
}
func (h *runHeap) Pop() any {
	j := h.jobs[len(h.jobs)-1]
	h.jobs = h.jobs[:len(h.jobs)-1]
	j.index = -1
	return j
}

func newMachine(w *world, cores int) *machine {
	m := &machine{w: w, cores: float64(cores), speed: 1}
	m.fire = m.ripe
	return m
}

// rate is how much work each run has in a second.
func (m *machine) rate() float64 {
	return m.speed * min(1, m.cores/float64(max(1, m.runs.Len())))
}

func (m *machine) advance() {
	had := (m.w.now - m.at) * m.rate()
	m.worked += had * float64(m.runs.Len())
	m.had += had
	m.at = m.w.now
	if m.runs.Len() == 0 {
		m.had = 0 // it starts anew, so that it stays exact
	}
}

// run starts a run of so many seconds of a usual core.
func (m *machine) run(work float64, done func()) *job {
	m.advance()
	m.runs.added++
	j := &job{finish: m.had + work, order: m.runs.added, done: done}
	heap.Push(&m.runs, j)
	m.changed()
	return j
}

// stop takes a run off.
func (m *machine) stop(j *job) {
	if j.index < 0 {
		return
	}
	m.advance()
	heap.Remove(&m.runs, j.index)
	m.changed()
}

// setSpeed sets that of a core.
func (m *machine) setSpeed(speed float64) {
	m.advance()
	m.speed = speed
	m.changed()
}

// clear takes all runs off.
func (m *machine) clear() {
	m.advance()
	for m.runs.Len() > 0 {
		heap.Pop(&m.runs)
	}
	m.changed()
}

func (m *machine) changed() {
	if m.crowded != nil {
		m.crowded(m.runs.Len())
	}
	if m.runs.Len() == 0 {
		m.w.timers.Cancel(m.timer)
		return
	}
	when := m.at + max(0, m.runs.jobs[0].finish-m.had)/m.rate()
	if !m.w.timers.Reschedule(m.timer, when) {
		m.timer = m.w.timers.Schedule(when, m.fire)
	}
}

// enough is the work by which a run may be short and count as done: far under anything told, far over what is lost in adding.
const enough = 1e-9

func (m *machine) ripe() {
	m.advance()
	var done []*job
	for m.runs.Len() > 0 && m.runs.jobs[0].finish <= m.had+enough {
		done = append(done, heap.Pop(&m.runs).(*job))
	}
	m.changed()
	for _, j := range done {
		j.done()
	}
}
