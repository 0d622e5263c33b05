// Package timing has the time helpers that the experiments share. Their plans and rows count float seconds, as the
// command line and the reports do.
package timing

import (
	"context"
	"time"
)

// Seconds converts a number of seconds.
func Seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// Sleep returns after the duration, or as soon as the context ends.
func Sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
