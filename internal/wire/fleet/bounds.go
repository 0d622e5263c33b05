package fleet

import (
	"errors"
	"math"
	"strings"
)

// Bounds of what is decoded; what is encoded keeps to them by how it is made.
const (
	maxText        = 64 << 10 // bytes of a version's text
	maxName        = 256      // bytes of any name, digest or reason
	maxMapEntries  = 4096     // entries of a map, or of a list of servers
	maxListEntries = 256      // entries of a list within an entry
	maxNumber      = 1e18     // of counts and durations
)

// What is wrong with a message, found by errors.Is.
var (
	// ErrUnknownBody is a message that carries nothing, or nothing that is known.
	ErrUnknownBody = errors.New("it carries nothing that is known")
	// ErrTooLarge is a message that is longer, or has more entries, than it may.
	ErrTooLarge = errors.New("a part is longer or has more entries than there may be")
	// ErrOutOfRange is a message with a number that can't be.
	ErrOutOfRange = errors.New("a number is out of its range")
)

// truncate keeps a reason within its bound.
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

// checkCount checks that a number is finite, not negative, and no larger than can be.
func checkCount(x float64) error {
	if !(x >= 0 && x < maxNumber) {
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
