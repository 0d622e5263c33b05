// Package timewindow provides data structures for measurements over time: sliding windows of
// buckets, sliding minima, histograms of durations, token buckets, and lists of names that expire.
//
// The package reads no clock: callers pass the current time as now, in seconds, 0 or more, and must
// not let it decrease. No type is safe for concurrent use.
package timewindow

// Buckets is a sliding time window of buckets of equal width, kept in a ring.
type Buckets[T any] struct {
	width   float64 // seconds
	buckets []T
	newest  int64 // number of the newest bucket; bucket 0 starts at time 0
}

// NewBuckets returns a window of n zero buckets, each width seconds wide. The newest one contains
// now.
func NewBuckets[T any](n int, width, now float64) *Buckets[T] {
	return &Buckets[T]{
		width:   width,
		buckets: make([]T, n),
		newest:  int64(now / width),
	}
}

// Current advances the window to now and returns the bucket that contains now. Buckets that enter
// the window are reset to zero.
func (b *Buckets[T]) Current(now float64) *T {
	number := int64(now / b.width)
	size := int64(len(b.buckets))
	if number-b.newest > size {
		b.newest = number - size // the loop resets each bucket once, however far now is ahead
	}
	for ; b.newest < number; b.newest++ {
		var zero T
		b.buckets[(b.newest+1)%size] = zero
	}
	return &b.buckets[b.newest%size]
}

// ForEach advances the window to now and calls visit for each bucket, in no particular order.
func (b *Buckets[T]) ForEach(now float64, visit func(*T)) {
	b.Current(now)
	for i := range b.buckets {
		visit(&b.buckets[i])
	}
}
