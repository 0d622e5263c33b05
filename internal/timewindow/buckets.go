// Package timewindow keeps what is measured over time: sliding windows of buckets, histograms of
// durations, minima of the last seconds, token buckets, and names that expire.
//
// Nothing here reads a clock: the caller passes the time, in seconds from 0 up, which never goes
// back. A value belongs to one goroutine.
package timewindow

// Buckets is a sliding window: the latest buckets of equal width, whose memory is used again in a
// ring.
type Buckets[T any] struct {
	width   float64
	buckets []T
	newest  int64 // number of the newest bucket since time 0
}

// New returns a window of n zero buckets, each width seconds long, of which the newest holds now.
func New[T any](n int, width, now float64) *Buckets[T] {
	return &Buckets[T]{
		width:   width,
		buckets: make([]T, n),
		newest:  int64(now / width),
	}
}

// Current returns the bucket that now falls in, after the buckets that have left the window were
// set to zero.
func (b *Buckets[T]) Current(now float64) *T {
	number := int64(now / b.width)
	size := int64(len(b.buckets))
	if number-b.newest > size {
		b.newest = number - size
	}
	for ; b.newest < number; b.newest++ {
		var zero T
		b.buckets[(b.newest+1)%size] = zero
	}
	return &b.buckets[b.newest%size]
}

// ForEach calls visit for every bucket of the window, in no particular order.
func (b *Buckets[T]) ForEach(now float64, visit func(*T)) {
	b.Current(now)
	for i := range b.buckets {
		visit(&b.buckets[i])
	}
}
