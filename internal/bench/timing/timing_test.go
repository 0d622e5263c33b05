package timing

import (
	"context"
	"testing"
	"time"
)

func TestSeconds(t *testing.T) {
	tests := map[float64]time.Duration{
		0:    0,
		0.25: 250 * time.Millisecond,
		1.5:  1500 * time.Millisecond,
		90:   90 * time.Second,
	}
	for n, want := range tests {
		if got := Seconds(n); got != want {
			t.Errorf("%g seconds: got %s, want %s", n, got, want)
		}
	}
}

func TestSleep_EndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	start := time.Now()
	Sleep(ctx, time.Minute)
	if slept := time.Since(start); slept > 10*time.Second {
		t.Errorf("slept %s with an ended context, want at most 10s", slept)
	}
}

func TestSleep_LastsForTheDuration(t *testing.T) {
	const duration = 20 * time.Millisecond
	start := time.Now()
	Sleep(context.Background(), duration)
	if slept := time.Since(start); slept < duration {
		t.Errorf("slept %s, want at least %s", slept, duration)
	}
}
