package idleconns

import (
	"io"
	"strings"
	"testing"
)

func TestMedian(t *testing.T) {
	tests := []struct {
		values []float64
		want   float64
	}{
		{[]float64{3}, 3},
		{[]float64{3, 1}, 2},
		{[]float64{9, 1, 2}, 2},
		{[]float64{4, 1, 3, 100}, 3.5},
	}
	for _, test := range tests {
		if got := median(test.values); got != test.want {
			t.Errorf("median of %v: got %g, want %g", test.values, got, test.want)
		}
	}
}

func TestMedianRatio_UsesRatioOfEachRound(t *testing.T) {
	if got := medianRatio([]float64{2, 30, 4}, []float64{1, 10, 4}); got != 2 {
		t.Errorf("got median ratio %g, want 2", got)
	}
}

func TestServeHolder_Commands(t *testing.T) {
	var out strings.Builder
	if err := ServeHolder(strings.NewReader("touch\ncounts\n"), &out, "", 0, false); err != nil {
		t.Fatal(err)
	}
	if want := "ready\ntouched\ncounts 0 0 0\n"; out.String() != want {
		t.Errorf("got replies %q, want %q", out.String(), want)
	}
	err := ServeHolder(strings.NewReader("other\n"), io.Discard, "", 0, false)
	if err == nil || !strings.Contains(err.Error(), `"other"`) {
		t.Errorf("unknown command: got error %v, want one that names the command %q", err, "other")
	}
}
