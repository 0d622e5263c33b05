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

// TwoLevelPlan is a fleet of two levels in simulated time: the planners' and forwarders' parts of package fleet, the routers of judge/route, and workers that
// run tasks on a number of cores, reject what would wait for too long, and may die. Load is uneven over forwarders, and workers differ.
type TwoLevelPlan struct {
	Forwarders    int
	Planners      int
	Workers       int
	Seconds       float64
	Load          float64 // asked for, over what all workers can do
	FaultInterval float64 // seconds between two faults among planners; 0 for none
	NoPlanners    bool    // no planner is there
	PartialReach  bool    // a third of the forwarders reaches half of the workers alone
	Seed          uint64
}

// Validate tells what is wrong with it.
func (p *TwoLevelPlan) Validate() error {
	if p.Forwarders < 1 || p.Forwarders > 500 || p.Planners < 1 || p.Planners > 15 || p.Workers < 2 || p.Workers > 4000 || p.Seconds < 1 || p.Seconds > 3600 || p.Load <= 0 || p.Load > 5 {
		return fmt.Errorf("--forwarders %d --planners %d --workers %d --seconds %g --load %g: from 1 to 500, 1 to 15, 2 to 4000, 1 to 3600, and up to 5", p.Forwarders,
			p.Planners, p.Workers, p.Seconds, p.Load)
	}
	return nil
}

// TwoLevelRow is what a run came to.
type TwoLevelRow struct {
	Seed               uint64  `json:"seed"`
	Requests           int     `json:"asked"`
	Faults             int     `json:"faults"`
	FinishedShare      float64 `json:"service"`
	AttemptsPerRequest float64 `json:"tries_per_task"`
	StalePlansApplied  int     `json:"stale_plans_applied"`
	Unanswered         int     `json:"unanswered"`
	RepeatedRuns       int     `json:"double_effects"`
	P50                float64 `json:"p50_ms"`
	P99                float64 `json:"p99_ms"`
	BusiestOverMean    float64 `json:"busiest_over_mean"` // of workers, by what they are asked for of what they can do
	BytesPerSecond     float64 `json:"talk_bytes_s"`      // that a forwarder sends, in the mean
	StalePlansRejected int     `json:"stale_refused"`
}

// Violations counts what must not be.
func (r TwoLevelRow) Violations() int { return r.StalePlansApplied + r.Unanswered + r.RepeatedRuns }

// TwoLevelColumns and Cells are those of the table.
var TwoLevelColumns = []string{"seed", "asked", "faults", "service", "tries", "stale", "untold", "twice", "p50 ms", "p99 ms", "uneven", "B/s", "refused"}

// Cells are a row's in the table.
func (r TwoLevelRow) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %d %.4f %.3f %d %d %d %.1f %.1f %.2f %.0f %d", r.Seed, r.Requests, r.Faults, r.FinishedShare, r.AttemptsPerRequest, r.StalePlansApplied, r.Unanswered, r.RepeatedRuns,
		r.P50, r.P99, r.BusiestOverMean, r.BytesPerSecond, r.StalePlansRejected))
}

const (
	workerRunSeconds      = 0.02 // seconds of a core that a task takes, in the mean
	requestTimeout        = 1.0  // seconds that its caller waits
	maxWorkerWait         = 0.25 // seconds that a task may have to wait at a worker before that rejects it, as a quarter of the time to spare does there
	hopSeconds            = 0.0003
	rejectRetryAfter      = 0.2 // what a worker that rejects advises
	twoLevelSettleSeconds = 15.0
	learnInterval         = 0.5
)

// simWorker is a worker: what is there is done at the speed of its cores, in order.
type simWorker struct {
	name       string
	cores      float64
	queuedWork float64 // seconds of work that is there
	updatedAt  float64 // when that was so
	attempts   int
}

// simForwarder is a forwarder's own part.
type simForwarder struct {
	*node
	router     *routing.Router
	rate       float64 // tasks a second asked of it
	received   int     // since its last report
	reportedAt float64
	version    loadplan.Version
	canReach   func(int) bool
}

type twoLevelSim struct {
	*fleetSim
	plan         *TwoLevelPlan
	workers      []*simWorker
	workerIndex  map[string]int
	forwarders   []*simForwarder
	row          TwoLevelRow
	latencies    []float64
	measuring    bool
	runCounts    map[int]int // of tasks that must not run twice, how often
	requestCount int
	attemptCount int
	settledCount int
}

