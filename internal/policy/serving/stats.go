package serving

import "sync/atomic"

// VersionStats counts the server loop's decision batches and requests under one configuration
// version. A decision batch is the set of events that the loop passes to the controller in one turn.
// The server loop updates the counts while the node agent reads them.
type VersionStats struct {
	Batches   atomic.Uint64
	Requests  atomic.Uint64
	Completed atomic.Uint64
	// Failed counts the completed requests that were rejected or abandoned.
	Failed atomic.Uint64
}

// CallStats summarizes the server loop's downstream calls since its last report.
type CallStats struct {
	Succeeded int
	Failed    int
	// TotalSeconds is the total duration of the calls that succeeded.
	TotalSeconds float64
	// InFlight is the number of calls in progress at the time of the report.
	InFlight int
}
