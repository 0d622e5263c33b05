package loadplan

const (
	// LeaseSeconds is how long an assignment is fresh, from the moment of the report that it
	// answers; after that the forwarder phases it out over the same time. An election takes less
	// than two leases.
	LeaseSeconds = 3.0
	// ReportIntervalSeconds is how often a forwarder reports.
	ReportIntervalSeconds = 0.5
	// maxReportSeconds bounds the time that a report covers.
	maxReportSeconds = 60
	// maxRate bounds a reported rate, in requests per second.
	maxRate = 1e6
)

// WorkerStats is what a forwarder observed of one worker since its last report.
type WorkerStats struct {
	Name      string
	Connected bool
	InFlight  int // requests at the worker now
	Finished  int
	Rejected  int
	Lost      int // attempts that timed out or whose connection broke
}

// TenantRate is a tenant's requests per second at one forwarder: its demand, or the limit on it.
type TenantRate struct {
	Tenant string
	Rate   float64
}

// Report is what a forwarder tells the planner.
type Report struct {
	Name            string // of the forwarder
	Incarnation     uint64
	Sequence        uint64 // unique in an incarnation, ascending
	IntervalSeconds float64
	CurrentVersion  Version // of the plan that the forwarder follows
	Demand          []TenantRate
	Workers         []WorkerStats
}

// WorkerWeight is the fraction of a forwarder's requests that a worker receives.
type WorkerWeight struct {
	Name   string
	Weight float64
}

// Assignment is one forwarder's share of a plan.
type Assignment struct {
	Version        Version
	Incarnation    uint64 // of the forwarder
	ReportSequence uint64 // of the report that this answers
	LeaseSeconds   float64
	Weights        []WorkerWeight
	RateLimits     []TenantRate // empty if all demand is admitted
}

// WeightsByName returns the weights by worker name.
func (a *Assignment) WeightsByName() map[string]float64 {
	weights := make(map[string]float64, len(a.Weights))
	for _, weight := range a.Weights {
		weights[weight.Name] = weight.Weight
	}
	return weights
}

// valid reports whether the report's numbers are possible. It rejects NaN too.
func (r *Report) valid() bool {
	if r.Name == "" || len(r.Workers) > maxWorkers {
		return false
	}
	if !(r.IntervalSeconds > 0 && r.IntervalSeconds <= maxReportSeconds) {
		return false
	}
	for _, demand := range r.Demand {
		if !(demand.Rate >= 0 && demand.Rate <= maxRate) {
			return false
		}
	}
	for index := range r.Workers {
		if !r.Workers[index].valid(r.IntervalSeconds) {
			return false
		}
	}
	return true
}

func (w *WorkerStats) valid(intervalSeconds float64) bool {
	if w.Name == "" || w.Finished < 0 || w.Rejected < 0 || w.Lost < 0 {
		return false
	}
	return float64(w.Finished+w.Rejected+w.Lost) <= maxRate*intervalSeconds
}

// valid reports whether the assignment's lease and weights are in range. It rejects NaN too.
func (a *Assignment) valid() bool {
	if !(a.LeaseSeconds > 0 && a.LeaseSeconds <= LeaseSeconds) {
		return false
	}
	for _, weight := range a.Weights {
		if !(weight.Weight >= 0 && weight.Weight <= 1) {
			return false
		}
	}
	return true
}
