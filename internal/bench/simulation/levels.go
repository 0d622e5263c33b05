package simulation

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/loadplan"
	"swiftcourse/internal/policy/routing"
)

// Levels is a fleet of two levels in simulated time: the planners' and forwarders' parts of package fleet, the routers of judge/route, and workers that
// run tasks on a number of cores, reject what would wait for too long, and may die. Load is uneven over forwarders, and workers differ.
type Levels struct {
	Forwarders int
	Planners   int
	Workers    int
	Seconds    float64
	Load       float64 // asked for, over what all workers can do
	KillEvery  float64 // seconds between two faults among planners; 0 for none
	Alone      bool    // no planner is there
	Blind      bool    // a third of the forwarders reaches half of the workers alone
	Seed       uint64
}

// Check tells what is wrong with it.
func (p *Levels) Check() error {
	if p.Forwarders < 1 || p.Forwarders > 500 || p.Planners < 1 || p.Planners > 15 || p.Workers < 2 || p.Workers > 4000 || p.Seconds < 1 || p.Seconds > 3600 || p.Load <= 0 || p.Load > 5 {
		return fmt.Errorf("--forwarders %d --planners %d --workers %d --seconds %g --load %g: from 1 to 500, 1 to 15, 2 to 4000, 1 to 3600, and up to 5", p.Forwarders,
			p.Planners, p.Workers, p.Seconds, p.Load)
	}
	return nil
}

