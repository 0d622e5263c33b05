package rpc

import (
	"math"
	"strconv"
)

// This file and client_response.go are the client's side of the protocol: what a load balancer writes and reads.

// decimals is how many decimals of memory and priority are written.
const decimals = 6

// AppendRequest appends a request, which ParseMessage reads as a KindRequest. Times are written as whole
// milliseconds, memory and priority with six decimals; optional fields that aren't set are left out.
func AppendRequest(b []byte, m *Message) []byte {
	b = appendRequestHead(b, m.Number)
	b = appendString(b, m.Class)
	fields := newFieldEncoder(append(b, headFixArray|2))
	fields.add(fieldID, m.ID)
	fields.add(fieldArrivedAt, wholeMilliseconds(m.ArrivedAt))
	fields.add(fieldClient, strconv.Itoa(m.Client))
	if !m.NoTimeout {
		fields.add(fieldTimeout, wholeMilliseconds(m.Timeout))
	}
	fields.add(fieldMemory, strconv.FormatFloat(m.Memory, 'f', decimals, 64))
	if m.Tenant != "" {
		fields.add(fieldTenant, m.Tenant)
	}
	if m.Priority != 0 {
		fields.add(fieldPriority, strconv.FormatFloat(m.Priority, 'f', decimals, 64))
	}
	if m.Subject != "" {
		fields.add(fieldSubject, m.Subject)
	}
	if m.Key != "" {
		fields.add(fieldKey, m.Key)
	}
	if m.Retry {
		fields.add(fieldRetry, flagSet)
	}
	if m.ExpectedWork > 0 {
		fields.add(fieldExpectedWork, strconv.FormatFloat(m.ExpectedWork*millisecondsPerSecond, 'f', -1, 64))
	}
	return appendBinary(fields.buffer, m.Body)
}

// wholeMilliseconds formats seconds as a whole number of milliseconds.
func wholeMilliseconds(seconds float64) string {
	return strconv.FormatFloat(math.Round(seconds*millisecondsPerSecond), 'f', -1, 64)
}

// AppendCancel appends the notification that the client doesn't wait for the response to a request any more.
func AppendCancel(b []byte, number uint64) []byte {
	b = appendNotificationHead(b, methodCancel)
	return appendNumber(append(b, headFixArray|1), number)
}

// AppendHealthCheck appends a health check.
func AppendHealthCheck(b []byte, number uint64) []byte {
	b = appendRequestHead(b, number)
	return append(appendString(b, methodCheck), headFixArray|1, headFixMap)
}
