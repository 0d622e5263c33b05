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
	// NoDownstream means that requests make no calls.
	NoDownstream Downstream = iota
	// SharedDependency means that calls reach one dependency that all servers share.
	SharedDependency
	// ServerTier means that calls reach a tier of servers through a load balancer.
	ServerTier
)

// String returns the name of the value, for logs and tests.
func (d Downstream) String() string {
	return enumName([]string{"none", "shared", "tier"}, d)
}

// Preemption tells what can be done with running work.
type Preemption uint8

const (
	// NoPreemption means that a run goes on to its end.
	NoPreemption Preemption = iota
	// PreemptByDrop means that a run can be stopped and loses its progress.
	PreemptByDrop
	// PreemptByPause means that a run can be stopped and keeps its progress and its memory.
	PreemptByPause
)

// String returns the name of the value, for logs and tests.
func (p Preemption) String() string {
	return enumName([]string{"none", "drop", "pause"}, p)
}

// Backpressure tells what clients make of the load that a server reports.
type Backpressure uint8

const (
	// NoBackpressure means that no load is reported.
	NoBackpressure Backpressure = iota
	// BackpressureLevel has clients send nothing whose priority is below the value.
	BackpressureLevel
	// BackpressureCredit has each client keep at most that many requests open here.
	BackpressureCredit
	// BackpressureWeight makes the value the probability that a client doesn't pass this server
	// over.
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
	// SoftDeadlineStretch is the multiple of a request's expected work by which its soft deadline
	// is later.
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
	// DegradedValue is the fraction of Value that a response without its call has; 0 where a call
	// is needed.
	DegradedValue float64
}

// Tenant is one of those who share the service.
type Tenant struct {
	// Rate is how many requests a second are within its quota, over all servers.
	Rate float64
}

// Settings are those of a deployment, as one server is told them at its start. Times are seconds
// and memory is kilobytes.
type Settings struct {
	Classes []Class
	Tenants []Tenant
	// OverQuotaValue is the value of what exceeds a tenant's quota, as a fraction.
	OverQuotaValue float64
	// Servers and Clients are how many of each there are.
	Servers, Clients int
	Cores            int
	SlowStart        SlowStartSettings
	Concurrency      ConcurrencySettings
	Memory           MemorySettings
	Downstream       DownstreamSettings
	// DrainGracePeriod is for how long after the notice of a drain arrivals are still taken in.
	DrainGracePeriod float64
	// DeadlineTolerance is how late a final response may be. Nothing here makes use of it.
	DeadlineTolerance float64
	Preemption        Preemption
	Backpressure      Backpressure
	// ResultCacheTTL is for how long the response to a read serves its repeats; 0 where it serves
	// none.
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

// SlowStartSettings tell how a server warms up.
type SlowStartSettings struct {
	// InitialSpeed is the fraction of its speed with which it starts.
	InitialSpeed float64
	// Duration is how long the warm-up takes; 0 where the server starts warm.
	Duration float64
}

// ConcurrencySettings tell how much runs at once.
type ConcurrencySettings struct {
	// PerCore is how many running requests a core of a warm server survives, as a mean over Window.
	PerCore float64
	// Window is in seconds. The decisions keep to PerCore at all times and make no use of it.
	Window float64
}

// MemorySettings tell what memory there is, and what takes it.
type MemorySettings struct {
	Limit float64
	// RunningFactor is the memory of a running request over that of a queued one.
	RunningFactor float64
	// PerKey is what an entry of the key table takes.
	PerKey float64
}

// DownstreamSettings tell what the calls of requests reach.
type DownstreamSettings struct {
	Kind Downstream
	// CallLimit is this server's part of the concurrent calls that a shared dependency survives, as
	// a mean over CallWindow.
	CallLimit  float64
	CallWindow float64
	// AbandonedCallLifetime is for how long a call that was given up may still count downstream.
	AbandonedCallLifetime float64
}

// enumName returns the name of an enumeration's value, or its number where it has no name.
func enumName[T ~uint8](names []string, value T) string {
	if int(value) < len(names) {
		return names[value]
	}
	return strconv.Itoa(int(value))
}
