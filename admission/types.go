// Package admission decides, inside one server, which tasks run, wait, call below or are turned away.
// This file is its interface only; every decision is in choice.go. Nothing here is tied to a protocol.
package admission

// Idempotency tells what running a task twice would do.
type Idempotency uint8

const (
	Idempotent   Idempotency = iota // may run again
	Deduplicated                    // carries a mark by which a repeat is known; runs once in its window
	AtMostOnce                      // must never run twice
)

// Downstream tells what the tasks' calls reach.
type Downstream uint8

const (
	NoDownstream     Downstream = iota
	SharedDependency            // one dependency that all servers share
	ServerTier                  // a tier of servers, through a balancer
)

// Preemption tells what can be done with running work.
type Preemption uint8

const (
	NoPreemption   Preemption = iota
	PreemptByDrop             // its progress is lost
	PreemptByPause            // it keeps its progress and its memory
)

// Backpressure tells what callers make of the free value.
type Backpressure uint8

const (
	NoBackpressure     Backpressure = iota
	BackpressureLevel               // they send nothing whose rank is below it
	BackpressureCredit              // each keeps at most that many tasks open here
	BackpressureWeight              // the odds that one does not pass this server over
)

// Class is a kind of task. Its due time is what an answer of full utility takes at most, a soft deadline; its time limit is how long
// its caller waits over all tries, a hard one.
type Class struct {
	Idempotency         Idempotency
	SoftDeadline        float64
	SoftDeadlineStretch float64 // the due time grows by this multiple of the task's own work
	Timeout             float64
	Value               float64
	LateValue           float64 // fraction paid after the due time
	DeduplicationWindow float64 // deduplicated: how long a repeat may follow
	CallsDownstream     bool
	DegradedValue       float64 // fraction paid when a call was left out
}

// Tenant is one of those who share the service: tasks a second within its share, over the fleet.
type Tenant struct{ Rate float64 }

// Settings is what a server is told at its start. Times are seconds, memory is kilobytes.
type Settings struct {
	Classes                           []Class
	Tenants                           []Tenant
	OverQuotaValue                    float64 // utility of what exceeds a tenant's share, as a fraction
	Servers, Clients                  int
	Cores                             int
	SlowStartSpeed, SlowStartDuration float64 // part of its speed that a cold server has, and for how long; 0 where warm
	DrainGracePeriod                  float64
	DeadlineTolerance                 float64
	ConcurrencyLimit                  float64 // running tasks a core that a warm server survives, mean of CrowdFor
	ConcurrencyWindow                 float64
	MemoryLimit                       float64
	RunningMemoryFactor               float64 // memory of a running task over that of a held one
	KeyMemory                         float64
	Downstream                        Downstream
	CallLimit                         float64 // this server's part of the calls that the shared dependency survives
	CallWindow                        float64 // mean over this
	AbandonedCallLifetime             float64 // how long an abandoned call may still count
	Preemption                        Preemption
	Backpressure                      Backpressure
	ResultCacheTTL                    float64 // an answer to a read serves repeats for this long
	DeadlinePropagation               bool
	MaxRetryAfter                     float64 // longest advice to stay away that is forwarded, 0 where none is
	IdleTimeout                       float64
	ValueByWork                       bool
}

// Request is what came with a task when it was read.
type Request struct {
	Class, Tenant, Client    int
	Memory                   float64 // while held
	Age                      float64 // since it reached the machine
	ExpectedWork             float64 // expected work in seconds of a standard core; 0 where unknown
	RemainingBudget          float64 // how long its caller still waits; 0 where not told
	Priority                 float64
	Retry, Write, HasSubject bool   // Marked: it names what it is about
	DuplicateOf              string // the kept task that this one repeats
}

// Gauges are the server's own readings; a reading that the server lacks is negative.
type Gauges struct{ Utilization, Runnable, Memory, Connections float64 }

// EventKind names what happened.
type EventKind uint8

const (
	Started            EventKind = iota // the first of every life
	Arrived                             // a task was read and is held
	RunEnded                            // a run ended; Outcome and Took
	AwaitingDownstream                  // a running task waits for its call to be let out
	CallReturned                        // a call came back; Outcome and Took
	ClientGone                          // nobody waits for the task any more
	DrainStarted                        // the process will be killed in Took seconds
	TimerFired                          // a timer went off; Gauges
	AllowanceChanged                    // the server's part of a budget that it shares with others; Allowance
)

// Outcome is how a run or a call ended.
type Outcome uint8

const (
	Finished     Outcome = iota
	Failed               // error
	Rejected             // turned away unseen
	TimedOut             // abandoned by us
	Unreachable          // never got there
	Disconnected         // dropped midway
	Cancelled            // taken off, or over at a call
	NeverStarted         // it was over already
)

// Event is one thing that happened to a server.
type Event struct {
	Kind      EventKind
	RequestID string
	Request   Request
	Outcome   Outcome
	Duration  float64
	Label     string
	Gauges    Gauges

	Allowance *Allowance
}

// Allowance is what a server may use of a budget that all share, from now on. It takes the place of the server's own guess, and binds: what is
// over it is turned away. A server that is told none decides as without.
type Allowance struct {
	Tenant        int     // whose tasks; -1 for calls below
	Limit         float64 // tasks a second, or calls out at a time
	BurstDuration float64 // tasks: seconds of that which may be saved up, one task at least
}

// ActionKind names what the server is to do.
type ActionKind uint8

const (
	StartRun       ActionKind = iota // run a held task
	CancelRun                        // stop running work
	Reject                           // final answer: turned away; For is the advice, Flag asks not to try elsewhere
	Fail                             // final answer: error
	DispatchCall                     // let the call out with time-out For
	Degrade                          // go on without the call
	StoreKey                         // put the task in the key table for For
	DeleteKey                        // take it out
	ReuseResult                      // answer with the result of the task it repeats
	SetHealth                        // Flag: good; answered from store
	ReportLoad                       // set the free value to Value
	SetIdleTimeout                   // close connections silent for For
	SetTimer                         // a Timer event in For seconds
	LogLine                          // a line for the report, in Label
)

// Action is one thing to do, in order.
type Action struct {
	Kind      ActionKind
	RequestID string
	Duration  float64
	Value     float64
	Flag      bool
	Label     string
}
