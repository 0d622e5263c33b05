package timewindow

import "math"

// The bins of a Histogram start at 1 ms, with three bins per doubling of the duration. The last one
// starts at about 52 s.
const (
	binCount             = 48
	binsPerDoubling      = 3
	firstBinStartSeconds = 0.001
	// minDurationSeconds replaces shorter durations, as the logarithm of 0 is not finite.
	minDurationSeconds = 1e-6
)

// Histogram counts durations in bins whose width grows exponentially, and sums them. The zero
// Histogram is empty and ready for use.
type Histogram struct {
	Count   int
	Sum     float64 // seconds
	Untimed int     // events without a duration, counted by the caller and in no other figure
	bins    [binCount]uint32
}

// Add counts one duration, in seconds.
func (h *Histogram) Add(duration float64) {
	h.Count++
	h.Sum += duration
	h.bins[binOf(duration)]++
}

// binOf returns the bin of a duration.
func binOf(duration float64) int {
	bin := int(binsPerDoubling * math.Log2(max(duration, minDurationSeconds)/firstBinStartSeconds))
	return min(max(bin, 0), binCount-1)
}

// Merge adds the counts and the sum of other.
func (h *Histogram) Merge(other *Histogram) {
	h.Count += other.Count
	h.Sum += other.Sum
	h.Untimed += other.Untimed
	for i, n := range other.bins {
		h.bins[i] += n
	}
}

// Mean returns the mean of the durations, in seconds, or fallback if there are none.
func (h *Histogram) Mean(fallback float64) float64 {
	if h.Count == 0 {
		return fallback
	}
	return h.Sum / float64(h.Count)
}

// Median returns an estimate of the median duration, in seconds: the geometric middle of the bin
// that contains the median. It is 0 if there are no durations.
func (h *Histogram) Median() float64 {
	remaining := h.Count / 2
	for i, n := range h.bins {
		remaining -= int(n)
		if remaining < 0 {
			return firstBinStartSeconds * math.Exp2((float64(i)+0.5)/binsPerDoubling)
		}
	}
	return 0
}
