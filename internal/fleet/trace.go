package fleet

// TracePoint is a step of a key claim or of a replica's catch-up, reported to Hooks.TracePoint.
type TracePoint uint8

// The trace points, in the order in which a claim, and then the catch-up of a slot, passes them.
const (
	TraceClaiming  TracePoint = iota // the coordinator is about to send a claim
	TraceClaimed                     // the coordinator sent the claim
	TraceGranting                    // a replica decided on a claim
	TraceGranted                     // the replica sent its reply
	TraceStarted                     // the agent told the serving loop that a request may run
	TraceFinishing                   // the coordinator sent the outcome of a run
	TraceRecording                   // a replica recorded the outcome of a run
	TraceRecorded                    // the replica sent its reply
	TracePulling                     // a replica handled a request for its records
	TracePulled                      // the replica sent its records, if any
	TraceMerging                     // a replica received the records of another one
	TraceMerged                      // the replica merged the records
	tracePointCount
)

// Programs that observe trace points depend on these names; some differ from the names of the
// constants.
var tracePointNames = [tracePointCount]string{
	"claiming", "asked", "granting", "granted", "begun", "ending",
	"noting", "noted", "pulling", "pulled", "taking", "taken",
}

// String returns the name of the trace point.
func (p TracePoint) String() string {
	if p >= tracePointCount {
		return "?"
	}
	return tracePointNames[p]
}

// TracePoints contains the names of all trace points, in order.
var TracePoints = tracePointNames[:]

// trace calls Hooks.TracePoint if it is set.
func (a *Agent) trace(point TracePoint) {
	if a.config.Hooks.TracePoint != nil {
		a.config.Hooks.TracePoint(point)
	}
}
