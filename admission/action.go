package admission

// ActionKind is the kind of an action.
type ActionKind uint8

const (
	// StartRun starts the run of a queued request.
	StartRun ActionKind = iota
	// CancelRun stops a run.
	CancelRun
	// Reject sends the final response saying that the request was rejected before it ran. Sets
	// Duration to the Retry-After, and NoFailover to ask the client not to try another server.
	Reject
	// Fail sends the final response saying that the request failed.
	Fail
	// DispatchCall sends the downstream call of a request. Sets Duration to the timeout of the
	// call.
	DispatchCall
	// Degrade continues a run without its downstream call.
	Degrade
	// StoreKey adds a request to the key table. Sets Duration to the time for which it stays
	// there.
	StoreKey
	// DeleteKey removes a request from the key table.
	DeleteKey
	// ReuseResult responds with the result of the request that this one repeats.
	ReuseResult
	// SetHealth sets the stored value with which health checks are answered. Sets Healthy.
	SetHealth
	// ReportLoad reports the load to clients. Sets Load, whose meaning depends on
	// Settings.Backpressure.
	ReportLoad
	// SetIdleTimeout sets the time after which idle connections are closed. Sets Duration.
	SetIdleTimeout
	// SetTimer arms a timer that causes a TimerFired event. Sets Duration to the time until then,
	// and Label.
	SetTimer
	// LogLine writes a line to the log. Sets Label to its text.
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

// Action is something that the server has to do. The comment of its kind states which fields are
// set. It is one flat struct for all kinds to save an allocation per action.
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
