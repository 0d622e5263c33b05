package loadplan

import "swiftcourse/internal/policy/workercapacity"

const (
	// warmUpSeconds is how long a new planner collects reports before it answers one. Each forwarder
	// reports twice in that time.
	warmUpSeconds = 2*ReportIntervalSeconds + 0.2
	// expirySeconds is how long a forwarder stays in the plan without reporting, and a worker without
	// a connected forwarder.
	expirySeconds = 2 * LeaseSeconds
	// solveIntervalSeconds is the minimum interval between plans.
	solveIntervalSeconds = 0.5
	// maxForwarders and maxWorkers bound the planner's tables of forwarders and workers.
	maxForwarders = 1024
	maxWorkers    = 4096
)

// Planner makes the plans of one leadership term.
type Planner struct {
	version      Version // of the latest plan
	startedAt    float64
	lastSolvedAt float64
	hasPlan      bool
	forwarders   map[string]*forwarderState
	workers      map[string]*workerState

	invalidReports int
	fallbacks      int // plans for which the linear program was not solved
}

// forwarderState is a forwarder's last report and its share of the plan.
type forwarderState struct {
	Report
	lastReportAt   float64 // when the last report arrived
	totalDemand    float64
	demandByTenant map[string]float64
	reachable      workerSet

	weights    []WorkerWeight
	rateLimits []TenantRate
}

// workerState is the planner's state of a worker.
type workerState struct {
	capacity        float64
	lastConnectedAt float64 // when a forwarder last reported a connection to it
	observed        workerObservations
}

// workerObservations are all forwarders' observations of a worker since the last plan.
type workerObservations struct {
	attempts workercapacity.AttemptCounts
	seconds  float64 // the longest interval of these reports
}

// New returns the planner for a leadership term that starts at now.
func New(clusterID uint32, term uint64, now float64) *Planner {
	return &Planner{
		version:      Version{ClusterID: clusterID, Term: term},
		startedAt:    now,
		lastSolvedAt: now,
		forwarders:   map[string]*forwarderState{},
		workers:      map[string]*workerState{},
	}
}

// Term returns the leadership term that the planner was made for.
func (p *Planner) Term() (clusterID uint32, term uint64) {
	return p.version.ClusterID, p.version.Term
}

// HandleReport records a forwarder's report and returns the forwarder's assignment. It returns nil if
// the report is invalid, a duplicate or late, if the table of forwarders is full, while the planner
// warms up, and if the plan has no worker for the forwarder.
func (p *Planner) HandleReport(now float64, report *Report) *Assignment {
	if !report.valid() {
		p.invalidReports++
		return nil
	}
	forwarder := p.forwarder(report.Name)
	if forwarder == nil || forwarder.hasHandled(report) {
		return nil
	}
	forwarder.update(now, report)
	forwarder.reachable = newWorkerSet(p.updateWorkers(now, report))
	if now < p.startedAt+warmUpSeconds {
		return nil
	}
	if now >= p.lastSolvedAt+solveIntervalSeconds || !p.hasPlan {
		p.solve(now)
	}
	if forwarder.weights == nil {
		return nil
	}
	return &Assignment{
		Version:        p.version,
		Incarnation:    report.Incarnation,
		ReportSequence: report.Sequence,
		LeaseSeconds:   LeaseSeconds,
		Weights:        forwarder.weights,
		RateLimits:     forwarder.rateLimits,
	}
}

// forwarder returns the state of the forwarder with a name, and adds it if there is none. It returns
// nil if the table is full.
func (p *Planner) forwarder(name string) *forwarderState {
	forwarder := p.forwarders[name]
	if forwarder == nil && len(p.forwarders) < maxForwarders {
		forwarder = &forwarderState{}
		p.forwarders[name] = forwarder
	}
	return forwarder
}

// hasHandled reports whether the report, or a later one of the same incarnation, was already handled.
func (f *forwarderState) hasHandled(report *Report) bool {
	return f.Incarnation == report.Incarnation && report.Sequence <= f.Sequence
}

// update stores a report as the last one. A new incarnation starts without a share of the plan.
func (f *forwarderState) update(now float64, report *Report) {
	if f.Incarnation != report.Incarnation {
		*f = forwarderState{}
	}
	f.Report = *report
	f.lastReportAt = now
	f.totalDemand = 0
	f.demandByTenant = map[string]float64{}
	for _, demand := range report.Demand {
		f.demandByTenant[demand.Tenant] += demand.Rate
		f.totalDemand += demand.Rate
	}
}

// updateWorkers adds a report's observations to the workers' statistics and returns the names of
// the workers that the forwarder is connected to.
func (p *Planner) updateWorkers(now float64, report *Report) (connected []string) {
	for index := range report.Workers {
		stats := &report.Workers[index]
		worker := p.worker(stats.Name)
		if worker == nil {
			continue
		}
		if stats.Connected {
			worker.lastConnectedAt = now
			connected = append(connected, stats.Name)
		}
		worker.observed.add(stats, report.IntervalSeconds)
	}
	return connected
}

// worker returns the state of the worker with a name, and adds it if there is none. It returns nil if
// the table is full.
func (p *Planner) worker(name string) *workerState {
	worker := p.workers[name]
	if worker == nil && len(p.workers) < maxWorkers {
		worker = &workerState{capacity: workercapacity.MinRequestsPerSecond}
		p.workers[name] = worker
	}
	return worker
}

// add adds a forwarder's observations over the given number of seconds.
func (o *workerObservations) add(stats *WorkerStats, seconds float64) {
	o.attempts.Finished += stats.Finished
	o.attempts.Rejected += stats.Rejected
	o.attempts.Lost += stats.Lost
	o.seconds = max(o.seconds, seconds)
}

// solve computes a new plan.
func (p *Planner) solve(now float64) {
	sinceLastPlan := max(ReportIntervalSeconds, now-p.lastSolvedAt)
	p.lastSolvedAt = now
	p.hasPlan = true
	p.version.Sequence++
	p.removeExpired(now)

	totalCapacity := 0.0
	for _, worker := range p.workers {
		observed := worker.observed
		worker.observed = workerObservations{}
		seconds := max(sinceLastPlan, observed.seconds)
		worker.capacity = workercapacity.Update(worker.capacity, observed.attempts, seconds)
		totalCapacity += worker.capacity
	}
	p.limitRates(totalCapacity)
	if !p.assignWeights() {
		p.fallbacks++
	}
}

// removeExpired removes the forwarders that have not reported, and the workers that no forwarder was
// connected to, for expirySeconds.
func (p *Planner) removeExpired(now float64) {
	for name, forwarder := range p.forwarders {
		if now > forwarder.lastReportAt+expirySeconds {
			delete(p.forwarders, name)
		}
	}
	for name, worker := range p.workers {
		if now > worker.lastConnectedAt+expirySeconds {
			delete(p.workers, name)
		}
	}
}
