package fleet

import (
	"math"
	"testing"
)

func TestClock_AppliesOffsetAndRate(t *testing.T) {
	source := 100.0
	clock := NewClock(func() float64 { return source }, 5000, -30, 1.5)
	if now, unix := clock.Now(), clock.UnixNow(); now != 100 || unix != 4970 {
		t.Errorf("at the start: Now() = %g, UnixNow() = %g, want 100 and 4970", now, unix)
	}
	source = 110
	if now, unix := clock.Now(), clock.UnixNow(); now != 115 || unix != 4985 {
		t.Errorf("after 10 s of the source: Now() = %g, UnixNow() = %g, want 115 and 4985", now, unix)
	}
	if at := clock.ToSource(115); at != 110 {
		t.Errorf("ToSource(115) = %g, want 110", at)
	}
	if at := clock.ToSource(math.Inf(1)); !math.IsInf(at, 1) {
		t.Errorf("ToSource(+Inf) = %g, want +Inf", at)
	}
}
