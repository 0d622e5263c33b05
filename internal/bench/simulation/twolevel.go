package simulation

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/routing"
)

// TwoLevelPlan is a simulation of a fleet of two levels: agents of package fleet as planners and
// forwarders, routers of package routing, and workers that run requests on their cores and reject
// requests that would wait too long. The load is uneven over the forwarders, and the workers differ
// in size.
type TwoLevelPlan struct {
	Forwarders          int
	Planners            int
	Workers             int
	Seconds             float64
	Load                float64 // offered load relative to the workers' capacity
	FaultInterval       float64 // seconds between two faults among planners; 0 for none
	NoPlanners          bool    // no planner starts
	PartialConnectivity bool    // a third of the forwarders is connected to half of the workers only
	Seed                uint64
}

// Validate returns an error with the values and their limits if one is out of range.
func (p *TwoLevelPlan) Validate() error {
	if p.Forwarders < 1 || p.Forwarders > 500 || p.Planners < 1 || p.Planners > 15 ||
		p.Workers < 2 || p.Workers > 4000 || p.Seconds < 1 || p.Seconds > 3600 || p.Load <= 0 || p.Load > 5 {
		return fmt.Errorf("--forwarders %d --planners %d --workers %d --seconds %g --load %g: "+
			"want forwarders from 1 to 500, planners from 1 to 15, workers from 2 to 4000, "+
			"seconds from 1 to 3600, load over 0 and at most 5",
			p.Forwarders, p.Planners, p.Workers, p.Seconds, p.Load)
	}
	return nil
}

// TwoLevelRow is the result of a TwoLevelPlan.
type TwoLevelRow struct {
	Seed               uint64  `json:"seed"`
	Requests           int     `json:"asked"`
	Faults             int     `json:"faults"`
	FinishedShare      float64 `json:"service"` // share of requests finished within the timeout
	AttemptsPerRequest float64 `json:"tries_per_task"`
	StalePlansApplied  int     `json:"stale_plans_applied"`
	Unanswered         int     `json:"unanswered"`
	RepeatedRuns       int     `json:"double_effects"` // at-most-once requests that ran more than once
	P50                float64 `json:"p50_ms"`
	P99                float64 `json:"p99_ms"`
	BusiestOverMean    float64 `json:"busiest_over_mean"` // load of the busiest worker relative to the mean load
	BytesPerSecond     float64 `json:"talk_bytes_s"`      // sent per forwarder, on average
	StalePlansRejected int     `json:"stale_refused"`
}

// Violations returns the number of violated invariants.
func (r TwoLevelRow) Violations() int { return r.StalePlansApplied + r.Unanswered + r.RepeatedRuns }

// TwoLevelColumns are the column heads of the table.
var TwoLevelColumns = []string{
	"seed", "asked", "faults", "service", "tries", "stale", "untold", "twice", "p50 ms", "p99 ms", "uneven", "B/s",
	"refused",
}

// Cells returns the row's table cells, in the order of TwoLevelColumns.
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
	// workerRunSeconds is the mean CPU time of a request.
	workerRunSeconds = 0.02
	// requestTimeoutSeconds is the clients' timeout in seconds.
	requestTimeoutSeconds = 1.0
	// twoLevelSettleSeconds is how long the fleet runs before the measurement.
	twoLevelSettleSeconds = 15.0
	// The load is distributed over the forwarders by weights that begin at busiestWeight and are
	// multiplied by weightRatio from one forwarder to the next, down to 1.
	busiestWeight = 8
	weightRatio   = 0.7
)

// minMeanLoad is a lower bound for the mean load, which avoids a division by zero if no worker had
// any load.
const minMeanLoad = 1e-9

// workerCores are the numbers of cores of the workers, used in rotation.
var workerCores = []float64{4, 1, 4, 2}

// twoLevelSim is one run of a TwoLevelPlan. The first nodes are the planners, the others the
// forwarders.
type twoLevelSim struct {
	*fleetSim
	plan         *TwoLevelPlan
	workers      []*simWorker
	workerByName map[string]*simWorker
	forwarders   []*simForwarder
	row          TwoLevelRow
	latencies    []float64 // of the requests finished within the timeout, in seconds
	measuring    bool
	runCounts    map[int]int // runs of at-most-once requests, by request number
	requestCount int
	attemptCount int // attempts of measured requests
	settledCount int // measured requests that have ended
}

// RunTwoLevel runs a TwoLevelPlan and returns its result.
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
	sim.run(sim.now + 2*requestTimeoutSeconds)
	sim.summarize()
	return sim.row
}

// addWorkers adds the workers and returns their joint capacity in requests per second.
func (l *twoLevelSim) addWorkers() (capacity float64) {
	for i := range l.plan.Workers {
		worker := &simWorker{name: fmt.Sprint("w", i), cores: workerCores[i%len(workerCores)]}
		l.workerByName[worker.name] = worker
		l.workers = append(l.workers, worker)
		capacity += worker.cores / workerRunSeconds
	}
	return capacity
}

// startPlannersAndForwarders starts the planners and forwarders, and distributes the load over the
// forwarders. capacity is the joint capacity of the workers in requests per second.
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
			l.after(startSpreadSeconds*l.random.Float64(), one.start)
		}
	}
}

// plannerSettings returns agent settings that make a node a planner.
func plannerSettings(*fleet.Clock) *fleet.LoadPlanConfig {
	return &fleet.LoadPlanConfig{IsPlanner: true}
}

// addForwarder makes a node a forwarder that receives rate requests per second.
func (l *twoLevelSim) addForwarder(one *node, number int, rate float64) {
	forwarder := &simForwarder{
		node:   one,
		sim:    l,
		rate:   rate,
		router: routing.New(l.plan.Seed ^ uint64(number)),
	}
	reachesHalf := l.plan.PartialConnectivity && number%3 == 0
	for i, worker := range l.workers {
		forwarder.router.AddWorker(0, worker.name)
		if !reachesHalf || i%2 == 0 {
			forwarder.router.SetConnected(0, worker.name, true)
		}
	}
	l.forwarders = append(l.forwarders, forwarder)
	one.loadPlanConfig = forwarder.loadPlanSettings
	l.after(learnIntervalSeconds*l.random.Float64(), forwarder.learnCapacity)
	l.after(twoLevelSettleSeconds/2+l.exponential(1/forwarder.rate), forwarder.generateLoad)
}

// measure runs the measurement with faults of planners, and measures the forwarders' traffic.
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

// busiestOverMean returns the load of the busiest worker relative to the mean load.
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

// summarize sets the remaining fields of the row after all requests have ended.
func (l *twoLevelSim) summarize() {
	for _, count := range l.runCounts {
		if count > 1 {
			l.row.RepeatedRuns++
		}
	}
	for _, forwarder := range l.forwarders {
		l.row.StalePlansRejected += forwarder.agent.LoadPlanStatus(forwarder.agent.Now()).RejectedAssignments
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

// plannerFault is a kind of fault of planners.
type plannerFault int

const (
	plannersRestart    plannerFault = iota // all planners restart without state
	plannerPause                           // a planner is paused and resumes with its old plans
	plannerIsolate                         // a planner receives nothing, but can send
	plannerMessageLoss                     // a share of the messages of all nodes is lost
)

// plannerFaultDraws is the number of values from which a fault is drawn. Values after
// plannerMessageLoss restart a single planner.
const plannerFaultDraws = 6

// injectPlannerFault draws a fault of planners and injects it.
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
	case plannerMessageLoss:
		l.loseMessages(seconds)
	default:
		target.restartAfter(seconds / 2)
	}
}
