package rpc

import (
	"fmt"
	"math"
	"strconv"

	"swiftcourse/internal/wire"
)

// Bounds of a request's fields. A number must be less than its maximum.
const (
	maxID               = 64   // bytes
	maxKey              = 128  // bytes, twice maxID; bounded because a key is stored for its deduplication window
	maxUnixMilliseconds = 1e15 // ms since the Unix epoch
	maxMilliseconds     = 1e12 // ms, for durations
	minMemory           = 1e-9 // KiB; excludes 0
	maxMemory           = 2000 // KiB
	maxPriority         = 1
)

// fieldSet has a bit for each required field that is present in a request.
type fieldSet uint8

// The required fields: without one of them, no deployment can decide on a request.
const (
	hasID fieldSet = 1 << iota
	hasArrivedAt
	hasMemory

	requiredFields = hasID | hasArrivedAt | hasMemory
)

// parseField sets the named field and returns its bit if it is required. Unknown fields are
// ignored, whatever their content.
func (m *Message) parseField(name string, content value) (fieldSet, error) {
	switch name {
	case fieldID, fieldArrivedAt, fieldClient, fieldTenant, fieldTimeout, fieldMemory, fieldPriority,
		fieldSubject, fieldKey, fieldRetry, fieldExpectedWork:
		if content.kind != kindString {
			return 0, errNotString
		}
	default:
		return 0, nil
	}
	return m.setField(name, string(content.data))
}

// setField parses text and sets a known field to it. It returns the bit of a required field.
func (m *Message) setField(name, text string) (required fieldSet, err error) {
	switch name {
	case fieldID:
		m.ID = text
		required = hasID
		if !isID(text) {
			err = fmt.Errorf("%w: %.20q", errInvalidID, text)
		}
	case fieldArrivedAt:
		m.ArrivedAt, err = parseMilliseconds(text, 0, maxUnixMilliseconds)
		required = hasArrivedAt
	case fieldTimeout:
		m.Timeout, err = parseMilliseconds(text, -maxMilliseconds, maxMilliseconds)
		m.NoTimeout = false
	case fieldMemory:
		m.Memory, err = parseNumber(text, minMemory, maxMemory)
		required = hasMemory
	case fieldClient:
		m.Client, err = strconv.Atoi(text)
		if m.Client < 0 {
			err = fmt.Errorf("%w: %.20q", errNegative, text)
		}
	case fieldPriority:
		m.Priority, err = parseNumber(text, 0, maxPriority)
	case fieldTenant:
		m.Tenant = text
	case fieldSubject:
		m.Subject = text
	case fieldKey:
		m.Key = text
		if len(text) > maxKey {
			err = fmt.Errorf("key of %d bytes, limit %d", len(text), maxKey)
		}
	case fieldRetry:
		m.Retry = text != "" && text != "0"
	case fieldExpectedWork:
		m.ExpectedWork, err = parseMilliseconds(text, 0, maxMilliseconds)
	}
	return required, err
}

// parseMilliseconds parses a number of milliseconds like parseNumber and returns it in seconds.
func parseMilliseconds(text string, minimum, limit float64) (float64, error) {
	milliseconds, err := parseNumber(text, minimum, limit)
	return milliseconds / wire.MillisecondsPerSecond, err
}

// parseNumber parses a number that must be at least minimum and less than limit.
func parseNumber(text string, minimum, limit float64) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || number < minimum || number >= limit {
		return 0, fmt.Errorf("%.20q is not a number of at least %g and less than %g", text, minimum, limit)
	}
	return number, nil
}

// isID reports whether text is a valid id. The text protocols of the other links allow no other
// characters.
func isID(text string) bool {
	for _, char := range []byte(text) {
		switch {
		case char >= '0' && char <= '9':
		case char >= 'a' && char <= 'z':
		case char >= 'A' && char <= 'Z':
		case char == '-', char == '_':
		default:
			return false
		}
	}
	return text != "" && len(text) <= maxID
}
