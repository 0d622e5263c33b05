package shale

// Told is what a server is told at its start; unknown keys are skipped. A number is
// never under 0, and never over its tag `most`. Package life checks it and puts it in our words.
type Told struct {
	Servers          int     `json:"servers"`
	ValueBy          string  `json:"valueBy"`
	OverShareUtility float64 `json:"overShareWorth" most:"1"`
	Caps             struct {
		AdviceMaxMs float64 `json:"maxRetryAfterMs"`
		Advice      bool    `json:"retryAfter"`
	} `json:"caps"`
	Stages   []Stage `json:"classes"`
	Contract struct {
		ColdFrom      float64 `json:"coldFrom" most:"1"`
		ColdMs        float64 `json:"coldMs"`
		DrainGraceMs  float64 `json:"drainGraceMs"`
		Crowd         float64 `json:"fallMultiple"`
		AnswerSlackMs float64 `json:"graceToAnswerMs"`
		CrowdForMs    float64 `json:"tipAfterMs"`
	} `json:"contract"`
	Own struct {
		Below        string    `json:"below"`
		CallShare    float64   `json:"callShare"`
		StageCalls   []bool    `json:"classCalls"`
		SkipUtility  []float64 `json:"classSkipWorth" most:"1"`
		Cold         bool      `json:"cold"`
		Cores        int       `json:"cores"`
		CallForMs    float64   `json:"depWindowMs"`
		Gauges       []string  `json:"gauges"`
		IdleMs       float64   `json:"idleMs"`
		KeyMemoryKb  float64   `json:"kbPerKey"`
		MemoryKb     float64   `json:"memLimitKb"`
		TellsWait    bool      `json:"passesDeadline"`
		Stopping     string    `json:"preemption"`
		RunFactor    float64   `json:"runFactor"`
		Free         string    `json:"say"`
		ReuseForMs   float64   `json:"shareForMs"`
		CallLingerMs float64   `json:"staysForMs"`
		Callers      int       `json:"upstreams"`
	} `json:"familyInfo"`
	Tenants []Tenant `json:"tenants"`
}

// StagesKey is what the wire calls the list of stages.
const StagesKey = "classes"

// Stage is one stage.
type Stage struct {
	Name        string  `json:"name"`
	DueStretch  float64 `json:"aimStretch"`
	Effect      string  `json:"effect"`
	TimeLimitMs float64 `json:"hardLimitMs"`
	LateUtility float64 `json:"lateWorth" most:"1"`
	DueTimeMs   float64 `json:"objectiveMs"`
	WindowMs    float64 `json:"windowMs"`
	Utility     float64 `json:"worth"`
}

// Tenant is one tenant.
type Tenant struct {
	Name     string  `json:"name"`
	RatePerS float64 `json:"quotaPerS"`
}
