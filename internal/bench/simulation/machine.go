package simulation

import (
	"container/heap"

	"swiftcourse/internal/timerwheel"
)

// machine is a processor-sharing queue: each run progresses at the speed of a core, or at its equal
// share of all cores if there are more runs than cores. All runs progress at the same rate, so the
// machine keeps one counter of the work per run since it was last idle, and orders runs by the
// counter value at which they end.
type machine struct {
	clock       *clock
	cores       float64
	speed       float64 // of a core; 1 is normal
	workPerRun  float64 // work done for each run since the machine was last idle, in seconds of a normal core
	updatedAt   float64 // time at which workPerRun was updated
	active      runHeap
	timer       timerwheel.Timer // fires when the next run ends
	completeDue func()           // completeRuns as a function value, created once
	onRunCount  func(n int)      // called after each change of the number of runs
	totalWork   float64          // work done for all runs, in seconds of a normal core
}

// machineRun is a run on a machine.
type machineRun struct {
	finish float64 // value of workPerRun at which the run ends
	order  int     // breaks ties of finish: the run that started first ends first
	index  int     // in the heap; -1 after removal
	onDone func()
}

// runHeap is a heap of runs ordered by their end, for package container/heap.
type runHeap struct {
	runs      []*machineRun
	pushCount int
}

// Len returns the number of runs.
func (h *runHeap) Len() int { return len(h.runs) }

// Less reports whether a run ends before another.
func (h *runHeap) Less(i, j int) bool {
	a, b := h.runs[i], h.runs[j]
	return a.finish < b.finish || a.finish == b.finish && a.order < b.order
}

// Swap exchanges two runs.
func (h *runHeap) Swap(i, j int) {
	h.runs[i], h.runs[j] = h.runs[j], h.runs[i]
	h.runs[i].index = i
	h.runs[j].index = j
}

// Push adds a run at the end.
func (h *runHeap) Push(x any) {
	run := x.(*machineRun)
	run.index = len(h.runs)
	h.runs = append(h.runs, run)
}

// Pop removes the run at the end.
func (h *runHeap) Pop() any {
	run := h.runs[len(h.runs)-1]
	h.runs = h.runs[:len(h.runs)-1]
	run.index = -1
	return run
}

// newMachine returns an idle machine.
func newMachine(c *clock, cores int) *machine {
	m := &machine{clock: c, cores: float64(cores), speed: 1}
	m.completeDue = m.completeRuns
	return m
}

// rate returns the work done for each run per second.
func (m *machine) rate() float64 {
	return m.speed * min(1, m.cores/float64(max(1, m.active.Len())))
}

// advance updates the work counters to the present time.
func (m *machine) advance() {
	work := (m.clock.now - m.updatedAt) * m.rate()
	m.totalWork += work * float64(m.active.Len())
	m.workPerRun += work
	m.updatedAt = m.clock.now
	if m.active.Len() == 0 {
		m.workPerRun = 0 // keeps rounding errors from accumulating
	}
}

// start starts a run with the given work, in seconds of a normal core, and calls onDone when it
// ends.
func (m *machine) start(work float64, onDone func()) *machineRun {
	m.advance()
	m.active.pushCount++
	run := &machineRun{finish: m.workPerRun + work, order: m.active.pushCount, onDone: onDone}
	heap.Push(&m.active, run)
	m.reschedule()
	return run
}

// stop removes a run that has not ended, without calling its onDone.
func (m *machine) stop(run *machineRun) {
	if run.index < 0 {
		return
	}
	m.advance()
	heap.Remove(&m.active, run.index)
	m.reschedule()
}

// setSpeed sets the speed of a core.
func (m *machine) setSpeed(speed float64) {
	m.advance()
	m.speed = speed
	m.reschedule()
}

// clear removes all runs without calling their onDone.
func (m *machine) clear() {
	m.advance()
	for m.active.Len() > 0 {
		heap.Pop(&m.active)
	}
	m.reschedule()
}

// reschedule sets the timer for the end of the next run.
func (m *machine) reschedule() {
	if m.onRunCount != nil {
		m.onRunCount(m.active.Len())
	}
	if m.active.Len() == 0 {
		m.clock.timers.Cancel(m.timer)
		return
	}
	when := m.updatedAt + max(0, m.active.runs[0].finish-m.workPerRun)/m.rate()
	if !m.clock.timers.Reschedule(m.timer, when) {
		m.timer = m.clock.timers.Schedule(when, m.completeDue)
	}
}

// workEpsilon is the remaining work, in seconds, at which a run counts as done: well above rounding
// errors, and too small to change a reported figure.
const workEpsilon = 1e-9

// completeRuns ends the runs that are done.
func (m *machine) completeRuns() {
	m.advance()
	var done []*machineRun
	for m.active.Len() > 0 && m.active.runs[0].finish <= m.workPerRun+workEpsilon {
		done = append(done, heap.Pop(&m.active).(*machineRun))
	}
	m.reschedule()
	for _, run := range done {
		run.onDone()
	}
}
