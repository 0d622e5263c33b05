package simulation

import (
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/loadplan"
	"swiftcourse/internal/policy/routing"
)

const (
	// maxWorkerWaitSeconds is the queueing time above which a worker rejects: a quarter of the
	// request timeout.
	maxWorkerWaitSeconds = 0.25
	// hopSeconds is the delay between a forwarder and a worker, one way.
	hopSeconds = 0.0003
	// rejectRetryAfterSeconds is the Retry-After of a worker's rejections.
	rejectRetryAfterSeconds = 0.2
	// learnIntervalSeconds is the time between two updates of the workers' learned capacity.
	learnIntervalSeconds = 0.5
	// minReportSeconds is the minimum interval that a demand report covers, so that rates stay
	// finite.
	minReportSeconds = 1e-3
)

// simWorker is a worker with a first-in-first-out queue that is processed at the joint speed of its
// cores.
type simWorker struct {
	name       string
	cores      float64
	queuedWork float64 // core-seconds, at updatedAt
	updatedAt  float64
	attempts   int // received during the measurement
}

// advance subtracts the work done since the last update from the queue.
func (w *simWorker) advance(now float64) {
	w.queuedWork = max(0, w.queuedWork-(now-w.updatedAt)*w.cores)
	w.updatedAt = now
}

// simForwarder is a forwarder: its agent, its router and the load of its clients.
type simForwarder struct {
	*node
	sim        *twoLevelSim
	router     *routing.Router
	rate       float64 // requests per second
	received   int     // requests since the last report
	reportedAt float64
	version    loadplan.Version // of the plan in use
}

// loadPlanSettings returns agent settings that connect the agent with the router.
func (f *simForwarder) loadPlanSettings(nodeClock *fleet.Clock) *fleet.LoadPlanConfig {
	return &fleet.LoadPlanConfig{
		Report: f.reportDemand,
		OnAssignment: func(plan *loadplan.Assignment, until float64) {
			if plan.Version.Compare(f.version) < 0 {
				f.sim.row.StalePlansApplied++
			}
			f.version = plan.Version
			f.router.ApplyPlan(f.now, plan.WeightsByName(), nodeClock.ToSource(until))
		},
	}
}

// reportDemand returns the demand and the workers' statistics since the last report.
func (f *simForwarder) reportDemand(float64) *loadplan.Report {
	seconds := max(f.now-f.reportedAt, minReportSeconds)
	report := &loadplan.Report{
		IntervalSeconds: seconds,
		Demand:          []loadplan.TenantRate{{Rate: float64(f.received) / seconds}},
		Workers:         f.router.TakeStats(),
	}
	f.reportedAt = f.now
	f.received = 0
	return report
}

// learnCapacity updates the router's estimate of the workers' capacity every learnIntervalSeconds.
func (f *simForwarder) learnCapacity() {
	f.router.LearnCapacity(learnIntervalSeconds)
	f.after(learnIntervalSeconds, f.learnCapacity)
}

// generateLoad receives a client's request and schedules the next one.
func (f *simForwarder) generateLoad() {
	f.received++
	f.sim.sendRequest(f)
	f.after(f.exponential(1/f.rate), f.generateLoad)
}

// forwardedRequest is a request at a forwarder.
type forwardedRequest struct {
	forwarder    *simForwarder
	number       int
	isIdempotent bool
	arrivedAt    float64
	triedWorkers []string
	isMeasured   bool // arrived during the measurement
	isDone       bool
}

// forwardedAttempt is one attempt of a request at a worker.
type forwardedAttempt struct {
	request   *forwardedRequest
	worker    *simWorker
	startedAt float64
}

// sendRequest starts a request. Every second request is idempotent.
func (l *twoLevelSim) sendRequest(forwarder *simForwarder) {
	l.requestCount++
	request := &forwardedRequest{
		forwarder:    forwarder,
		number:       l.requestCount,
		isIdempotent: l.requestCount%2 == 0,
		arrivedAt:    l.now,
		isMeasured:   l.measuring,
	}
	if request.isMeasured {
		l.row.Requests++
	}
	l.startAttempt(request)
}

// finishRequest ends a request, unless it has already ended.
func (l *twoLevelSim) finishRequest(request *forwardedRequest, finished bool) {
	if request.isDone {
		return
	}
	request.isDone = true
	if !request.isMeasured {
		return
	}
	l.settledCount++
	if latency := l.now - request.arrivedAt; finished && latency <= requestTimeoutSeconds {
		l.latencies = append(l.latencies, latency)
	}
}

// startAttempt sends a request to a worker that the router picks, as a forwarder does.
func (l *twoLevelSim) startAttempt(request *forwardedRequest) {
	router := request.forwarder.router
	name, _ := router.Pick(l.now, request.isIdempotent, request.triedWorkers...)
	if name == "" {
		l.finishRequest(request, false)
		return
	}
	request.triedWorkers = append(request.triedWorkers, name)
	router.StartAttempt(name, len(request.triedWorkers))
	if request.isMeasured {
		l.attemptCount++
	}
	attempt := &forwardedAttempt{request: request, worker: l.workerByName[name], startedAt: l.now}
	l.after(hopSeconds, func() { l.runAttempt(attempt) })
}

// runAttempt queues an attempt at its worker, which rejects it if the queue is too long.
func (l *twoLevelSim) runAttempt(attempt *forwardedAttempt) {
	worker := attempt.worker
	worker.advance(l.now)
	if l.measuring {
		worker.attempts++
	}
	if worker.queuedWork/worker.cores > maxWorkerWaitSeconds {
		l.after(hopSeconds, func() { l.endAttempt(attempt, routing.Rejected, rejectRetryAfterSeconds) })
		return
	}
	if !attempt.request.isIdempotent {
		l.runCounts[attempt.request.number]++
	}
	work := l.exponential(workerRunSeconds)
	wait := worker.queuedWork / worker.cores
	worker.queuedWork += work
	l.after(wait+work+hopSeconds, func() { l.endAttempt(attempt, routing.Finished, 0) })
}

// endAttempt ends the request or retries it, as a forwarder does.
func (l *twoLevelSim) endAttempt(attempt *forwardedAttempt, outcome routing.Outcome, retryAfter float64) {
	request := attempt.request
	router := request.forwarder.router
	router.FinishAttempt(l.now, attempt.worker.name, outcome, l.now-attempt.startedAt, retryAfter)
	if outcome == routing.Finished {
		l.finishRequest(request, true)
		return
	}
	retry := routing.RetryCandidate{
		LastOutcome:           outcome,
		Attempts:              len(request.triedWorkers),
		IsIdempotent:          request.isIdempotent,
		RemainingSeconds:      request.arrivedAt + requestTimeoutSeconds - l.now,
		TypicalLatencySeconds: workerRunSeconds,
	}
	if router.AllowRetry(retry) {
		l.startAttempt(request)
		return
	}
	l.finishRequest(request, false)
}
