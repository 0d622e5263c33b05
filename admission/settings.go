package admission

import "strconv"

// Idempotency tells what running a request twice would do.
type Idempotency uint8

const (
	// Idempotent requests may run again.
	Idempotent Idempotency = iota
	// Deduplicated requests carry a key by which a repeat is known, and run once within its window.
	Deduplicated
	// AtMostOnce requests must never run twice.
	AtMostOnce
)

// String returns the name of the value, for logs and tests.
func (i Idempotency) String() string {
	return enumName([]string{"idempotent", "deduplicated", "at_most_once"}, i)
}

// Downstream tells what the calls of requests reach.
type Downstream uint8

const (
	// NoDownstream: requests make no calls.
	NoDownstream Downstream = iota
	// SharedDependency: calls reach one dependency that all servers share.
	SharedDependency
	// ServerTier: calls reach a tier of servers through a load balancer.
	ServerTier
)

// String returns the name of the value, for logs and tests.
func (d Downstream) String() string {
	return enumName([]string{"none", "shared", "tier"}, d)
}

// Preemption tells what can be done with running work.
type Preemption uint8

const (
	// NoPreemption: a run goes on to its end.
	NoPreemption Preemption = iota
	// PreemptByDrop: a run can be stopped and loses its progress.
	PreemptByDrop
	// PreemptByPause: a run can be stopped and keeps its progress and its memory.
	PreemptByPause
)

// String returns the name of the value, for logs and tests.
func (p Preemption) String() string {
	return enumName([]string{"none", "drop", "pause"}, p)
}

// Backpressure tells what clients make of the load that a server reports.
type Backpressure uint8

const (
	// NoBackpressure: no load is reported.
	NoBackpressure Backpressure = iota
	// BackpressureLevel: clients send nothing whose priority is below the value.
	BackpressureLevel
	// BackpressureCredit: each client keeps at most that many requests open here.
	BackpressureCredit
	// BackpressureWeight: the value is the probability that a client doesn't pass this server over.
	BackpressureWeight
)

// String returns the name of the value, for logs and tests.
func (b Backpressure) String() string {
	return enumName([]string{"none", "level", "credit", "weight"}, b)
}

// Class is a kind of request.
type Class struct {
	Idempotency Idempotency
	// SoftDeadline is within how many seconds a response has its full value.
	SoftDeadline float64
	// SoftDeadlineStretch is the multiple of a request's expected work by which its soft deadline is later.
	SoftDeadlineStretch float64
	// Timeout is how many seconds a client waits over all attempts.
	Timeout float64
	// Value is what a response within the soft deadline is worth.
	Value float64
	// LateValue is the fraction of Value that a later response has.
	LateValue float64
	// DeduplicationWindow is for how many seconds a repeat of a deduplicated request may follow.
	DeduplicationWindow float64
	// CallsDownstream tells whether runs call what is downstream.
	CallsDownstream bool
	// DegradedValue is the fraction of Value that a response without its call has; 0 where a call is needed.
	DegradedValue float64
}

// Tenant is one of those who share the service.
type Tenant struct {
	// Rate is how many requests a second are within its quota, over all servers.
	Rate float64
}

// Settings are those of a deployment, as one server is told them at its start. Times are seconds and memory is
// kilobytes.
type Settings struct {
	Classes []Class
	Tenants []Tenant
	// OverQuotaValue is the value of what exceeds a tenant's quota, as a fraction.
	OverQuotaValue float64
	// Servers and Clients are how many of each there are.
	Servers, Clients int
	Cores            int
	// SlowStartSpeed is the fraction of its speed with which a server starts that has to warm up, and
	// SlowStartDuration how long the warm-up takes: 0 where the server starts warm.
	SlowStartSpeed, SlowStartDuration float64
	// DrainGracePeriod is for how long after the notice of a drain arrivals are still taken in.
	DrainGracePeriod float64
	// DeadlineTolerance is how late a final response may be. Nothing here makes use of it.
	DeadlineTolerance float64
	// ConcurrencyLimit is how many running requests a core of a warm server survives, as a mean over
	// ConcurrencyWindow.
	ConcurrencyLimit  float64
	ConcurrencyWindow float64
	MemoryLimit       float64
	// RunningMemoryFactor is the memory of a running request over that of a queued one.
	RunningMemoryFactor float64
	// KeyMemory is what an entry of the key table takes.
	KeyMemory  float64
	Downstream Downstream
	// CallLimit is this server's part of the concurrent calls that a shared dependency survives, as a mean over
	// CallWindow.
	CallLimit  float64
	CallWindow float64
	// AbandonedCallLifetime is for how long a call that was given up may still count downstream.
	AbandonedCallLifetime float64
	Preemption            Preemption
	Backpressure          Backpressure
	// ResultCacheTTL is for how long the response to a read serves its repeats; 0 where it serves none.
	ResultCacheTTL float64
	// DeadlinePropagation tells that clients send their remaining budget with each request.
	DeadlinePropagation bool
	// MaxRetryAfter is the longest Retry-After that is forwarded to clients; 0 where none is.
	MaxRetryAfter float64
	// IdleTimeout is the longest time for which a silent connection may stay open.
	IdleTimeout float64
	// ValueByWork tells that the value of a request is multiplied by its expected work.
	ValueByWork bool
}

// enumName returns the name of an enumeration's value, or its number where it has no name.
func enumName[T ~uint8](names []string, value T) string {
	if int(value) < len(names) {
		return names[value]
	}
	return strconv.Itoa(int(value))
}
