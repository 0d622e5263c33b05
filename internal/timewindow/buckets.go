// Package timewindow provides data structures for measurements over time: sliding windows of
// buckets, sliding minima, histograms of durations, token buckets, and lists of names that expire.
//
// Nothing here reads a clock: the caller passes the time now, in seconds from 0 up, which must not
// decrease. No type is safe for concurrent use.
package timewindow

// Buckets is a sliding window of time, divided into buckets of equal width that are kept in a ring.
type Buckets[T any] struct {
	width   float64 // seconds
	buckets []T
	newest  int64 // number of the newest bucket, counted from time 0
}

// NewBuckets returns a window of n zero buckets of width seconds. The newest one contains now.
func NewBuckets[T any](n int, width, now float64) *Buckets[T] {
	return &Buckets[T]{
		width:   width,
		buckets: make([]T, n),
		newest:  int64(now / width),
	}
}

// Current moves the window up to now and returns the bucket that contains now. Buckets that enter
// the window are zero.
func (b *Buckets[T]) Current(now float64) *T {
	number := int64(now / b.width)
	size := int64(len(b.buckets))
	if number-b.newest > size {
		b.newest = number - size // so that the loop zeroes each bucket once
	}
	for ; b.newest < number; b.newest++ {
		var zero T
		b.buckets[(b.newest+1)%size] = zero
	}
	return &b.buckets[b.newest%size]
}

// ForEach moves the window up to now and calls visit for each bucket, in no particular order.
func (b *Buckets[T]) ForEach(now float64, visit func(*T)) {
	b.Current(now)
	for i := range b.buckets {
		visit(&b.buckets[i])
	}
}
