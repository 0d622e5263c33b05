package admission

import "strconv"

// Idempotency states whether running a request more than once is safe.
type Idempotency uint8

const (
	// Idempotent requests may run any number of times.
	Idempotent Idempotency = iota
	// Deduplicated requests carry a key that identifies their repeats. Requests with the same key
	// run once within the deduplication window of their class.
	Deduplicated
	// AtMostOnce requests must not run twice.
	AtMostOnce
)

// String returns the name of the value, for logs and tests.
func (i Idempotency) String() string {
	return enumName([]string{"idempotent", "deduplicated", "at_most_once"}, i)
}

// Downstream is the kind of dependency that the calls of requests reach.
type Downstream uint8

const (
	// NoDownstream means that requests make no downstream calls.
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

// Preemption states whether the server can stop a run.
type Preemption uint8

const (
	// NoPreemption means that a run cannot be stopped before its end.
	NoPreemption Preemption = iota
	// PreemptByDrop means that a run can be stopped and then loses its progress.
	PreemptByDrop
	// PreemptByPause means that a run can be stopped and keeps its progress and its memory.
	PreemptByPause
)

// String returns the name of the value, for logs and tests.
func (p Preemption) String() string {
	return enumName([]string{"none", "drop", "pause"}, p)
}

// Backpressure states how clients interpret the load value that a server reports.
type Backpressure uint8

const (
	// NoBackpressure means that the server reports no load.
	NoBackpressure Backpressure = iota
	// BackpressureLevel makes the value a minimum priority: clients send no request with a lower
	// priority.
	BackpressureLevel
	// BackpressureCredit makes the value the maximum number of requests that each client may have
	// open at this server.
	BackpressureCredit
	// BackpressureWeight makes the value the probability that a client choosing a server does not
	// skip this one.
	BackpressureWeight
)

// String returns the name of the value, for logs and tests.
func (b Backpressure) String() string {
	return enumName([]string{"none", "level", "credit", "weight"}, b)
}

// Class holds the settings of one class of requests.
type Class struct {
	Idempotency Idempotency
	// SoftDeadline is the time in seconds after its arrival within which a response to a request
	// has its full value.
	SoftDeadline float64
	// SoftDeadlineStretch is multiplied by the expected work of a request; the product is added
	// to its soft deadline.
	SoftDeadlineStretch float64
	// Timeout is the time in seconds that a client waits for a response, over all of its
	// attempts.
	Timeout float64
	// Value is the value of a response within the soft deadline.
	Value float64
	// LateValueFraction is the value of a response after the soft deadline, as a fraction of Value.
	LateValueFraction float64
	// DeduplicationWindow is the time in seconds for which repeats of a deduplicated request are
	// recognized.
	DeduplicationWindow float64
	// CallsDownstream is whether runs of this class make downstream calls.
	CallsDownstream bool
	// DegradedValueFraction is the value of a response without its downstream call, as a fraction of
	// Value; 0 if the class cannot do without the call.
	DegradedValueFraction float64
}

// Tenant holds the settings of one tenant of the service.
type Tenant struct {
	// Rate is the quota of the tenant over all servers, in requests a second.
	Rate float64
}

// Settings are the settings of a deployment, as given to one server at its start. Times are in
// seconds and memory is in kilobytes.
type Settings struct {
	Classes []Class
	Tenants []Tenant
	// OverQuotaValueFactor is the factor on the value of requests that exceed their tenant's quota.
	OverQuotaValueFactor float64
	// Servers and Clients are the numbers of servers and of clients in the deployment.
	Servers, Clients int
	Cores            int
	SlowStart        SlowStartSettings
	Concurrency      ConcurrencySettings
	Memory           MemorySettings
	Downstream       DownstreamSettings
	// DrainGracePeriod is the time after the start of a drain during which new requests are still
	// accepted.
	DrainGracePeriod float64
	// DeadlineTolerance is how late a final response may be. The decisions do not use it.
	DeadlineTolerance float64
	Preemption        Preemption
	Backpressure      Backpressure
	// ResultCacheTTL is the time for which the response to a read is reused for its repeats; 0
	// disables reuse.
	ResultCacheTTL float64
	// DeadlinePropagation is whether clients send their remaining budget with each request.
	DeadlinePropagation bool
	// MaxRetryAfter is the longest Retry-After sent to clients; 0 if none is sent.
	MaxRetryAfter float64
	// IdleTimeout is the longest time for which an idle connection may stay open.
	IdleTimeout float64
	// ScaleValueByWork is whether the value of a request is multiplied by its expected work.
	ScaleValueByWork bool
}

// SlowStartSettings describe the warm-up of a server.
type SlowStartSettings struct {
	// InitialSpeed is the speed of the server at its start, as a fraction of its full speed.
	InitialSpeed float64
	// Duration is the length of the warm-up; 0 if the server starts warm.
	Duration float64
}

// ConcurrencySettings bound the requests that run concurrently.
type ConcurrencySettings struct {
	// RunsPerCore is the number of running requests that each core of a warm server can sustain
	// without failing, as a mean over AveragingWindow.
	RunsPerCore float64
	// AveragingWindow is the averaging window of RunsPerCore, in seconds. The decisions do not use it: they
	// keep to RunsPerCore at every moment.
	AveragingWindow float64
}

// MemorySettings describe the memory of a server and its use.
type MemorySettings struct {
	// Limit is the memory available for requests and for the key table.
	Limit float64
	// RunningFactor is the ratio of the memory of a running request to that of a queued one.
	RunningFactor float64
	// KeyEntryMemory is the memory of one entry of the key table.
	KeyEntryMemory float64
}

// DownstreamSettings describe the dependency that the calls of requests reach.
type DownstreamSettings struct {
	Kind Downstream
	// CallLimit is this server's share of the concurrent calls that a shared dependency can
	// sustain without failing, as a mean over CallWindow.
	CallLimit  float64
	CallWindow float64
	// AbandonedCallLifetime is how long a call that this server abandoned may still occupy the
	// dependency.
	AbandonedCallLifetime float64
}

// enumName returns the name of an enumeration's value, or its number if it has no name.
func enumName[T ~uint8](names []string, value T) string {
	if int(value) < len(names) {
		return names[value]
	}
	return strconv.Itoa(int(value))
}
