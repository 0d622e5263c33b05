package rpc

// The message types. The type is the first element of a message.
const (
	typeRequest      = 0
	typeResponse     = 1
	typeNotification = 2
)

// The number of elements of a message, by type.
const (
	requestLength      = 4
	responseLength     = 4
	notificationLength = 3
)

// The number of elements of the arrays inside a message.
const (
	parametersLength = 2 // fields and body
	errorLength      = 2 // name and fields
	resultLength     = 2 // body or health state, and fields
)

// The methods with a special meaning. Any other method of a request is the name of its class.
const (
	methodHealthCheck = "isWell"
	methodCancel      = "forget"
	methodGoAway      = "goaway"
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

// flagSet is the value of a flag that is set. A flag that is not set is omitted.
const flagSet = "1"

// The names of errors in responses.
const (
	errorRejected = "Busy"
	errorFailed   = "Failed"
	errorInvalid  = "Invalid"
)
