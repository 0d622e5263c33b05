package timewindow

// Minimum tracks the least of the values observed in a sliding window.
type Minimum struct{ buckets *Buckets[bucketMinimum] }

// bucketMinimum is the least value of one bucket, if one was observed.
type bucketMinimum struct {
	observed bool
	value    float64
}

// NewMinimum returns a window of n buckets of width seconds with no value in it.
func NewMinimum(n int, width, now float64) Minimum {
	return Minimum{NewBuckets[bucketMinimum](n, width, now)}
}

// Observe adds a value that was observed at now.
func (m Minimum) Observe(now, value float64) { m.buckets.Current(now).observe(value) }

// Value returns the least value in the window, or 0 where there is none.
func (m Minimum) Value(now float64) float64 {
	var least bucketMinimum
	m.buckets.ForEach(now, func(b *bucketMinimum) {
		if b.observed {
			least.observe(b.value)
		}
	})
	return least.value
}

func (b *bucketMinimum) observe(value float64) {
	if !b.observed || value < b.value {
		b.observed = true
		b.value = value
	}
}
