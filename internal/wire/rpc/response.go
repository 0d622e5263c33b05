package rpc

import (
	"math"
	"strconv"
)

// Say is what a response carries beside its result.
type Say struct {
	Free   string  // the load report, "" where none was set
	Advice float64 // after how many seconds the client should retry; 0 where nothing is advised
	Last   bool    // the client should not retry at another server
}

// append appends the map of the fields that are set.
func (s Say) append(b []byte) []byte {
	fields := newFieldEncoder(b)
	if s.Free != "" {
		fields.add(fieldLoadReport, s.Free)
	}
	if s.Advice > 0 {
		milliseconds := int64(math.Ceil(s.Advice * millisecondsPerSecond))
		fields.add(fieldRetryAfter, strconv.FormatInt(milliseconds, 10))
	}
	if s.Last {
		fields.add(fieldNoFailover, flagSet)
	}
	return fields.buffer
}

// PutResult appends the response to the request numbered number, which finished.
func PutResult(b []byte, number uint64, result []byte, say Say) []byte {
	b = appendResponseHead(b, number)
	b = append(b, headNil, headFixArray|2)
	return say.append(appendBinary(b, result))
}

// PutRejected appends the response to a request that was rejected and never ran.
func PutRejected(b []byte, number uint64, say Say) []byte {
	return appendError(b, number, errorRejected, say)
}

// PutAbandoned appends the response to a request that failed or was given up.
func PutAbandoned(b []byte, number uint64, say Say) []byte {
	return appendError(b, number, errorFailed, say)
}

// PutInvalid appends the response to a message that can't be taken as a request.
func PutInvalid(b []byte, number uint64, say Say) []byte {
	return appendError(b, number, errorInvalid, say)
}

// PutWell appends the response to a health check.
func PutWell(b []byte, number uint64, healthy bool, say Say) []byte {
	state := byte(headFalse)
	if healthy {
		state = headTrue
	}
	b = appendResponseHead(b, number)
	return say.append(append(b, headNil, headFixArray|2, state))
}

// PutPart appends the notification that no new request is wanted on the connection.
func PutPart(b []byte) []byte {
	b = appendNotificationHead(b, methodGoAway)
	return append(b, headFixArray)
}

// appendError appends a response whose error is an array of a name and fields.
func appendError(b []byte, number uint64, name string, say Say) []byte {
	b = appendResponseHead(b, number)
	b = appendString(append(b, headFixArray|2), name)
	return append(say.append(b), headNil)
}

// appendResponseHead appends the start of a response: type and number.
func appendResponseHead(b []byte, number uint64) []byte {
	return appendNumber(append(b, headFixArray|responseLength, typeResponse), number)
}

// appendRequestHead appends the start of a request: type and number.
func appendRequestHead(b []byte, number uint64) []byte {
	return appendNumber(append(b, headFixArray|requestLength, typeRequest), number)
}

// appendNotificationHead appends the start of a notification: type and method.
func appendNotificationHead(b []byte, method string) []byte {
	return appendString(append(b, headFixArray|notificationLength, typeNotification), method)
}
