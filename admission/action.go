package admission

// ActionKind names what the server is to do.
type ActionKind uint8

const (
	// StartRun runs a queued request.
	StartRun ActionKind = iota
	// CancelRun stops running work.
	CancelRun
	// Reject sends the final response that a request was rejected before it ran. Duration is the Retry-After,
	// NoFailover asks the client not to try another server.
	Reject
	// Fail sends the final response that a request failed.
	Fail
	// DispatchCall lets the downstream call of a request go out. Duration is its timeout.
	DispatchCall
	// Degrade has a run go on without its call.
	Degrade
	// StoreKey puts a request into the key table. Duration is for how long.
	StoreKey
	// DeleteKey takes it out of the table.
	DeleteKey
	// ReuseResult responds with the result of the request that this one repeats.
	ReuseResult
	// SetHealth sets what health checks are told, which are answered from a stored value. Healthy.
	SetHealth
	// ReportLoad sets the reported load to Load.
	ReportLoad
	// SetIdleTimeout closes connections that are silent for Duration.
	SetIdleTimeout
	// SetTimer has a TimerFired event follow after Duration. Label.
	SetTimer
	// LogLine writes a line to the log. Label.
	LogLine
)

// String returns the name of the kind, for logs and tests.
func (k ActionKind) String() string {
	return enumName([]string{"start_run", "cancel_run", "reject", "fail", "dispatch_call", "degrade", "store_key",
		"delete_key", "reuse_result", "set_health", "report_load", "set_idle_timeout", "set_timer", "log_line"}, k)
}

// Action is one thing to do. The kind tells which of the fields are set; one flat struct for all kinds spares an
// allocation for each action.
type Action struct {
	Kind      ActionKind
	RequestID string
	// Duration is in seconds.
	Duration   float64
	Load       float64
	NoFailover bool
	Healthy    bool
	Label      string
}
