// Package timing has time helpers for the experiments, whose plans and reports state durations as
// floating-point seconds.
package timing

import (
	"context"
	"time"
)

// Seconds converts a number of seconds to a duration.
func Seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// Sleep returns after the duration, or earlier if the context ends.
func Sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
