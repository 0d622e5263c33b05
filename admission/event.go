package admission

// EventKind names what happened.
type EventKind uint8

const (
	// Started is the first event of every controller, when the server is up.
	Started EventKind = iota
	// Arrived tells that a request was read and is queued. Sets Request.
	Arrived
	// RunEnded tells that a run ended. Sets Outcome and Duration, the time that the run took.
	RunEnded
	// AwaitingDownstream tells that a running request waits for its call to be dispatched.
	AwaitingDownstream
	// CallReturned tells that a downstream call ended. Sets Outcome and Duration, the time that the
	// call took.
	CallReturned
	// ClientGone tells that nobody waits for the request any more.
	ClientGone
	// DrainStarted tells that the process will be killed. Sets Duration, the time until then.
	DrainStarted
	// TimerFired tells that a timer went off. Sets Gauges, and Label to that of the timer.
	TimerFired
	// AllowanceChanged tells the server's share of a limit that holds for all servers together. Sets
	// Allowance.
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

// Outcome is how a run or a call ended.
type Outcome uint8

const (
	// Finished means that it ended well.
	Finished Outcome = iota
	// Failed means that it ended with an error.
	Failed
	// Rejected means that the other side rejected it before it ran.
	Rejected
	// TimedOut means that this server gave it up.
	TimedOut
	// Unreachable means that it never got to the other side.
	Unreachable
	// Disconnected means that the connection broke midway.
	Disconnected
	// Cancelled means that the run was stopped, or its request was done already when it came to a
	// call.
	Cancelled
	// NeverStarted means that the request was done already before its run began.
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

// Event is one thing that happened to a server. The comment of its kind tells which fields are set;
// RequestID is set in all that concern one request.
type Event struct {
	Kind      EventKind
	RequestID string
	Request   Request
	Outcome   Outcome
	// Duration is how many seconds a run or a call took, or how many are left until a draining
	// process is killed.
	Duration  float64
	Label     string
	Gauges    Gauges
	Allowance *Allowance
}

// Request is what came with a request when it was read.
type Request struct {
	// Class, Tenant and Client are indexes; the first two of the settings' lists.
	Class, Tenant, Client int
	// Memory is what it takes while it is queued, in kilobytes.
	Memory float64
	// Age is how many seconds ago it reached the machine.
	Age float64
	// ExpectedWork is how long it is expected to run, in seconds of a standard core; 0 where that is
	// unknown.
	ExpectedWork float64
	// RemainingBudget is for how many seconds its client still waits; 0 where the client did not send it.
	RemainingBudget float64
	Priority        float64
	// Retry tells that it is a later attempt, Write that it changes something, HasSubject that it
	// names what it is about.
	Retry, Write, HasSubject bool
	// DuplicateOf is the ID of the stored request that this one repeats, empty where it repeats
	// none.
	DuplicateOf string
}

// Gauges are the server's readings of its own load; a reading that it lacks is negative. Runnable is
// the number of requests that run or wait for a core. The decisions use no other reading.
type Gauges struct{ Utilization, Runnable, Memory, Connections float64 }

// CallAllowance is the Tenant of an allowance for downstream calls, which belongs to no tenant.
const CallAllowance = -1

// Allowance is a server's share, from now on, of a limit that holds for all servers together. It takes
// the place of the server's own estimate and is binding: requests over it are rejected, and calls over
// it are not dispatched. A server without one decides by its estimate.
type Allowance struct {
	// Tenant is whose requests it bounds; CallAllowance where it bounds downstream calls.
	Tenant int
	// Limit is in requests a second, or in concurrent calls.
	Limit float64
	// BurstDuration is how many seconds of a request rate may be saved up, but at least one request.
	BurstDuration float64
}
