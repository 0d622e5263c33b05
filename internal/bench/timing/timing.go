// Package timing holds the helpers for durations that the experiments share.
package timing

import (
	"context"
	"time"
)

// Seconds converts a number of seconds to a duration.
func Seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// Sleep returns after the duration, or when the context ends.
func Sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
