package rpc

import (
	"math"
	"strconv"
)

// This file and answer.go are the client's side of the protocol: what a load balancer writes and reads.

// decimals is how many decimals of memory and priority are written.
const decimals = 6

// PutTask appends a request, which Next reads as a message of kind Task. Times are written as whole
// milliseconds, memory and priority with six decimals; optional fields that aren't set are left out.
func PutTask(b []byte, m *Message) []byte {
	b = appendRequestHead(b, m.Number)
	b = appendString(b, m.Stage)
	fields := newFieldEncoder(append(b, headFixArray|2))
	fields.add(fieldID, m.ID)
	fields.add(fieldArrivedAt, wholeMilliseconds(m.Came))
	fields.add(fieldClient, strconv.Itoa(m.Caller))
	if !m.NoWait {
		fields.add(fieldTimeout, wholeMilliseconds(m.Wait))
	}
	fields.add(fieldMemory, strconv.FormatFloat(m.Memory, 'f', decimals, 64))
	if m.Tenant != "" {
		fields.add(fieldTenant, m.Tenant)
	}
	if m.Rank != 0 {
		fields.add(fieldPriority, strconv.FormatFloat(m.Rank, 'f', decimals, 64))
	}
	if m.Subject != "" {
		fields.add(fieldSubject, m.Subject)
	}
	if m.Key != "" {
		fields.add(fieldKey, m.Key)
	}
	if m.Again {
		fields.add(fieldRetry, flagSet)
	}
	if m.Hint > 0 {
		fields.add(fieldExpectedWork, strconv.FormatFloat(m.Hint*millisecondsPerSecond, 'f', -1, 64))
	}
	return appendBinary(fields.buffer, m.Body)
}

// wholeMilliseconds formats seconds as a whole number of milliseconds.
func wholeMilliseconds(seconds float64) string {
	return strconv.FormatFloat(math.Round(seconds*millisecondsPerSecond), 'f', -1, 64)
}

// PutGone appends the notification that the client doesn't wait for the response to a request any more.
func PutGone(b []byte, number uint64) []byte {
	b = appendNotificationHead(b, methodCancel)
	return appendNumber(append(b, headFixArray|1), number)
}

// PutCheck appends a health check.
func PutCheck(b []byte, number uint64) []byte {
	b = appendRequestHead(b, number)
	return append(appendString(b, methodCheck), headFixArray|1, headFixMap)
}
