package admission

// ActionKind names what the server is to do.
type ActionKind uint8

const (
	// StartRun runs a queued request.
	StartRun ActionKind = iota
	// CancelRun stops running work.
	CancelRun
	// Reject sends the final response that a request was rejected before it ran. Sets Duration, the
	// Retry-After, and NoFailover, which asks the client not to try another server.
	Reject
	// Fail sends the final response that a request failed.
	Fail
	// DispatchCall lets the downstream call of a request go out. Sets Duration, its timeout.
	DispatchCall
	// Degrade has a run go on without its call.
	Degrade
	// StoreKey puts a request into the key table. Sets Duration, for how long it stays there.
	StoreKey
	// DeleteKey takes it out of the table.
	DeleteKey
	// ReuseResult responds with the result of the request that this one repeats.
	ReuseResult
	// SetHealth sets what health checks are told, which are answered from a stored value. Sets
	// Healthy.
	SetHealth
	// ReportLoad reports the load to clients. Sets Load, which they read as Backpressure says.
	ReportLoad
	// SetIdleTimeout closes connections that are silent for so long. Sets Duration.
	SetIdleTimeout
	// SetTimer has a TimerFired event follow. Sets Duration, the time until then, and Label.
	SetTimer
	// LogLine writes a line to the log. Sets Label, its text.
	LogLine
)

// String returns the name of the kind, for logs and tests.
func (k ActionKind) String() string {
	names := []string{
		"start_run", "cancel_run", "reject", "fail", "dispatch_call", "degrade", "store_key", "delete_key",
		"reuse_result", "set_health", "report_load", "set_idle_timeout", "set_timer", "log_line",
	}
	return enumName(names, k)
}

// Action is one thing to do. The kind tells which of the fields are set; one flat struct for all
// kinds spares an allocation for each action.
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
