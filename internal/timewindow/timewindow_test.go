package timewindow

import (
	"math"
	"testing"
)

func TestBuckets_OldOnesLeaveTheWindow(t *testing.T) {
	window := NewBuckets[int](4, 0.5, 10)
	sum := func(now float64) int {
		total := 0
		window.ForEach(now, func(n *int) { total += *n })
		return total
	}
	*window.Current(10.2) = 1
	*window.Current(10.9) = 2
	*window.Current(11.6) = 4
	for _, c := range []struct {
		now  float64
		want int
	}{
		{11.9, 7}, // the newest bucket is the fourth
		{12.1, 6},
		{12.6, 4},
		{13.6, 0},
		{1e9, 0}, // a leap of many widths
	} {
		if got := sum(c.now); got != c.want {
			t.Errorf("at %v: %d, want %d", c.now, got, c.want)
		}
	}
}

func TestHistogram_MeanAndMedian(t *testing.T) {
	var h Histogram
	if h.Mean(7) != 7 || h.Median() != 0 {
		t.Errorf("empty: mean %v, median %v", h.Mean(7), h.Median())
	}
	var other Histogram
	for _, duration := range []float64{0, 0.1, 0.1} {
		h.Add(duration)
	}
	other.Add(1000) // longer than the last bin begins at
	other.Untimed++
	h.Merge(&other)
	if h.Count != 4 || h.Untimed != 1 || math.Abs(h.Mean(0)-250.05) > 1e-9 {
		t.Errorf("%d counted, %d untimed, mean %v", h.Count, h.Untimed, h.Mean(0))
	}
	if median := h.Median(); median < 0.1/1.3 || median > 0.1*1.3 {
		t.Errorf("median %v, want about 0.1", median)
	}
}

func TestMinimum_ForgetsOldValues(t *testing.T) {
	minimum := NewMinimum(2, 5, 0)
	if got := minimum.Value(0); got != 0 {
		t.Errorf("%v of no value", got)
	}
	minimum.Observe(1, 3)
	minimum.Observe(6, 4)
	minimum.Observe(7, 5)
	if got := minimum.Value(9); got != 3 {
		t.Errorf("%v, want 3", got)
	}
	if got := minimum.Value(11); got != 4 {
		t.Errorf("%v once the first bucket has left, want 4", got)
	}
}

func TestTokenBucket_BoundsTheRate(t *testing.T) {
	bucket := NewTokenBucket(2, 3)
	takeAll := func(now float64) int {
		taken := 0
		for bucket.Take(now) {
			taken++
		}
		return taken
	}
	if n := takeAll(1); n != 3 {
		t.Errorf("%d from a full bucket, want 3", n)
	}
	if n := takeAll(2); n != 2 {
		t.Errorf("%d a second later, want 2", n)
	}
	bucket.Refund()
	if n := takeAll(2); n != 1 {
		t.Errorf("%d after a refund, want 1", n)
	}
	bucket.SetRate(2, 1, 10)
	if n := takeAll(100); n != 10 {
		t.Errorf("%d of the new capacity, want 10", n)
	}
}

func TestExpiringNames_ExpireAndRemove(t *testing.T) {
	var names ExpiringNames
	names.Add("a", 1)
	names.Add("b", 2)
	names.Add("c", 3)
	names.Expire(1)
	if len(names) != 2 || names.Remove("a") {
		t.Errorf("%v: a has expired", names)
	}
	if !names.Remove("b") || names.Remove("b") || len(names) != 1 {
		t.Errorf("%v: b was removed once", names)
	}
}
