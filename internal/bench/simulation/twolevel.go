package simulation

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/routing"
)

// TwoLevelPlan is a fleet of two levels in simulated time: the planners' and forwarders' agents of
// package fleet, the routers of package routing, and workers that run requests on a number of cores
// and reject what would wait for too long. Load is uneven over forwarders, and workers differ.
type TwoLevelPlan struct {
	Forwarders    int
	Planners      int
	Workers       int
	Seconds       float64
	Load          float64 // requested, over what all workers can do
	FaultInterval float64 // seconds between two faults among planners; 0 for none
	NoPlanners    bool    // no planner starts
	PartialReach  bool    // a third of the forwarders reaches half of the workers
	Seed          uint64
}

// Validate returns an error that names the limits if a value is outside of them.
func (p *TwoLevelPlan) Validate() error {
	if p.Forwarders < 1 || p.Forwarders > 500 || p.Planners < 1 || p.Planners > 15 ||
		p.Workers < 2 || p.Workers > 4000 || p.Seconds < 1 || p.Seconds > 3600 || p.Load <= 0 || p.Load > 5 {
		return fmt.Errorf("--forwarders %d --planners %d --workers %d --seconds %g --load %g: "+
			"from 1 to 500, 1 to 15, 2 to 4000, 1 to 3600, and up to 5",
			p.Forwarders, p.Planners, p.Workers, p.Seconds, p.Load)
	}
	return nil
}

// TwoLevelRow is the result of a run.
type TwoLevelRow struct {
	Seed               uint64  `json:"seed"`
	Requests           int     `json:"asked"`
	Faults             int     `json:"faults"`
	FinishedShare      float64 `json:"service"` // of the requests, in time
	AttemptsPerRequest float64 `json:"tries_per_task"`
	StalePlansApplied  int     `json:"stale_plans_applied"`
	Unanswered         int     `json:"unanswered"`
	RepeatedRuns       int     `json:"double_effects"` // requests that must not run twice and did
	P50                float64 `json:"p50_ms"`
	P99                float64 `json:"p99_ms"`
	BusiestOverMean    float64 `json:"busiest_over_mean"` // of workers, by their attempts over what they can do
	BytesPerSecond     float64 `json:"talk_bytes_s"`      // sent by a forwarder, on average
	StalePlansRejected int     `json:"stale_refused"`
}

// Violations counts what breaks an invariant.
func (r TwoLevelRow) Violations() int { return r.StalePlansApplied + r.Unanswered + r.RepeatedRuns }

// TwoLevelColumns are the heads of the table.
var TwoLevelColumns = []string{
	"seed", "asked", "faults", "service", "tries", "stale", "untold", "twice", "p50 ms", "p99 ms", "uneven", "B/s",
	"refused",
}

// Cells returns the row for the table.
func (r TwoLevelRow) Cells() []string {
	return []string{
		strconv.FormatUint(r.Seed, 10),
		strconv.Itoa(r.Requests),
		strconv.Itoa(r.Faults),
		fmt.Sprintf("%.4f", r.FinishedShare),
		fmt.Sprintf("%.3f", r.AttemptsPerRequest),
		strconv.Itoa(r.StalePlansApplied),
		strconv.Itoa(r.Unanswered),
		strconv.Itoa(r.RepeatedRuns),
		fmt.Sprintf("%.1f", r.P50),
		fmt.Sprintf("%.1f", r.P99),
		fmt.Sprintf("%.2f", r.BusiestOverMean),
		fmt.Sprintf("%.0f", r.BytesPerSecond),
		strconv.Itoa(r.StalePlansRejected),
	}
}

const (
	// workerRunSeconds is the mean time of a core that a request takes.
	workerRunSeconds = 0.02
	// requestTimeout is how long, in seconds, a caller waits.
	requestTimeout = 1.0
	// twoLevelSettleSeconds is how long the fleet runs before it is measured.
	twoLevelSettleSeconds = 15.0
	// busiestWeight and weightRatio shape the uneven load: a forwarder gets weightRatio of what the
	// one before it gets, from busiestWeight down to 1.
	busiestWeight = 8
	weightRatio   = 0.7
)

// minMeanLoad bounds the divisor where no worker had any load.
const minMeanLoad = 1e-9

// workerCores are the numbers of cores of workers, in turns.
var workerCores = []float64{4, 1, 4, 2}

// twoLevelSim is one run of a plan. The first nodes are the planners, the others the forwarders.
type twoLevelSim struct {
	*fleetSim
	plan         *TwoLevelPlan
	workers      []*simWorker
	workerByName map[string]*simWorker
	forwarders   []*simForwarder
	row          TwoLevelRow
	latencies    []float64 // of the requests that finished in time, in seconds
	measuring    bool
	runCounts    map[int]int // by number, of requests that must not run twice
	requestCount int
	attemptCount int
	settledCount int
}

// RunTwoLevel runs the plan.
func RunTwoLevel(plan *TwoLevelPlan) TwoLevelRow {
	sim := &twoLevelSim{
		fleetSim: newFleetSim(&RolloutPlan{
			Servers: plan.Planners + plan.Forwarders,
			Voters:  plan.Planners,
			Seconds: plan.Seconds,
			Seed:    plan.Seed,
		}),
		plan:         plan,
		row:          TwoLevelRow{Seed: plan.Seed},
		runCounts:    map[int]int{},
		workerByName: map[string]*simWorker{},
	}
	sim.startPlannersAndForwarders(sim.addWorkers())
	sim.run(twoLevelSettleSeconds)
	sim.measure()
	sim.row.BusiestOverMean = sim.busiestOverMean()
	sim.run(sim.now + 2*requestTimeout)
	sim.summarize()
	return sim.row
}

