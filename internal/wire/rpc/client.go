package rpc

import (
	"math"
	"strconv"

	"swiftcourse/internal/wire"
)

// This file and client_response.go are the client's side of the protocol: what a load balancer writes and reads.

// fixedDecimals is the number of decimals with which memory and priority are written.
const fixedDecimals = 6

// AppendRequest appends a request, which ParseMessage reads as a KindRequest. Times are written as
// whole milliseconds, memory and priority with six decimals; optional fields that aren't set are left out.
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

// AppendCancel appends the notification that the client doesn't wait for the response to a request any more.
func AppendCancel(b []byte, number uint64) []byte {
	b = appendNotificationHead(b, methodCancel)
	return appendNumber(append(b, formatFixArray|1), number)
}

// AppendHealthCheck appends a health check.
func AppendHealthCheck(b []byte, number uint64) []byte {
	b = appendRequestHead(b, number)
	return append(appendString(b, methodCheck), formatFixArray|1, formatFixMap) // an empty map of fields and no body
}
