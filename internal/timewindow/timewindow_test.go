package timewindow

import (
	"math"
	"testing"
)

func TestBuckets_OldBucketsLeaveWindow(t *testing.T) {
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
		{11.9, 7}, // the window starts at 10, so it contains all values
		{12.1, 6},
		{12.6, 4},
		{13.6, 0},
		{1e9, 0}, // far beyond the end of the window
	} {
		if got := sum(c.now); got != c.want {
			t.Errorf("sum %d at %v, want %d", got, c.now, c.want)
		}
	}
}

func TestHistogram_MeanAndMedian(t *testing.T) {
	var h Histogram
	if h.Mean(7) != 7 || h.Median() != 0 {
		t.Errorf("empty histogram: mean %v, median %v, want the fallback 7 and 0", h.Mean(7), h.Median())
	}
	var other Histogram
	for _, duration := range []float64{0, 0.1, 0.1} {
		h.Add(duration)
	}
	other.Add(1000) // beyond the start of the last bin
	other.Untimed++
	h.Merge(&other)
	if h.Count != 4 || h.Untimed != 1 || math.Abs(h.Mean(0)-250.05) > 1e-9 {
		t.Errorf("%d durations, %d untimed, mean %v; want 4, 1, 250.05", h.Count, h.Untimed, h.Mean(0))
	}
	if median := h.Median(); median < 0.1/1.3 || median > 0.1*1.3 {
		t.Errorf("median %v, want 0.1, or at most 1.3 times more or less", median)
	}
}

func TestMinimum_DropsOldValues(t *testing.T) {
	minimum := NewMinimum(2, 5, 0)
	if got := minimum.Value(0); got != 0 {
		t.Errorf("minimum %v without values, want 0", got)
	}
	minimum.Observe(1, 3)
	minimum.Observe(6, 4)
	minimum.Observe(7, 5)
	if got := minimum.Value(9); got != 3 {
		t.Errorf("minimum %v, want 3", got)
	}
	if got := minimum.Value(11); got != 4 {
		t.Errorf("minimum %v after the first bucket left the window, want 4", got)
	}
}

func TestTokenBucket_LimitsRate(t *testing.T) {
	bucket := NewTokenBucket(2, 3)
	takeAll := func(now float64) int {
		taken := 0
		for bucket.Take(now) {
			taken++
		}
		return taken
	}
	if n := takeAll(1); n != 3 {
		t.Errorf("took %d tokens from a full bucket, want 3", n)
	}
	if n := takeAll(2); n != 2 {
		t.Errorf("took %d tokens a second later, want 2", n)
	}
	bucket.Refund()
	if n := takeAll(2); n != 1 {
		t.Errorf("took %d tokens after a refund, want 1", n)
	}
	bucket.SetRate(2, 1, 10)
	if n := takeAll(100); n != 10 {
		t.Errorf("took %d tokens with the new capacity, want 10", n)
	}
}

func TestExpiringNames_ExpireAndRemove(t *testing.T) {
	var names ExpiringNames
	names.Add("a", 1)
	names.Add("b", 2)
	names.Add("c", 3)
	names.Expire(1)
	if len(names) != 2 || names.Remove("a") {
		t.Errorf("names %v after the expiry of a, want b and c; Remove has to return false for a", names)
	}
	if !names.Remove("b") || names.Remove("b") || len(names) != 1 {
		t.Errorf("names %v after two removals of b, want c; only the first Remove has to return true", names)
	}
}
