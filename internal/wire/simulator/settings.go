package simulator

// Settings is the document with which the simulator starts a server, and the part `settings` of the operator's
// file. Unknown keys are skipped. A number is never under 0, and never over its tag `most`: package config
// checks it and turns the document into the settings of package admission.
type Settings struct {
	Servers        int          `json:"servers"`
	ValueBy        string       `json:"valueBy"` // "work": a request's value grows with its work
	OverQuotaValue float64      `json:"overShareWorth" most:"1"`
	Capabilities   Capabilities `json:"caps"`
	Classes        []Class      `json:"classes"`
	Contract       Contract     `json:"contract"`
	Deployment     Deployment   `json:"familyInfo"`
	Tenants        []Tenant     `json:"tenants"`
}

// ClassesKey is the key of the list of classes.
const ClassesKey = "classes"

// Capabilities tells what clients understand.
type Capabilities struct {
	MaxRetryAfterMs float64 `json:"maxRetryAfterMs"`
	RetryAfter      bool    `json:"retryAfter"` // clients heed the advice when to retry
}

// Contract holds the constants of the simulated machines, which all deployments share.
type Contract struct {
	SlowStartSpeed      float64 `json:"coldFrom" most:"1"` // the speed at which a cold server starts
	SlowStartMs         float64 `json:"coldMs"`
	DrainGraceMs        float64 `json:"drainGraceMs"`
	ConcurrencyPerCore  float64 `json:"fallMultiple"` // how many running requests a core survives
	DeadlineToleranceMs float64 `json:"graceToAnswerMs"`
	ConcurrencyWindowMs float64 `json:"tipAfterMs"` // the window over which ConcurrencyPerCore is a mean
}

// Deployment describes the deployment of the server. The lists by class are in the order of Settings.Classes.
type Deployment struct {
	Downstream          string    `json:"below"` // the kind of the tier below
	CallLimit           float64   `json:"callShare"`
	ClassCalls          []bool    `json:"classCalls"`
	DegradedValues      []float64 `json:"classSkipWorth" most:"1"` // the value of a result without the call
	Cold                bool      `json:"cold"`
	Cores               int       `json:"cores"`
	CallWindowMs        float64   `json:"depWindowMs"` // the window of CallLimit
	Gauges              []string  `json:"gauges"`      // the names of the gauges, in the order in which they come
	IdleTimeoutMs       float64   `json:"idleMs"`
	MemoryPerKeyKb      float64   `json:"kbPerKey"`
	MemoryLimitKb       float64   `json:"memLimitKb"`
	DeadlinePropagation bool      `json:"passesDeadline"` // clients tell how long they wait
	Preemption          string    `json:"preemption"`     // what can be done with a run
	RunningFactor       float64   `json:"runFactor"`      // the memory of a running request over a queued one's
	Backpressure        string    `json:"say"`            // the kind of the load report
	ResultCacheMs       float64   `json:"shareForMs"`
	AbandonedCallMs     float64   `json:"staysForMs"` // how long an abandoned call lives on below
	Clients             int       `json:"upstreams"`
}

// Class is one class of requests.
type Class struct {
	Name                  string  `json:"name"`
	SoftDeadlineStretch   float64 `json:"aimStretch"` // the soft deadline is later by this multiple of the work
	Idempotency           string  `json:"effect"`     // the kind of its idempotency
	TimeoutMs             float64 `json:"hardLimitMs"`
	LateValue             float64 `json:"lateWorth" most:"1"`
	SoftDeadlineMs        float64 `json:"objectiveMs"`
	DeduplicationWindowMs float64 `json:"windowMs"` // in which duplicates are recognised
	Value                 float64 `json:"worth"`
}

// Tenant is one tenant.
type Tenant struct {
	Name     string  `json:"name"`
	RatePerS float64 `json:"quotaPerS"`
}
