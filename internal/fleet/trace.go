package fleet

// TracePoint is a step of a key claim, or of a replica's catching up, that Hooks.TracePoint
// observes.
type TracePoint uint8

// The trace points, in the order in which a claim, and then a slot's records, pass them.
const (
	TraceClaiming  TracePoint = iota // the coordinator is about to send a claim
	TraceClaimed                     // it sent the claim
	TraceGranting                    // a replica decided on a claim
	TraceGranted                     // it sent its reply
	TraceStarted                     // the serving loop was notified that a request may run
	TraceFinishing                   // the coordinator sent how a run ended
	TraceRecording                   // a replica recorded how a run ended
	TraceRecorded                    // it sent its reply
	TracePulling                     // a replica received a request for its records
	TracePulled                      // it sent them
	TraceMerging                     // a replica received another one's records
	TraceMerged                      // it merged them
	tracePointCount
)

// The names are read by programs that observe trace points; some of them differ from the constants'.
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

// TracePoints are the names of all trace points, in their order.
var TracePoints = tracePointNames[:]

// trace calls the hook for a step.
func (a *Agent) trace(point TracePoint) {
	if a.config.Hooks.TracePoint != nil {
		a.config.Hooks.TracePoint(point)
	}
}