// LevelsRow is what a run came to.
type LevelsRow struct {
	Seed     uint64  `json:"seed"`
	Asked    int     `json:"asked"`
	Faults   int     `json:"faults"`
	Service  float64 `json:"service"`
	Tries    float64 `json:"tries_per_task"`
	Stale    int     `json:"stale_plans_applied"`
	Untold   int     `json:"unanswered"`
	Twice    int     `json:"double_effects"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Uneven   float64 `json:"busiest_over_mean"` // of workers, by what they are asked for of what they can do
	Bytes    float64 `json:"talk_bytes_s"`      // that a forwarder sends, in the mean
	Refusals int     `json:"stale_refused"`
}

// Bad counts what must not be.
func (r LevelsRow) Bad() int { return r.Stale + r.Untold + r.Twice }

// LevelsHeads and Cells are those of the table.
var LevelsHeads = []string{"seed", "asked", "faults", "service", "tries", "stale", "untold", "twice", "p50 ms", "p99 ms", "uneven", "B/s", "refused"}

// Cells are a row's in the table.
func (r LevelsRow) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %d %.4f %.3f %d %d %d %.1f %.1f %.2f %.0f %d", r.Seed, r.Asked, r.Faults, r.Service, r.Tries, r.Stale, r.Untold, r.Twice,
		r.P50, r.P99, r.Uneven, r.Bytes, r.Refusals))
}

const (
	levelWork   = 0.02 // seconds of a core that a task takes, in the mean
	levelWait   = 1.0  // seconds that its caller waits
	levelQueue  = 0.25 // seconds that a task may have to wait at a worker before that rejects it, as a quarter of the time to spare does there
	levelHop    = 0.0003
	levelReject = 0.2 // what a worker that rejects advises
	levelSettle = 15.0
	levelLearn  = 0.5
)

// levelWorker is a worker: what is there is done at the speed of its cores, in order.
type levelWorker struct {
	name  string
	cores float64
	queue float64 // seconds of work that is there
	at    float64 // when that was so
	asked int
}

// levelForwarder is a forwarder's own part.
type levelForwarder struct {
	*talker
	router *routing.Router
	rate   float64 // tasks a second asked of it
	asked  int     // since its last report
	since  float64
	holds  loadplan.Version
	reach  func(int) bool
}

type levels struct {
	*talks
	plan       *Levels
	workers    []*levelWorker
	index      map[string]int
	forwarders []*levelForwarder
	row        LevelsRow
	took       []float64
	measuring  bool
	ran        map[int]int // of tasks that must not run twice, how often
	numbers    int
	tries      int
	settled    int
}

// RunLevels plays it.
func RunLevels(p *Levels) LevelsRow {
	l := &levels{talks: newTalks(&Versions{Servers: p.Planners + p.Forwarders, Voters: p.Planners, Seconds: p.Seconds, Seed: p.Seed}), plan: p,
		row: LevelsRow{Seed: p.Seed}, ran: map[int]int{}, index: map[string]int{}}
	can := 0.0
	for i := range p.Workers {
		w := &levelWorker{name: fmt.Sprint("w", i), cores: []float64{4, 1, 4, 2}[i%4]}
		l.index[w.name] = i
		l.workers = append(l.workers, w)
		can += w.cores / levelWork
	}
	weights, sum := make([]float64, p.Forwarders), 0.0
	for i := range weights { // the first has twice what the second has, and so on, down to an even rest
		weights[i] = max(1, 8*math.Pow(0.7, float64(i)))
		sum += weights[i]
	}
	for i, s := range l.servers {
		if i < p.Planners {
			s.plans = func(*fleet.Clock) *fleet.LoadPlanConfig { return &fleet.LoadPlanConfig{IsPlanner: true} }
		} else {
			l.forward(s, i-p.Planners, p.Load*can*weights[i-p.Planners]/sum)
		}
		if !p.Alone || i >= p.Planners {
			l.after(2*l.chance.Float64(), s.start)
		}
	}
	l.run(levelSettle)
	l.measuring = true
	_, bytes := l.sums()
	from := l.now
	for end := l.now + p.Seconds; l.now < end; {
		step := p.Seconds
		if p.KillEvery > 0 {
			l.harm()
			step = p.KillEvery
		}
		l.run(min(end, l.now+step))
	}
	_, bytes2 := l.sums()
	for i := p.Planners; i < len(bytes); i++ {
		l.row.Bytes += (bytes2[i] - bytes[i]) / (l.now - from) / float64(p.Forwarders)
	}
	l.measuring = false
	most, mean := 0.0, 0.0
	for _, w := range l.workers {
		used := float64(w.asked) * levelWork / w.cores
		most, mean = max(most, used), mean+used/float64(len(l.workers))
	}
	l.row.Uneven = most / max(mean, 1e-9)
	l.run(l.now + 2*levelWait)
	for _, n := range l.ran {
		if n > 1 {
			l.row.Twice++
		}
	}
	for _, f := range l.forwarders {
		l.row.Refusals += f.part.LoadPlanStatus(f.part.Now()).Stale
	}
	l.row.Untold = l.row.Asked - l.settled
	l.row.Service = float64(len(l.took)) / float64(max(1, l.row.Asked))
	l.row.Tries = float64(l.tries) / float64(max(1, l.row.Asked))
	slices.Sort(l.took)
	if n := len(l.took); n > 0 {
		l.row.P50, l.row.P99 = 1000*l.took[n/2], 1000*l.took[n*99/100]
	}
	return l.row
}

// forward makes a forwarder of a talker.
func (l *levels) forward(s *talker, i int, rate float64) {
	f := &levelForwarder{talker: s, rate: rate, router: routing.New(l.plan.Seed ^ uint64(i)), reach: func(int) bool { return true }}
	if l.plan.Blind && i%3 == 0 {
		f.reach = func(w int) bool { return w%2 == 0 }
	}
	for n, w := range l.workers {
		f.router.AddWorker(0, w.name)
		if f.reach(n) {
			f.router.SetConnected(0, w.name, true)
		}
	}
	l.forwarders = append(l.forwarders, f)
	s.plans = func(clock *fleet.Clock) *fleet.LoadPlanConfig {
		return &fleet.LoadPlanConfig{
			Report: func(float64) *loadplan.Report {
				seconds := max(l.now-f.since, 1e-3)
				r := &loadplan.Report{
					IntervalSeconds: seconds,
					Demand:          []loadplan.TenantRate{{Rate: float64(f.asked) / seconds}},
					Workers:         f.router.TakeStats(),
				}
				f.since, f.asked = l.now, 0
				return r
			},
			OnAssignment: func(p *loadplan.Assignment, until float64) {
				if p.Version.Compare(f.holds) < 0 {
					l.row.Stale++
				}
				f.holds = p.Version
				f.router.ApplyPlan(l.now, p.WeightsByName(), clock.ToSource(until))
			},
		}
	}
	var learn, ask func()
	learn = func() {
		f.router.LearnCapacity(levelLearn)
		l.after(levelLearn, learn)
	}
	l.after(levelLearn*l.chance.Float64(), learn)
	ask = func() {
		f.asked++
		l.task(f)
		l.after(l.exponential(1/f.rate), ask)
	}
	l.after(levelSettle/2+l.exponential(1/f.rate), ask)
}

// levelTask is a task on its way.
type levelTask struct {
	f       *levelForwarder
	number  int
	safe    bool
	came    float64
	tried   []string
	counted bool
	over    bool
}

func (l *levels) task(f *levelForwarder) {
	l.numbers++
	t := &levelTask{f: f, number: l.numbers, safe: l.numbers%2 == 0, came: l.now, counted: l.measuring}
	if t.counted {
		l.row.Asked++
	}
	l.place(t)
}

func (l *levels) settle(t *levelTask, finished bool) {
	if t.over {
		return
	}
	t.over = true
	if t.counted {
		l.settled++
		if took := l.now - t.came; finished && took <= levelWait {
			l.took = append(l.took, took)
		}
	}
}

// place sends a task to a worker, as a forwarder does.
func (l *levels) place(t *levelTask) {
	name, _ := t.f.router.Pick(l.now, t.safe, t.tried...)
	if name == "" {
		l.settle(t, false)
		return
	}
	t.tried = append(t.tried, name)
	t.f.router.StartAttempt(name, len(t.tried))
	if t.counted {
		l.tries++
	}
	began := l.now
	w := l.workers[l.index[name]]
	ended := func(end routing.Outcome, advice float64) {
		t.f.router.FinishAttempt(l.now, name, end, l.now-began, advice)
		if end == routing.Finished {
			l.settle(t, true)
			return
		}
		retry := routing.Retry{
			LastOutcome:    end,
			Attempts:       len(t.tried),
			IsIdempotent:   t.safe,
			Remaining:      t.came + levelWait - l.now,
			TypicalLatency: levelWork,
		}
		if t.f.router.AllowRetry(retry) {
			l.place(t)
			return
		}
		l.settle(t, false)
	}
	l.after(levelHop, func() {
		w.queue = max(0, w.queue-(l.now-w.at)*w.cores)
		w.at = l.now
		if l.measuring {
			w.asked++
		}
		if w.queue/w.cores > levelQueue {
			l.after(levelHop, func() { ended(routing.Rejected, levelReject) })
			return
		}
		if !t.safe {
			l.ran[t.number]++
		}
		work := l.exponential(levelWork)
		wait := w.queue / w.cores
		w.queue += work
		l.after(wait+work+levelHop, func() { ended(routing.Finished, 0) })
	})
}

// harm does something to planners: one dies and returns cold, all do, one is stopped and goes on with what it had, the leader is cut off, a third of
// all messages is lost for a while.
func (l *levels) harm() {
	l.row.Faults++
	planners := l.servers[:l.plan.Planners]
	s := planners[l.chance.IntN(len(planners))]
	length := 1 + 3*l.chance.Float64()
	switch l.chance.IntN(6) {
	case 0:
		for _, o := range planners {
			o.alive = false
			l.after(length/2, o.start)
		}
	case 1:
		s.asleep = true
		life := s.part
		l.after(length, func() { s.wake(life) })
	case 2:
		l.deaf = s
		l.after(length, func() { l.deaf = nil })
	case 3:
		l.loss = 0.3
		l.after(length, func() { l.loss = 0 })
	default:
		s.alive = false
		l.after(length/2, s.start)
	}
}
