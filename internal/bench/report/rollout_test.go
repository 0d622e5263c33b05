package report

import "testing"

func TestNewCatchUpLatency(t *testing.T) {
	if empty := NewCatchUpLatency(nil); empty != (CatchUpLatency{}) {
		t.Errorf("without samples: got %+v, want zeros", empty)
	}
	samples := make([]float64, 200)
	for i := range samples {
		samples[i] = float64(200 - i)
	}
	want := CatchUpLatency{CatchUpP50: 101, CatchUpP99: 199, CatchUpMax: 200}
	if got := NewCatchUpLatency(samples); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
