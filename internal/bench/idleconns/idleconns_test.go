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
			t.Errorf("median of %v is %g, not %g", test.values, got, test.want)
		}
	}
}

func TestMedianRatio_PairsRounds(t *testing.T) {
	if got := medianRatio([]float64{2, 30, 4}, []float64{1, 10, 4}); got != 2 {
		t.Errorf("%g", got)
	}
}

func TestServeHolder_Commands(t *testing.T) {
	var out strings.Builder
	if err := ServeHolder(strings.NewReader("touch\ncounts\n"), &out, "", 0, false); err != nil {
		t.Fatal(err)
	}
	if out.String() != "ready\ntouched\ncounts 0 0 0\n" {
		t.Errorf("%q", out.String())
	}
	err := ServeHolder(strings.NewReader("other\n"), io.Discard, "", 0, false)
	if err == nil || !strings.Contains(err.Error(), `"other"`) {
		t.Errorf("%v", err)
	}
}
