package fleet

import (
	"errors"
	"math"
	"strings"
)

// Bounds that are checked while decoding. Encoding truncates reasons, and relies on its callers for
// the others.
const (
	maxText        = 64 << 10 // bytes of a version's text
	maxName        = 256      // bytes of any name, address, digest or reason
	maxMapEntries  = 4096     // entries of a map, or of a list of servers
	maxListEntries = 256      // entries of a list within an entry
	maxNumber      = 1e18     // of counts and durations
)

// Faults of a message's content, to be tested with errors.Is.
var (
	// ErrUnknownBody is a message that carries nothing, or nothing that is known.
	ErrUnknownBody = errors.New("it carries nothing that is known")
	// ErrTooLarge is a message with a part of a wrong size: longer, or with more entries, than it
	// may be. It also covers a fixed-size part that is too short, and a required one that is missing.
	ErrTooLarge = errors.New("a part is longer or has more entries than there may be")
	// ErrOutOfRange is a message with a value that its field can't have.
	ErrOutOfRange = errors.New("a number is out of its range")
)

// truncate cuts a reason to maxName bytes of valid UTF-8.
func truncate(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxName)], "")
}

// checkNames checks that names are within their bound.
func checkNames(names ...string) error {
	for _, name := range names {
		if len(name) > maxName {
			return ErrTooLarge
		}
	}
	return nil
}

// checkFinite checks that a number is neither infinite nor NaN.
func checkFinite(x float64) error {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return ErrOutOfRange
	}
	return nil
}

// checkNonNegative checks that a number is at least 0 and below maxNumber.
func checkNonNegative(x float64) error {
	if !(x >= 0 && x < maxNumber) { // true for NaN too
		return ErrOutOfRange
	}
	return nil
}

// checkNotAbove checks that a part is no larger than the whole.
func checkNotAbove(part, whole float64) error {
	if part > whole {
		return ErrOutOfRange
	}
	return nil
}
