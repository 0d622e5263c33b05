package rpc

// The types of a message, the first element of its array.
const (
	typeRequest      = 0
	typeResponse     = 1
	typeNotification = 2
)

// How many elements a message of each type has.
const (
	requestLength      = 4
	responseLength     = 4
	notificationLength = 3
)

// How many elements the arrays inside a message have.
const (
	parametersLength = 2 // fields and body
	errorLength      = 2 // name and fields
	resultLength     = 2 // body or health, and fields
)

// The methods that have a meaning of their own. Any other method of a request is its class.
const (
	methodCheck  = "isWell"
	methodCancel = "forget"
	methodGoAway = "goaway"
)

// The fields of a request.
const (
	fieldID           = "call"
	fieldArrivedAt    = "recv"
	fieldClient       = "src"
	fieldTenant       = "org"
	fieldTimeout      = "ttl"
	fieldMemory       = "heap"
	fieldPriority     = "crit"
	fieldSubject      = "row"
	fieldKey          = "dedupe"
	fieldRetry        = "rep"
	fieldExpectedWork = "work"
)

// The fields of a response.
const (
	fieldLoadReport = "load"
	fieldRetryAfter = "pushback"
	fieldNoFailover = "stop"
)

// flagSet is the value of a field that is a flag, where it's written.
const flagSet = "1"

// The names of a response's error.
const (
	errorRejected = "Busy"
	errorFailed   = "Failed"
	errorInvalid  = "Invalid"
)
