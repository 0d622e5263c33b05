package processor

import "swiftcourse/admission"

// The values of key msg in a command.
const (
	messageHello   = "hello"
	messageBegin   = "begin"
	messageAnswer  = "answer"
	messageWithout = "without"
	messageUsage   = "usage"
)

// The values of key msg in a notice.
const (
	messageHi       = "hi"
	messageComplete = "complete"
	messageAsk      = "ask"
	messageUsed     = "used"
	messageReject   = "reject"
	messageRemark   = "remark"
)

// The values of key how in the notice hi, which answers hello.
const (
	stateFresh    = "fresh"
	stateSeasoned = "seasoned"
)

// The values of key how in the notice complete, which reports the end of a run.
const (
	outcomeDone    = "done"
	outcomeCrashed = "crashed"
	outcomeAborted = "aborted"
	outcomeStale   = "stale"
)

// outcomes holds the outcomes of runs by their names on the wire.
var outcomes = map[string]admission.Outcome{
	outcomeDone:    admission.Finished,
	outcomeCrashed: admission.Failed,
	outcomeAborted: admission.Cancelled,
	outcomeStale:   admission.NeverStarted,
}

// wireName returns the name of a value on the wire, or fallback if the value has no name.
func wireName[V comparable](names map[string]V, value V, fallback string) string {
	for name, named := range names {
		if named == value {
			return name
		}
	}
	return fallback
}
