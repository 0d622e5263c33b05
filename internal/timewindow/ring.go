// Package timewindow keeps what is measured over time in fixed buckets that are used again in a ring.
package timewindow

// Buckets holds the latest buckets of Width seconds each. The zero bucket is an empty one.
type Buckets[T any] struct {
	width   float64
	buckets []T
	newest  int64 // number of the newest bucket since time 0
}

// New returns a ring of n empty buckets, each width seconds long, the newest holding now.
func New[T any](n int, width, now float64) *Buckets[T] {
	return &Buckets[T]{width: width, buckets: make([]T, n), newest: int64(now / width)}
}

// Current empties the buckets that have run out by now and returns the one that now falls in.
func (r *Buckets[T]) Current(now float64) *T {
	number, n := int64(now/r.width), int64(len(r.buckets))
	if number-r.newest > n {
		r.newest = number - n
	}
	for ; r.newest < number; r.newest++ {
		var empty T
		r.buckets[(r.newest+1)%n] = empty
	}
	return &r.buckets[r.newest%n]
}

// ForEach calls f on every bucket still in the ring, in no order that means anything.
func (r *Buckets[T]) ForEach(now float64, f func(*T)) {
	r.Current(now)
	for i := range r.buckets {
		f(&r.buckets[i])
	}
}