// addWorkers adds the workers and returns the requests a second that all of them can run.
func (l *twoLevelSim) addWorkers() (capacity float64) {
	for i := range l.plan.Workers {
		worker := &simWorker{name: fmt.Sprint("w", i), cores: workerCores[i%len(workerCores)]}
		l.workerByName[worker.name] = worker
		l.workers = append(l.workers, worker)
		capacity += worker.cores / workerRunSeconds
	}
	return capacity
}

// startPlannersAndForwarders starts planners and forwarders, and divides the load of the plan among
// the forwarders; capacity is the requests a second that all workers can run.
func (l *twoLevelSim) startPlannersAndForwarders(capacity float64) {
	weights := make([]float64, l.plan.Forwarders)
	sum := 0.0
	for i := range weights {
		weights[i] = max(1, busiestWeight*math.Pow(weightRatio, float64(i)))
		sum += weights[i]
	}
	for i, one := range l.nodes {
		forwarder := i - l.plan.Planners
		if forwarder < 0 {
			one.loadPlanConfig = plannerSettings
		} else {
			l.addForwarder(one, forwarder, l.plan.Load*capacity*weights[forwarder]/sum)
		}
		if !l.plan.NoPlanners || forwarder >= 0 {
			l.after(startSpread*l.random.Float64(), one.start)
		}
	}
}

// plannerSettings makes a planner of a node.
func plannerSettings(*fleet.Clock) *fleet.LoadPlanConfig {
	return &fleet.LoadPlanConfig{IsPlanner: true}
}

// addForwarder makes a forwarder of a node, with that many requests a second.
func (l *twoLevelSim) addForwarder(one *node, number int, rate float64) {
	forwarder := &simForwarder{
		node:   one,
		sim:    l,
		rate:   rate,
		router: routing.New(l.plan.Seed ^ uint64(number)),
	}
	reachesHalf := l.plan.PartialReach && number%3 == 0
	for i, worker := range l.workers {
		forwarder.router.AddWorker(0, worker.name)
		if !reachesHalf || i%2 == 0 {
			forwarder.router.SetConnected(0, worker.name, true)
		}
	}
	l.forwarders = append(l.forwarders, forwarder)
	one.loadPlanConfig = forwarder.loadPlanSettings
	l.after(learnInterval*l.random.Float64(), forwarder.learn)
	l.after(twoLevelSettleSeconds/2+l.exponential(1/forwarder.rate), forwarder.generateLoad)
}

// measure runs the measured time, with faults among planners, and measures the forwarders' traffic.
func (l *twoLevelSim) measure() {
	l.measuring = true
	_, bytesBefore := l.trafficTotals()
	from := l.now
	for end := l.now + l.plan.Seconds; l.now < end; {
		step := l.plan.Seconds
		if l.plan.FaultInterval > 0 {
			l.injectPlannerFault()
			step = l.plan.FaultInterval
		}
		l.run(min(end, l.now+step))
	}
	_, bytes := l.trafficTotals()
	for i := l.plan.Planners; i < len(bytes); i++ {
		l.row.BytesPerSecond += (bytes[i] - bytesBefore[i]) / (l.now - from) / float64(l.plan.Forwarders)
	}
	l.measuring = false
}

// busiestOverMean returns the load of the busiest worker over the mean.
func (l *twoLevelSim) busiestOverMean() float64 {
	busiest := 0.0
	mean := 0.0
	for _, worker := range l.workers {
		load := float64(worker.attempts) * workerRunSeconds / worker.cores
		busiest = max(busiest, load)
		mean += load / float64(len(l.workers))
	}
	return busiest / max(mean, minMeanLoad)
}

// summarize fills the row once every request has ended.
func (l *twoLevelSim) summarize() {
	for _, count := range l.runCounts {
		if count > 1 {
			l.row.RepeatedRuns++
		}
	}
	for _, forwarder := range l.forwarders {
		l.row.StalePlansRejected += forwarder.agent.LoadPlanStatus(forwarder.agent.Now()).Stale
	}
	requests := float64(max(1, l.row.Requests))
	l.row.Unanswered = l.row.Requests - l.settledCount
	l.row.FinishedShare = float64(len(l.latencies)) / requests
	l.row.AttemptsPerRequest = float64(l.attemptCount) / requests
	slices.Sort(l.latencies)
	if count := len(l.latencies); count > 0 {
		l.row.P50 = 1000 * l.latencies[count/2]
		l.row.P99 = 1000 * l.latencies[count*99/100]
	}
}

// plannerFault is a kind of fault among planners.
type plannerFault int

const (
	plannersRestart plannerFault = iota // all of them, without state
	plannerPause                        // one stops and resumes with its old plans
	plannerIsolate                      // one receives nothing
	plannerLoss                         // messages of all nodes are lost
)

// plannerFaultDraws is the range that faults are drawn from: numbers after plannerLoss restart one
// planner.
const plannerFaultDraws = 6

// injectPlannerFault draws a fault among planners.
func (l *twoLevelSim) injectPlannerFault() {
	l.row.Faults++
	planners := l.nodes[:l.plan.Planners]
	target := planners[l.random.IntN(len(planners))]
	seconds := 1 + 3*l.random.Float64()
	switch plannerFault(l.random.IntN(plannerFaultDraws)) {
	case plannersRestart:
		for _, planner := range planners {
			planner.restartAfter(seconds / 2)
		}
	case plannerPause:
		target.pause(seconds)
	case plannerIsolate:
		l.isolate(target, seconds)
	case plannerLoss:
		l.loseMessages(seconds)
	default:
		target.restartAfter(seconds / 2)
	}
}
