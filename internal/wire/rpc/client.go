package rpc

import (
	"math"
	"strconv"

	"swiftcourse/internal/wire"
)

// This file and client_response.go are the client's side of the protocol: a load balancer appends
// requests and parses responses.

// fixedDecimals is the number of decimal places of memory and priority on the wire.
const fixedDecimals = 6

// AppendRequest appends a request, which ParseMessage parses as a KindRequest. The arrival time and
// the timeout are rounded to whole milliseconds, memory and priority to six decimal places.
// Optional fields that are not set are omitted.
func AppendRequest(b []byte, message *Message) []byte {
	b = appendRequestHead(b, message.Number)
	b = appendString(b, message.Class)
	fields := newFieldEncoder(append(b, formatFixArray|parametersLength))
	fields.add(fieldID, message.ID)
	fields.add(fieldArrivedAt, formatMilliseconds(message.ArrivedAt))
	fields.add(fieldClient, strconv.Itoa(message.Client))
	if !message.NoTimeout {
		fields.add(fieldTimeout, formatMilliseconds(message.Timeout))
	}
	fields.add(fieldMemory, strconv.FormatFloat(message.Memory, 'f', fixedDecimals, 64))
	if message.Tenant != "" {
		fields.add(fieldTenant, message.Tenant)
	}
	if message.Priority != 0 {
		fields.add(fieldPriority, strconv.FormatFloat(message.Priority, 'f', fixedDecimals, 64))
	}
	if message.Subject != "" {
		fields.add(fieldSubject, message.Subject)
	}
	if message.Key != "" {
		fields.add(fieldKey, message.Key)
	}
	if message.Retry {
		fields.add(fieldRetry, flagSet)
	}
	if message.ExpectedWork > 0 {
		fields.add(fieldExpectedWork, strconv.FormatFloat(message.ExpectedWork*wire.MillisecondsPerSecond, 'f', -1, 64))
	}
	return appendBinary(fields.buffer, message.Body)
}

// formatMilliseconds formats seconds as a whole number of milliseconds.
func formatMilliseconds(seconds float64) string {
	return strconv.FormatFloat(math.Round(seconds*wire.MillisecondsPerSecond), 'f', -1, 64)
}

// AppendCancel appends the notification that the client no longer waits for the response to a
// request.
func AppendCancel(b []byte, number uint64) []byte {
	b = appendNotificationHead(b, methodCancel)
	return appendNumber(append(b, formatFixArray|1), number)
}

// AppendHealthCheck appends a health check.
func AppendHealthCheck(b []byte, number uint64) []byte {
	b = appendRequestHead(b, number)
	// The parameters are an empty map of fields and no body.
	return append(appendString(b, methodHealthCheck), formatFixArray|1, formatFixMap)
}
