// Package simulation plays a fleet in simulated time: clients, balancers, servers whose decisions are made by package choice itself, and their
// failures. There is no goroutine and no clock in it, and chance comes from a seed, so the same scenario gives the same report to the byte.
package simulation

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"swiftcourse/internal/timerwheel"
)

// clock is simulated time and chance.
type clock struct {
	now    float64
	timers timerwheel.Wheel
	random *rand.Rand
	events int
}

func newClock(seed uint64) *clock { return &clock{random: rand.New(rand.NewPCG(seed, 1))} }

// after has do called so many seconds from now.
func (w *clock) after(seconds float64, do func()) timerwheel.Timer {
	return w.timers.Schedule(w.now+max(0, seconds), do)
}

// run lets time pass until then.
func (w *clock) run(until float64) {
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
func (w *clock) exponential(mean float64) float64 { return mean * w.random.ExpFloat64() }

// machine runs work on cores that all of it shares equally: each run has the speed of a core, or of its part of all of them where there are more
// runs than cores. It counts in the work that each run has had since the machine was last empty, so a change costs a step in a heap.
type machine struct {
	clock       *clock
	cores       float64
	speed       float64 // of a core; 1 is usual
	workPerRun  float64 // seconds of a usual core that each run has had
	updatedAt   float64 // when that was so
	heap        runHeap
	timer       timerwheel.Timer
	completeDue func()
	onRunCount  func(n int) // hears of each change of the number of runs
	totalWork   float64     // seconds of a usual core, in all
}

// machineRun is a run on a machine.
type machineRun struct {
	finish float64 // what each run will have had when it is done
	order  int     // of equal ones the first comes first
	index  int
	onDone func()
}

type runHeap struct {
	runs  []*machineRun
	added int
}

func (h *runHeap) Len() int { return len(h.runs) }
func (h *runHeap) Less(i, j int) bool {
	a, b := h.runs[i], h.runs[j]
	return a.finish < b.finish || a.finish == b.finish && a.order < b.order
}
func (h *runHeap) Swap(i, j int) {
	h.runs[i], h.runs[j] = h.runs[j], h.runs[i]
	h.runs[i].index, h.runs[j].index = i, j
}
func (h *runHeap) Push(x any) {
	j := x.(*machineRun)
	j.index = len(h.runs)
	h.runs = append(h.runs, j)
}
func (h *runHeap) Pop() any {
	j := h.runs[len(h.runs)-1]
	h.runs = h.runs[:len(h.runs)-1]
	j.index = -1
	return j
}

func newMachine(w *clock, cores int) *machine {
	m := &machine{clock: w, cores: float64(cores), speed: 1}
	m.completeDue = m.completeRuns
	return m
}

// rate is how much work each run has in a second.
func (m *machine) rate() float64 {
	return m.speed * min(1, m.cores/float64(max(1, m.heap.Len())))
}

func (m *machine) advance() {
	had := (m.clock.now - m.updatedAt) * m.rate()
	m.totalWork += had * float64(m.heap.Len())
	m.workPerRun += had
	m.updatedAt = m.clock.now
	if m.heap.Len() == 0 {
		m.workPerRun = 0 // it starts anew, so that it stays exact
	}
}

// run starts a run of so many seconds of a usual core.
func (m *machine) run(work float64, done func()) *machineRun {
	m.advance()
	m.heap.added++
	j := &machineRun{finish: m.workPerRun + work, order: m.heap.added, onDone: done}
	heap.Push(&m.heap, j)
	m.reschedule()
	return j
}

// stop takes a run off.
func (m *machine) stop(j *machineRun) {
	if j.index < 0 {
		return
	}
	m.advance()
	heap.Remove(&m.heap, j.index)
	m.reschedule()
}

// setSpeed sets that of a core.
func (m *machine) setSpeed(speed float64) {
	m.advance()
	m.speed = speed
	m.reschedule()
}

// clear takes all runs off.
func (m *machine) clear() {
	m.advance()
	for m.heap.Len() > 0 {
		heap.Pop(&m.heap)
	}
	m.reschedule()
}

func (m *machine) reschedule() {
	if m.onRunCount != nil {
		m.onRunCount(m.heap.Len())
	}
	if m.heap.Len() == 0 {
		m.clock.timers.Cancel(m.timer)
		return
	}
	when := m.updatedAt + max(0, m.heap.runs[0].finish-m.workPerRun)/m.rate()
	if !m.clock.timers.Reschedule(m.timer, when) {
		m.timer = m.clock.timers.Schedule(when, m.completeDue)
	}
}

// workEpsilon is the work by which a run may be short and count as done: far under anything told, far over what is lost in adding.
const workEpsilon = 1e-9

func (m *machine) completeRuns() {
	m.advance()
	var done []*machineRun
	for m.heap.Len() > 0 && m.heap.runs[0].finish <= m.workPerRun+workEpsilon {
		done = append(done, heap.Pop(&m.heap).(*machineRun))
	}
	m.reschedule()
	for _, j := range done {
		j.onDone()
	}
}
