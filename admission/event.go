package admission

// EventKind is the kind of an event.
type EventKind uint8

const (
	// Started is the first event of every controller, sent once the server is up.
	Started EventKind = iota
	// Arrived reports that a request was read and queued. Sets Request.
	Arrived
	// RunEnded reports that a run ended. Sets Outcome, and Duration to the time that the run
	// took.
	RunEnded
	// AwaitingDownstream reports that a running request waits for its downstream call to be
	// dispatched.
	AwaitingDownstream
	// CallReturned reports that a downstream call ended. Sets Outcome, and Duration to the time
	// that the call took.
	CallReturned
	// ClientGone reports that no client waits for the request any more.
	ClientGone
	// DrainStarted reports that the process will be killed. Sets Duration to the time until then.
	DrainStarted
	// TimerFired reports that a timer expired. Sets Gauges, and Label to the label of the timer.
	TimerFired
	// AllowanceChanged reports the server's share of a limit that applies to all servers
	// together. Sets Allowance.
	AllowanceChanged
)

// String returns the name of the kind, for logs and tests.
func (k EventKind) String() string {
	names := []string{
		"started", "arrived", "run_ended", "awaiting_downstream", "call_returned", "client_gone",
		"drain_started", "timer_fired", "allowance_changed",
	}
	return enumName(names, k)
}

// Outcome is how a run or a downstream call ended.
type Outcome uint8

const (
	// Finished means that it completed successfully.
	Finished Outcome = iota
	// Failed means that it ended with an error.
	Failed
	// Rejected means that the dependency rejected the call before running it.
	Rejected
	// TimedOut means that this server stopped waiting for it.
	TimedOut
	// Unreachable means that the call did not reach the dependency.
	Unreachable
	// Disconnected means that the connection broke after the call had been sent.
	Disconnected
	// Cancelled means that the run was stopped, or that its request was already done when the run
	// reached a downstream call.
	Cancelled
	// NeverStarted means that the request was already done before its run began.
	NeverStarted
)

// String returns the name of the outcome, for logs and tests.
func (o Outcome) String() string {
	names := []string{
		"finished", "failed", "rejected", "timed_out", "unreachable", "disconnected", "cancelled",
		"never_started",
	}
	return enumName(names, o)
}

// Event is something that happened to a server. The comment of its kind states which fields are
// set; RequestID is set in every event that concerns one request.
type Event struct {
	Kind      EventKind
	RequestID string
	Request   Request
	Outcome   Outcome
	// Duration is in seconds: the time that a run or a call took, or the time left until a
	// draining process is killed.
	Duration  float64
	Label     string
	Gauges    Gauges
	Allowance *Allowance
}

// Request holds the properties of a request, as known when it was read.
type Request struct {
	// Class and Tenant are indexes into Settings.Classes and Settings.Tenants; Client is the
	// index of the client.
	Class, Tenant, Client int
	// Memory is the memory of the request while it is queued, in kilobytes.
	Memory float64
	// Age is the time in seconds since the request reached the machine.
	Age float64
	// ExpectedWork is the expected run time in seconds on a standard core; 0 if unknown.
	ExpectedWork float64
	// RemainingBudget is the time in seconds that the client will still wait; 0 if the client did
	// not send it.
	RemainingBudget float64
	Priority        float64
	// Retry is set for attempts after the first, Write for requests that change data, and
	// HasSubject for requests that name the item that they concern, by which clients may choose
	// servers. The decisions use neither Retry nor Priority.
	Retry, Write, HasSubject bool
	// DuplicateOf is the ID of the request in the key table that this one repeats; empty if none.
	DuplicateOf string
}

// Gauges are the server's measurements of its own load. A negative value means that the
// measurement is not available. Runnable is the number of requests that run or wait for a core;
// the decisions use no other gauge.
type Gauges struct{ Utilization, Runnable, Memory, Connections float64 }

// CallAllowance is the value of Allowance.Tenant for an allowance of downstream calls, which
// belongs to no tenant.
const CallAllowance = -1

// Allowance is a server's current share of a limit that applies to all servers together. It
// replaces the server's own estimate of its share and is binding: requests over it are rejected,
// and calls over it are not dispatched. A server without an allowance uses its estimate.
type Allowance struct {
	// Tenant is the index of the tenant whose requests are limited, or CallAllowance if
	// downstream calls are limited.
	Tenant int
	// Limit is in requests a second for a tenant, and in concurrent calls for CallAllowance.
	Limit float64
	// BurstDuration times Limit is the number of unused requests that a tenant can save up, but
	// at least one unless Limit is 0. BurstDuration is in seconds; calls do not use it.
	BurstDuration float64
}
