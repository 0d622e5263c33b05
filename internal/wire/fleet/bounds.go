package fleet

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// Bounds that are checked when a message is decoded. When it is encoded, reasons are truncated, and
// the callers have to keep the other bounds.
const (
	maxText        = 64 << 10 // bytes of a version's text
	maxName        = 256      // bytes of any name, address, digest or reason
	maxMapEntries  = 4096     // entries of a map, or of a list of servers
	maxListEntries = 256      // entries of any other list
	maxNumber      = 1e18     // of counts and durations
)

// Errors for the content of a message, to be tested with errors.Is.
var (
	// ErrUnknownBody means that a message has no body, or one of an unknown kind.
	ErrUnknownBody = errors.New("message has no body of a known kind")
	// ErrTooLarge means that a part of a message has a wrong size: it is too long or has too many
	// entries. It also covers a part of fixed size that is too short, and a required part that is
	// missing.
	ErrTooLarge = errors.New("part of the message has a wrong size or is missing")
	// ErrOutOfRange means that a field has an invalid value.
	ErrOutOfRange = errors.New("value out of range")
)

// truncate cuts a reason to at most maxName bytes and removes invalid UTF-8.
func truncate(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxName)], "")
}

// checkNames checks that no name is longer than maxName.
func checkNames(names ...string) error {
	for _, name := range names {
		if len(name) > maxName {
			return fmt.Errorf("%w: name of %d bytes, limit %d", ErrTooLarge, len(name), maxName)
		}
	}
	return nil
}

// checkFinite checks that a number is neither infinite nor NaN.
func checkFinite(x float64) error {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return fmt.Errorf("%w: %g is not finite", ErrOutOfRange, x)
	}
	return nil
}

// checkNonNegative checks that a number is at least 0 and below maxNumber.
func checkNonNegative(x float64) error {
	if !(x >= 0 && x < maxNumber) { // true for NaN too
		return fmt.Errorf("%w: %g is not from 0 to under %g", ErrOutOfRange, x, maxNumber)
	}
	return nil
}

// checkNotAbove checks that part is not larger than whole.
func checkNotAbove(part, whole float64) error {
	if part > whole {
		return fmt.Errorf("%w: part %g exceeds the whole %g", ErrOutOfRange, part, whole)
	}
	return nil
}
