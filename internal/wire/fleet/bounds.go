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
	maxText             = 64 << 10 // bytes of a version's text
	maxName             = 256      // bytes of any name, address, digest or reason
	maxLongListEntries  = 4096     // entries of a list or map with one entry per server, worker, tenant or counter row
	maxShortListEntries = 256      // entries of any other list or map
	maxNumber           = 1e18     // counts and durations must be less
)

// Errors for the content of a message, to be tested with errors.Is.
var (
	// ErrUnknownBody means that a message has no body or one of an unknown kind, or that the body
	// lacks the content that the message is for.
	ErrUnknownBody = errors.New("body of the message is unknown or empty")
	// ErrInvalidSize means that a part of a message has a wrong size: it is too long or has too many
	// entries. It also covers a part of fixed size that is too short, and a required part that is
	// missing.
	ErrInvalidSize = errors.New("part of the message has a wrong size or is missing")
	// ErrOutOfRange means that a field has an invalid value, or that a claim reply has no claim ID.
	ErrOutOfRange = errors.New("value out of range")
)

// truncate cuts a reason to at most maxName bytes and removes invalid UTF-8, which can't be
// encoded.
func truncate(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxName)], "")
}

// checkNames checks that no name, address, digest or reason is longer than maxName.
func checkNames(names ...string) error {
	for _, name := range names {
		if len(name) > maxName {
			return fmt.Errorf("%w: name, address, digest or reason of %d bytes, limit %d: %.20q",
				ErrInvalidSize, len(name), maxName, name)
		}
	}
	return nil
}

// checkFinite checks that a number is neither infinite nor NaN.
func checkFinite(x float64) error {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return fmt.Errorf("%w: %g, want a finite number", ErrOutOfRange, x)
	}
	return nil
}

// checkNonNegative checks that a number is at least 0 and below maxNumber.
func checkNonNegative(x float64) error {
	if !(x >= 0 && x < maxNumber) { // true for NaN too
		return fmt.Errorf("%w: %g, want at least 0 and less than %g", ErrOutOfRange, x, maxNumber)
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
