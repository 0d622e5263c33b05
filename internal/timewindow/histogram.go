package timewindow

import "math"

// The bins of a Histogram: from 1 ms up, three to a doubling, so the last one begins at about a
// minute.
const (
	bins            = 48
	binsPerDoubling = 3
	firstBin        = 0.001
	leastDuration   = 1e-6 // what shorter durations count as, so that their logarithm is finite
)

// Histogram counts durations in bins of exponential width and adds them up. The zero Histogram is
// empty.
type Histogram struct {
	Count   int
	Sum     float64 // seconds
	Untimed int     // events that had no duration; the caller counts them, and no other figure includes them
	bins    [bins]uint32
}

// Add counts one duration, in seconds.
func (h *Histogram) Add(duration float64) {
	h.Count++
	h.Sum += duration
	h.bins[binOf(duration)]++
}

// binOf returns the bin of a duration.
func binOf(duration float64) int {
	bin := int(binsPerDoubling * math.Log2(max(duration, leastDuration)/firstBin))
	return min(max(bin, 0), bins-1)
}

// Merge adds what other counted.
func (h *Histogram) Merge(other *Histogram) {
	h.Count += other.Count
	h.Sum += other.Sum
	h.Untimed += other.Untimed
	for i, n := range other.bins {
		h.bins[i] += n
	}
}

// Mean returns the mean of the durations, in seconds, or fallback where there are none.
func (h *Histogram) Mean(fallback float64) float64 {
	if h.Count == 0 {
		return fallback
	}
	return h.Sum / float64(h.Count)
}

// Median returns the middle of the bin that the middle duration is in, in seconds, or 0 where there
// is none.
func (h *Histogram) Median() float64 {
	remaining := h.Count / 2
	for i, n := range h.bins {
		remaining -= int(n)
		if remaining < 0 {
			return firstBin * math.Exp2((float64(i)+0.5)/binsPerDoubling)
		}
	}
	return 0
}
