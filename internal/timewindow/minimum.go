package timewindow

// Minimum tracks the minimum of the values observed in a sliding window.
type Minimum struct{ buckets *Buckets[bucketMinimum] }

// bucketMinimum is the minimum of the values observed in one bucket, if there were any.
type bucketMinimum struct {
	observed bool
	value    float64
}

// NewMinimum returns an empty window of n buckets, each width seconds wide.
func NewMinimum(n int, width, now float64) Minimum {
	return Minimum{NewBuckets[bucketMinimum](n, width, now)}
}

// Observe adds a value observed at now.
func (m Minimum) Observe(now, value float64) { m.buckets.Current(now).observe(value) }

// Value returns the minimum of the values in the window at now, or 0 if there are none.
func (m Minimum) Value(now float64) float64 {
	var minimum bucketMinimum
	m.buckets.ForEach(now, func(b *bucketMinimum) {
		if b.observed {
			minimum.observe(b.value)
		}
	})
	return minimum.value
}

func (b *bucketMinimum) observe(value float64) {
	if !b.observed || value < b.value {
		b.observed = true
		b.value = value
	}
}
