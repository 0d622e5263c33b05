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

// The values of key how in the notice that answers hello.
const (
	stateFresh    = "fresh"
	stateSeasoned = "seasoned"
)

// The values of key how in the notice that a run ended.
const (
	outcomeDone    = "done"
	outcomeCrashed = "crashed"
	outcomeAborted = "aborted"
	outcomeStale   = "stale"
)

// outcomes are the outcomes of a run by their names on the wire.
var outcomes = map[string]admission.Outcome{
	outcomeDone:    admission.Finished,
	outcomeCrashed: admission.Failed,
	outcomeAborted: admission.Cancelled,
	outcomeStale:   admission.NeverStarted,
}

// wireName returns the name of a value on the wire, or fallback if it has none.
func wireName[V comparable](names map[string]V, value V, fallback string) string {
	for name, named := range names {
		if named == value {
			return name
		}
	}
	return fallback
}