// RunTwoLevel plays it.
func RunTwoLevel(p *TwoLevelPlan) TwoLevelRow {
	l := &twoLevelSim{fleetSim: newFleetSim(&RolloutPlan{Servers: p.Planners + p.Forwarders, Voters: p.Planners, Seconds: p.Seconds, Seed: p.Seed}), plan: p,
		row: TwoLevelRow{Seed: p.Seed}, runCounts: map[int]int{}, workerIndex: map[string]int{}}
	can := 0.0
	for i := range p.Workers {
		w := &simWorker{name: fmt.Sprint("w", i), cores: []float64{4, 1, 4, 2}[i%4]}
		l.workerIndex[w.name] = i
		l.workers = append(l.workers, w)
		can += w.cores / workerRunSeconds
	}
	weights, sum := make([]float64, p.Forwarders), 0.0
	for i := range weights { // the first has twice what the second has, and so on, down to an even rest
		weights[i] = max(1, 8*math.Pow(0.7, float64(i)))
		sum += weights[i]
	}
	for i, s := range l.nodes {
		if i < p.Planners {
			s.loadPlanConfig = func(*fleet.Clock) *fleet.LoadPlanConfig { return &fleet.LoadPlanConfig{IsPlanner: true} }
		} else {
			l.addForwarder(s, i-p.Planners, p.Load*can*weights[i-p.Planners]/sum)
		}
		if !p.NoPlanners || i >= p.Planners {
			l.after(2*l.random.Float64(), s.start)
		}
	}
	l.run(twoLevelSettleSeconds)
	l.measuring = true
	_, bytes := l.trafficTotals()
	from := l.now
	for end := l.now + p.Seconds; l.now < end; {
		step := p.Seconds
		if p.FaultInterval > 0 {
			l.injectPlannerFault()
			step = p.FaultInterval
		}
		l.run(min(end, l.now+step))
	}
	_, bytes2 := l.trafficTotals()
	for i := p.Planners; i < len(bytes); i++ {
		l.row.BytesPerSecond += (bytes2[i] - bytes[i]) / (l.now - from) / float64(p.Forwarders)
	}
	l.measuring = false
	most, mean := 0.0, 0.0
	for _, w := range l.workers {
		used := float64(w.attempts) * workerRunSeconds / w.cores
		most, mean = max(most, used), mean+used/float64(len(l.workers))
	}
	l.row.BusiestOverMean = most / max(mean, 1e-9)
	l.run(l.now + 2*requestTimeout)
	for _, n := range l.runCounts {
		if n > 1 {
			l.row.RepeatedRuns++
		}
	}
	for _, f := range l.forwarders {
		l.row.StalePlansRejected += f.agent.LoadPlanStatus(f.agent.Now()).Stale
	}
	l.row.Unanswered = l.row.Requests - l.settledCount
	l.row.FinishedShare = float64(len(l.latencies)) / float64(max(1, l.row.Requests))
	l.row.AttemptsPerRequest = float64(l.attemptCount) / float64(max(1, l.row.Requests))
	slices.Sort(l.latencies)
	if n := len(l.latencies); n > 0 {
		l.row.P50, l.row.P99 = 1000*l.latencies[n/2], 1000*l.latencies[n*99/100]
	}
	return l.row
}

// addForwarder makes a forwarder of a talker.
func (l *twoLevelSim) addForwarder(s *node, i int, rate float64) {
	f := &simForwarder{node: s, rate: rate, router: routing.New(l.plan.Seed ^ uint64(i)), canReach: func(int) bool { return true }}
	if l.plan.PartialReach && i%3 == 0 {
		f.canReach = func(w int) bool { return w%2 == 0 }
	}
	for n, w := range l.workers {
		f.router.AddWorker(0, w.name)
		if f.canReach(n) {
			f.router.SetConnected(0, w.name, true)
		}
	}
	l.forwarders = append(l.forwarders, f)
	s.loadPlanConfig = func(clock *fleet.Clock) *fleet.LoadPlanConfig {
		return &fleet.LoadPlanConfig{
			Report: func(float64) *loadplan.Report {
				seconds := max(l.now-f.reportedAt, 1e-3)
				r := &loadplan.Report{
					IntervalSeconds: seconds,
					Demand:          []loadplan.TenantRate{{Rate: float64(f.received) / seconds}},
					Workers:         f.router.TakeStats(),
				}
				f.reportedAt, f.received = l.now, 0
				return r
			},
			OnAssignment: func(p *loadplan.Assignment, until float64) {
				if p.Version.Compare(f.version) < 0 {
					l.row.StalePlansApplied++
				}
				f.version = p.Version
				f.router.ApplyPlan(l.now, p.WeightsByName(), clock.ToSource(until))
			},
		}
	}
	var learn, ask func()
	learn = func() {
		f.router.LearnCapacity(learnInterval)
		l.after(learnInterval, learn)
	}
	l.after(learnInterval*l.random.Float64(), learn)
	ask = func() {
		f.received++
		l.sendRequest(f)
		l.after(l.exponential(1/f.rate), ask)
	}
	l.after(twoLevelSettleSeconds/2+l.exponential(1/f.rate), ask)
}

