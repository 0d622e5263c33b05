package timing

import (
	"context"
	"testing"
	"time"
)

func TestSeconds(t *testing.T) {
	if got := Seconds(1.5); got != 1500*time.Millisecond {
		t.Error(got)
	}
}

func TestSleep_EndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	start := time.Now()
	Sleep(ctx, time.Hour)
	if took := time.Since(start); took > time.Minute {
		t.Error(took)
	}
}
