package shale

// Told is the document with which the simulator starts a server, and the part `settings` of the operator's
// file. Unknown keys are skipped. A number is never under 0, and never over its tag `most`: package config
// checks it and turns the document into the settings of package admission.
type Told struct {
	Servers          int      `json:"servers"`
	ValueBy          string   `json:"valueBy"` // "work": a request's value grows with its work
	OverShareUtility float64  `json:"overShareWorth" most:"1"`
	Caps             Caps     `json:"caps"`
	Stages           []Stage  `json:"classes"`
	Contract         Contract `json:"contract"`
	Own              Own      `json:"familyInfo"`
	Tenants          []Tenant `json:"tenants"`
}

// StagesKey is the key of the list of classes.
const StagesKey = "classes"

// Caps tells what clients understand.
type Caps struct {
	AdviceMaxMs float64 `json:"maxRetryAfterMs"`
	Advice      bool    `json:"retryAfter"` // clients heed the advice when to retry
}

// Contract holds the constants of the simulated machines, which all deployments share.
type Contract struct {
	ColdFrom      float64 `json:"coldFrom" most:"1"` // the speed at which a cold server starts
	ColdMs        float64 `json:"coldMs"`
	DrainGraceMs  float64 `json:"drainGraceMs"`
	Crowd         float64 `json:"fallMultiple"` // how many running requests a core survives
	AnswerSlackMs float64 `json:"graceToAnswerMs"`
	CrowdForMs    float64 `json:"tipAfterMs"` // the window over which Crowd is a mean
}

// Own describes the deployment of the server. The lists by class are in the order of Told.Stages.
type Own struct {
	Below        string    `json:"below"` // the kind of the tier below
	CallShare    float64   `json:"callShare"`
	StageCalls   []bool    `json:"classCalls"`
	SkipUtility  []float64 `json:"classSkipWorth" most:"1"` // the value of a result without the call
	Cold         bool      `json:"cold"`
	Cores        int       `json:"cores"`
	CallForMs    float64   `json:"depWindowMs"` // the window of CallShare
	Gauges       []string  `json:"gauges"`      // the names of the gauges, in the order in which they come
	IdleMs       float64   `json:"idleMs"`
	KeyMemoryKb  float64   `json:"kbPerKey"`
	MemoryKb     float64   `json:"memLimitKb"`
	TellsWait    bool      `json:"passesDeadline"` // clients tell how long they wait
	Stopping     string    `json:"preemption"`     // what can be done with a run
	RunFactor    float64   `json:"runFactor"`      // the memory of a running request over a queued one's
	Free         string    `json:"say"`            // the kind of the load report
	ReuseForMs   float64   `json:"shareForMs"`
	CallLingerMs float64   `json:"staysForMs"` // how long an abandoned call lives on below
	Callers      int       `json:"upstreams"`
}

// Stage is one class of requests.
type Stage struct {
	Name        string  `json:"name"`
	DueStretch  float64 `json:"aimStretch"` // by this multiple of the work the soft deadline is later
	Effect      string  `json:"effect"`     // the kind of its idempotency
	TimeLimitMs float64 `json:"hardLimitMs"`
	LateUtility float64 `json:"lateWorth" most:"1"`
	DueTimeMs   float64 `json:"objectiveMs"`
	WindowMs    float64 `json:"windowMs"` // in which duplicates are recognised
	Utility     float64 `json:"worth"`
}

// Tenant is one tenant.
type Tenant struct {
	Name     string  `json:"name"`
	RatePerS float64 `json:"quotaPerS"`
}
