package rpc

import (
	"math"
	"strconv"

	"swiftcourse/internal/wire"
)

// ResponseMetadata holds the fields of a response.
type ResponseMetadata struct {
	LoadReport string  // load report, "" for none
	RetryAfter float64 // seconds after which the client should retry, 0 for no advice
	NoFailover bool    // the client should not retry on another server
}

// append appends a map of the fields that are set.
func (m ResponseMetadata) append(b []byte) []byte {
	fields := newFieldEncoder(b)
	if m.LoadReport != "" {
		fields.add(fieldLoadReport, m.LoadReport)
	}
	if m.RetryAfter > 0 {
		milliseconds := int64(math.Ceil(m.RetryAfter * wire.MillisecondsPerSecond))
		fields.add(fieldRetryAfter, strconv.FormatInt(milliseconds, 10))
	}
	if m.NoFailover {
		fields.add(fieldNoFailover, flagSet)
	}
	return fields.buffer
}

// AppendResult appends the response to a request that finished, with its result.
func AppendResult(b []byte, number uint64, result []byte, metadata ResponseMetadata) []byte {
	b = appendResponseHead(b, number)
	b = append(b, formatNil, formatFixArray|resultLength)
	return metadata.append(appendBinary(b, result))
}

// AppendRejected appends the response to a request that was rejected and did not run.
func AppendRejected(b []byte, number uint64, metadata ResponseMetadata) []byte {
	return appendError(b, number, errorRejected, metadata)
}

// AppendFailed appends the response to a request that failed or was abandoned.
func AppendFailed(b []byte, number uint64, metadata ResponseMetadata) []byte {
	return appendError(b, number, errorFailed, metadata)
}

// AppendInvalid appends the response to an invalid request.
func AppendInvalid(b []byte, number uint64, metadata ResponseMetadata) []byte {
	return appendError(b, number, errorInvalid, metadata)
}

// AppendHealth appends the response to a health check.
func AppendHealth(b []byte, number uint64, healthy bool, metadata ResponseMetadata) []byte {
	format := byte(formatFalse)
	if healthy {
		format = formatTrue
	}
	b = appendResponseHead(b, number)
	return metadata.append(append(b, formatNil, formatFixArray|resultLength, format))
}

// AppendGoAway appends the notification that the server wants no new requests on the connection.
func AppendGoAway(b []byte) []byte {
	b = appendNotificationHead(b, methodGoAway)
	return append(b, formatFixArray)
}

// appendError appends a response with an error, which is an array of a name and fields.
func appendError(b []byte, number uint64, name string, metadata ResponseMetadata) []byte {
	b = appendResponseHead(b, number)
	b = appendString(append(b, formatFixArray|errorLength), name)
	return append(metadata.append(b), formatNil)
}

// appendResponseHead appends the start of a response: type and number.
func appendResponseHead(b []byte, number uint64) []byte {
	return appendNumber(append(b, formatFixArray|responseLength, typeResponse), number)
}

// appendRequestHead appends the start of a request: type and number.
func appendRequestHead(b []byte, number uint64) []byte {
	return appendNumber(append(b, formatFixArray|requestLength, typeRequest), number)
}

// appendNotificationHead appends the start of a notification: type and method.
func appendNotificationHead(b []byte, method string) []byte {
	return appendString(append(b, formatFixArray|notificationLength, typeNotification), method)
}
