package simulation

import (
	"container/heap"

	"swiftcourse/internal/timerwheel"
)

// machine shares its cores equally among runs: each run has the speed of a core, or its share of
// all cores if there are more runs than cores. It counts in the work that each run has had since
// the machine was last empty, so a change costs one step in a heap.
type machine struct {
	clock       *clock
	cores       float64
	speed       float64 // of a core; 1 is normal
	workPerRun  float64 // seconds of a normal core that each run has had
	updatedAt   float64 // the time of workPerRun
	heap        runHeap
	timer       timerwheel.Timer
	completeDue func()
	onRunCount  func(n int) // called after each change of the number of runs
	totalWork   float64     // seconds of a normal core, of all runs
}

// machineRun is a run on a machine.
type machineRun struct {
	finish float64 // workPerRun at which it is done
	order  int     // of equal ones the first goes first
	index  int
	onDone func()
}

// runHeap orders runs by their end, for package container/heap.
type runHeap struct {
	runs  []*machineRun
	added int
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

// newMachine makes an idle machine.
func newMachine(c *clock, cores int) *machine {
	m := &machine{clock: c, cores: float64(cores), speed: 1}
	m.completeDue = m.completeRuns
	return m
}

// rate is the work that each run has in a second.
func (m *machine) rate() float64 {
	return m.speed * min(1, m.cores/float64(max(1, m.heap.Len())))
}

// advance brings the work of the runs up to the present.
func (m *machine) advance() {
	work := (m.clock.now - m.updatedAt) * m.rate()
	m.totalWork += work * float64(m.heap.Len())
	m.workPerRun += work
	m.updatedAt = m.clock.now
	if m.heap.Len() == 0 {
		m.workPerRun = 0 // it starts again at 0, so that it stays exact
	}
}

// run starts a run of that many seconds of a normal core.
func (m *machine) run(work float64, done func()) *machineRun {
	m.advance()
	m.heap.added++
	run := &machineRun{finish: m.workPerRun + work, order: m.heap.added, onDone: done}
	heap.Push(&m.heap, run)
	m.reschedule()
	return run
}

// stop removes a run, if it has not ended.
func (m *machine) stop(run *machineRun) {
	if run.index < 0 {
		return
	}
	m.advance()
	heap.Remove(&m.heap, run.index)
	m.reschedule()
}

// setSpeed sets the speed of a core.
func (m *machine) setSpeed(speed float64) {
	m.advance()
	m.speed = speed
	m.reschedule()
}

// clear removes all runs.
func (m *machine) clear() {
	m.advance()
	for m.heap.Len() > 0 {
		heap.Pop(&m.heap)
	}
	m.reschedule()
}

// reschedule sets the timer for the end of the next run.
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

// workEpsilon is the work that a run may lack and still be done: far under anything reported, far
// over rounding errors.
const workEpsilon = 1e-9

// completeRuns ends the runs that are done.
func (m *machine) completeRuns() {
	m.advance()
	var done []*machineRun
	for m.heap.Len() > 0 && m.heap.runs[0].finish <= m.workPerRun+workEpsilon {
		done = append(done, heap.Pop(&m.heap).(*machineRun))
	}
	m.reschedule()
	for _, run := range done {
		run.onDone()
	}
}
