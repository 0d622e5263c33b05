package loadplan

const (
	// LeaseSeconds is how long an assignment is fresh, counted from when the report that it answers
	// was sent. After that the forwarder phases it out over the same time, so an assignment has some
	// influence for two leases. An election of a new leader takes less than two leases.
	LeaseSeconds = 3.0
	// ReportIntervalSeconds is the interval between the reports of a forwarder.
	ReportIntervalSeconds = 0.5
	// maxReportSeconds bounds Report.IntervalSeconds.
	maxReportSeconds = 60
	// maxRequestsPerSecond bounds a reported rate, in requests per second.
	maxRequestsPerSecond = 1e6
)

// WorkerStats are a forwarder's observations of one worker since its last report.
type WorkerStats struct {
	Name      string
	Connected bool
	InFlight  int // requests of the forwarder at the worker now
	Finished  int
	Rejected  int
	Lost      int // attempts that timed out or whose connection broke
}

// TenantRate is a tenant's rate at one forwarder, in requests per second: either its demand or the limit
// on it.
type TenantRate struct {
	Tenant string
	Rate   float64
}

// Report is a forwarder's report to the planner.
type Report struct {
	Name            string // of the forwarder
	Incarnation     uint64
	Sequence        uint64  // ascending, unique within an incarnation
	IntervalSeconds float64 // time that the report covers
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
	RateLimits     []TenantRate // empty if there is no limit
}

// WeightsByName returns the weights by worker name.
func (a *Assignment) WeightsByName() map[string]float64 {
	weights := make(map[string]float64, len(a.Weights))
	for _, weight := range a.Weights {
		weights[weight.Name] = weight.Weight
	}
	return weights
}

// valid reports whether the report has names and its numbers are in range. NaN is out of range.
func (r *Report) valid() bool {
	if r.Name == "" || len(r.Workers) > maxWorkers {
		return false
	}
	if !(r.IntervalSeconds > 0 && r.IntervalSeconds <= maxReportSeconds) {
		return false
	}
	for _, demand := range r.Demand {
		if !(demand.Rate >= 0 && demand.Rate <= maxRequestsPerSecond) {
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
	return float64(w.Finished+w.Rejected+w.Lost) <= maxRequestsPerSecond*intervalSeconds
}

// valid reports whether the assignment's lease and weights are in range. NaN is out of range.
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