// forwardedRequest is a task on its way.
type forwardedRequest struct {
	forwarder    *simForwarder
	number       int
	isIdempotent bool
	arrivedAt    float64
	triedWorkers []string
	isMeasured   bool
	isDone       bool
}

func (l *twoLevelSim) sendRequest(f *simForwarder) {
	l.requestCount++
	t := &forwardedRequest{forwarder: f, number: l.requestCount, isIdempotent: l.requestCount%2 == 0, arrivedAt: l.now, isMeasured: l.measuring}
	if t.isMeasured {
		l.row.Requests++
	}
	l.startAttempt(t)
}

func (l *twoLevelSim) finishRequest(t *forwardedRequest, finished bool) {
	if t.isDone {
		return
	}
	t.isDone = true
	if t.isMeasured {
		l.settledCount++
		if took := l.now - t.arrivedAt; finished && took <= requestTimeout {
			l.latencies = append(l.latencies, took)
		}
	}
}

// startAttempt sends a task to a worker, as a forwarder does.
func (l *twoLevelSim) startAttempt(t *forwardedRequest) {
	name, _ := t.forwarder.router.Pick(l.now, t.isIdempotent, t.triedWorkers...)
	if name == "" {
		l.finishRequest(t, false)
		return
	}
	t.triedWorkers = append(t.triedWorkers, name)
	t.forwarder.router.StartAttempt(name, len(t.triedWorkers))
	if t.isMeasured {
		l.attemptCount++
	}
	began := l.now
	w := l.workers[l.workerIndex[name]]
	ended := func(end routing.Outcome, advice float64) {
		t.forwarder.router.FinishAttempt(l.now, name, end, l.now-began, advice)
		if end == routing.Finished {
			l.finishRequest(t, true)
			return
		}
		retry := routing.RetryCandidate{
			LastOutcome:    end,
			Attempts:       len(t.triedWorkers),
			IsIdempotent:   t.isIdempotent,
			Remaining:      t.arrivedAt + requestTimeout - l.now,
			TypicalLatency: workerRunSeconds,
		}
		if t.forwarder.router.AllowRetry(retry) {
			l.startAttempt(t)
			return
		}
		l.finishRequest(t, false)
	}
	l.after(hopSeconds, func() {
		w.queuedWork = max(0, w.queuedWork-(l.now-w.updatedAt)*w.cores)
		w.updatedAt = l.now
		if l.measuring {
			w.attempts++
		}
		if w.queuedWork/w.cores > maxWorkerWait {
			l.after(hopSeconds, func() { ended(routing.Rejected, rejectRetryAfter) })
			return
		}
		if !t.isIdempotent {
			l.runCounts[t.number]++
		}
		work := l.exponential(workerRunSeconds)
		wait := w.queuedWork / w.cores
		w.queuedWork += work
		l.after(wait+work+hopSeconds, func() { ended(routing.Finished, 0) })
	})
}

// injectPlannerFault does something to planners: one dies and returns cold, all do, one is stopped and goes on with what it had, the leader is cut off, a third of
// all messages is lost for a while.
func (l *twoLevelSim) injectPlannerFault() {
	l.row.Faults++
	planners := l.nodes[:l.plan.Planners]
	s := planners[l.random.IntN(len(planners))]
	length := 1 + 3*l.random.Float64()
	switch l.random.IntN(6) {
	case 0:
		for _, o := range planners {
			o.alive = false
			l.after(length/2, o.start)
		}
	case 1:
		s.isPaused = true
		life := s.agent
		l.after(length, func() { s.resume(life) })
	case 2:
		l.isolated = s
		l.after(length, func() { l.isolated = nil })
	case 3:
		l.loss = 0.3
		l.after(length, func() { l.loss = 0 })
	default:
		s.alive = false
		l.after(length/2, s.start)
	}
}
