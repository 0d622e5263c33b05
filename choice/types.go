// Package choice decides, inside one server, which tasks run, wait, call below or are turned away.
// This file is its interface only; every decision is in choice.go. Nothing here is tied to a protocol.
package choice

// Effect tells what running a task twice would do.
type Effect uint8

const (
	Idempotent   Effect = iota // may run again
	Deduplicated               // carries a mark by which a repeat is known; runs once in its window
	AtMostOnce                 // must never run twice
)

// Below tells what the tasks' calls reach.
type Below uint8

const (
	Nothing Below = iota
	Shared        // one dependency that all servers share
	Tier          // a tier of servers, through a balancer
)

// Stopping tells what can be done with running work.
type Stopping uint8

const (
	NoStop Stopping = iota
	Drop            // its progress is lost
	Pause           // it keeps its progress and its memory
)

// Free tells what callers make of the free value.
type Free uint8

const (
	NoFree Free = iota
	Level       // they send nothing whose rank is below it
	Credit      // each keeps at most that many tasks open here
	Odds        // the odds that one does not pass this server over
)

// Stage is a kind of task. Its due time is what an answer of full utility takes at most, a soft deadline; its time limit is how long
// its caller waits over all tries, a hard one.
type Stage struct {
	Effect      Effect
	DueTime     float64
	DueStretch  float64 // the due time grows by this multiple of the task's own work
	TimeLimit   float64
	Utility     float64
	LateUtility float64 // fraction paid after the due time
	Window      float64 // deduplicated: how long a repeat may follow
	Calls       bool
	SkipUtility float64 // fraction paid when a call was left out
}

// Tenant is one of those who share the service: tasks a second within its share, over the fleet.
type Tenant struct{ Rate float64 }

// Site is what a server is told at its start. Times are seconds, memory is kilobytes.
type Site struct {
	Stages            []Stage
	Tenants           []Tenant
	OverShare         float64 // utility of what exceeds a tenant's share, as a fraction
	Servers, Callers  int
	Cores             int
	ColdFrom, ColdFor float64 // part of its speed that a cold server has, and for how long; 0 where warm
	DrainGrace        float64
	AnswerSlack       float64
	Crowd             float64 // running tasks a core that a warm server survives, mean of CrowdFor
	CrowdFor          float64
	Memory            float64
	RunFactor         float64 // memory of a running task over that of a held one
	KeyMemory         float64
	Below             Below
	CallShare         float64 // this server's part of the calls that the shared dependency survives
	CallFor           float64 // mean over this
	CallLinger        float64 // how long an abandoned call may still count
	Stopping          Stopping
	Free              Free
	ReuseFor          float64 // an answer to a read serves repeats for this long
	TellsWait         bool
	AdviceMax         float64 // longest advice to stay away that is forwarded, 0 where none is
	Idle              float64
	UtilityByWork     bool
}

// Task is what came with a task when it was read.
type Task struct {
	Stage, Tenant, Caller int
	Memory                float64 // while held
	Age                   float64 // since it reached the machine
	Hint                  float64 // expected work in seconds of a standard core; 0 where unknown
	Wait                  float64 // how long its caller still waits; 0 where not told
	Rank                  float64
	Again, Write, Marked  bool   // Marked: it names what it is about
	Earlier               string // the kept task that this one repeats
}

// Gauges are the server's own readings; a reading that the server lacks is negative.
type Gauges struct{ Busy, Runnable, Memory, Conns float64 }

// EventKind names what happened.
type EventKind uint8

const (
	Born     EventKind = iota // the first of every life
	Read                      // a task was read and is held
	Ended                     // a run ended; Outcome and Took
	Parked                    // a running task waits for its call to be let out
	CallDone                  // a call came back; Outcome and Took
	Gone                      // nobody waits for the task any more
	Drain                     // the process will be killed in Took seconds
	Timer                     // a timer went off; Gauges
	Allow                     // the server's part of a budget that it shares with others; Allowance
)

// Outcome is how a run or a call ended.
type Outcome uint8

const (
	Finished     Outcome = iota
	Errored              // error
	Bounced              // turned away unseen
	TimedOut             // abandoned by us
	Unreachable          // never got there
	Cut                  // dropped midway
	Stopped              // taken off, or over at a call
	NeverStarted         // it was over already
)

// Event is one thing that happened to a server.
type Event struct {
	Kind    EventKind
	ID      string
	Task    Task
	Outcome Outcome
	Took    float64
	Label   string
	Gauges  Gauges

	Allowance *Allowance
}

// Allowance is what a server may use of a budget that all share, from now on. It takes the place of the server's own guess, and binds: what is
// over it is turned away. A server that is told none decides as without.
type Allowance struct {
	Tenant int     // whose tasks; -1 for calls below
	Most   float64 // tasks a second, or calls out at a time
	Depth  float64 // tasks: seconds of that which may be saved up, one task at least
}

// ActionKind names what the server is to do.
type ActionKind uint8

const (
	Start    ActionKind = iota // run a held task
	TakeOff                    // stop running work
	Reject                     // final answer: turned away; For is the advice, Flag asks not to try elsewhere
	Abandon                    // final answer: error
	Call                       // let the call out with time-out For
	Skip                       // go on without the call
	Keep                       // put the task in the key table for For
	Forget                     // take it out
	Reuse                      // answer with the result of the task it repeats
	Health                     // Flag: good; answered from store
	SetFree                    // set the free value to Value
	Idle                       // close connections silent for For
	SetTimer                   // a Timer event in For seconds
	Note                       // a line for the report, in Label
)

// Action is one thing to do, in order.
type Action struct {
	Kind  ActionKind
	ID    string
	For   float64
	Value float64
	Flag  bool
	Label string
}
