package fleet

import (
	"math"
	"testing"
)

func TestClock_ConvertsToSource(t *testing.T) {
	source := 100.0
	clock := NewClock(func() float64 { return source }, 5000, -30, 1.5)
	if now, unix := clock.Now(), clock.UnixNow(); now != 100 || unix != 4970 {
		t.Errorf("it starts at %g, time of day %g", now, unix)
	}
	source = 110
	if now, unix := clock.Now(), clock.UnixNow(); now != 115 || unix != 4985 {
		t.Errorf("after ten seconds of the source it is %g, time of day %g", now, unix)
	}
	if at := clock.ToSource(115); at != 110 {
		t.Errorf("115 is %g of the source, want 110", at)
	}
	if at := clock.ToSource(math.Inf(1)); !math.IsInf(at, 1) {
		t.Errorf("never is %g of the source", at)
	}
}
