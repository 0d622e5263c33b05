package simulator

// Settings is the document with which the simulator starts a server, and the object `settings` in
// the operator's file. Unknown keys are ignored. Numbers must be at least 0 and at most the value
// of the tag `most`. Package config checks this and converts the document to the settings of
// package admission.
type Settings struct {
	Servers        int          `json:"servers"`
	ValueBy        string       `json:"valueBy"`                 // "work": the value of a request grows with its work
	OverQuotaValue float64      `json:"overShareWorth" most:"1"` // factor on the value of requests over quota
	Capabilities   Capabilities `json:"caps"`
	Classes        []Class      `json:"classes"`
	Contract       Contract     `json:"contract"`
	Deployment     Deployment   `json:"familyInfo"`
	Tenants        []Tenant     `json:"tenants"`
}

// ClassesKey is the key of the list of classes in the settings.
const ClassesKey = "classes"

// Capabilities are the parts of the protocol that clients support.
type Capabilities struct {
	MaxRetryAfterMs float64 `json:"maxRetryAfterMs"`
	RetryAfter      bool    `json:"retryAfter"` // clients wait for the time in the response before they retry
}

// Contract holds constants of the simulated machines that are the same in all deployments.
type Contract struct {
	SlowStartSpeed      float64 `json:"coldFrom" most:"1"` // initial speed of a cold server
	SlowStartMs         float64 `json:"coldMs"`
	DrainGraceMs        float64 `json:"drainGraceMs"`
	ConcurrencyPerCore  float64 `json:"fallMultiple"`    // running requests per core that a server survives
	DeadlineToleranceMs float64 `json:"graceToAnswerMs"` // how late a final response may be
	ConcurrencyWindowMs float64 `json:"tipAfterMs"`      // window over which the running requests per core are averaged
}

// Deployment describes the deployment of the server. The lists by class are in the order of
// Settings.Classes.
type Deployment struct {
	Downstream          string    `json:"below"`     // kind of the downstream service
	CallLimit           float64   `json:"callShare"` // mean concurrent calls that this server may make
	ClassCalls          []bool    `json:"classCalls"`
	DegradedValues      []float64 `json:"classSkipWorth" most:"1"` // value of a result without the call
	Cold                bool      `json:"cold"`
	Cores               int       `json:"cores"`
	CallWindowMs        float64   `json:"depWindowMs"` // window of CallLimit
	Gauges              []string  `json:"gauges"`      // names of the gauges, in the order in which events have them
	IdleTimeoutMs       float64   `json:"idleMs"`
	MemoryPerKeyKb      float64   `json:"kbPerKey"`
	MemoryLimitKb       float64   `json:"memLimitKb"`
	DeadlinePropagation bool      `json:"passesDeadline"` // requests have the remaining time for which the client waits
	Preemption          string    `json:"preemption"`     // kind of preemption that running requests support
	RunningFactor       float64   `json:"runFactor"`      // memory of a running request relative to a queued one
	Backpressure        string    `json:"say"`            // kind of load report
	ResultCacheMs       float64   `json:"shareForMs"`     // time for which the response to a read is reused
	AbandonedCallMs     float64   `json:"staysForMs"`     // time for which an abandoned call keeps running downstream
	Clients             int       `json:"upstreams"`
}

// Class is one class of requests.
type Class struct {
	Name                  string  `json:"name"`
	SoftDeadlineStretch   float64 `json:"aimStretch"` // the soft deadline is later by this multiple of the work
	Idempotency           string  `json:"effect"`     // kind of idempotency
	TimeoutMs             float64 `json:"hardLimitMs"`
	LateValue             float64 `json:"lateWorth" most:"1"`
	SoftDeadlineMs        float64 `json:"objectiveMs"`
	DeduplicationWindowMs float64 `json:"windowMs"` // window in which duplicates are recognised
	Value                 float64 `json:"worth"`
}

// Tenant is one tenant.
type Tenant struct {
	Name     string  `json:"name"`
	RatePerS float64 `json:"quotaPerS"`
}
