package timewindow

import "math"

// Histogram counts durations in bins from 1 ms up, three to a doubling, and adds them up. Lost is for what
// had no duration to tell.
type Histogram struct {
	Count   int
	Sum     float64
	Untimed int
	bins    [48]uint32
}

// Add counts one duration, in seconds.
func (s *Histogram) Add(x float64) {
	s.Count++
	s.Sum += x
	s.bins[min(max(int(3*math.Log2(max(x, 1e-6)/0.001)), 0), len(s.bins)-1)]++
}

// Merge adds what o counted.
func (s *Histogram) Merge(o *Histogram) {
	s.Count += o.Count
	s.Sum += o.Sum
	s.Untimed += o.Untimed
	for i, n := range o.bins {
		s.bins[i] += n
	}
}

// Mean is that of the durations counted, or what is given where there are none.
func (s *Histogram) Mean(or float64) float64 {
	if s.Count == 0 {
		return or
	}
	return s.Sum / float64(s.Count)
}

// Median is the middle of the bin in which the middle duration fell, 0 where there is none.
func (s *Histogram) Median() float64 {
	half := s.Count / 2
	for i, n := range s.bins {
		if half -= int(n); half < 0 {
			return 0.001 * math.Exp2((float64(i)+0.5)/3)
		}
	}
	return 0
}

// Minimum keeps the least value of each bucket of a ring.
type Minimum struct{ buckets *Buckets[bucketMinimum] }

type bucketMinimum struct {
	seen  bool
	value float64
}

// NewMinimum returns a ring of n buckets of width seconds with nothing in them.
func NewMinimum(n int, width, now float64) Minimum { return Minimum{New[bucketMinimum](n, width, now)} }

// Observe notes one value.
func (l Minimum) Observe(now, x float64) { l.buckets.Current(now).observe(x) }

// Value is the least value still in the ring, 0 where there is none.
func (l Minimum) Value(now float64) float64 {
	var all bucketMinimum
	l.buckets.ForEach(now, func(b *bucketMinimum) {
		if b.seen {
			all.observe(b.value)
		}
	})
	return all.value
}

func (l *bucketMinimum) observe(x float64) {
	if !l.seen || x < l.value {
		l.seen, l.value = true, x
	}
}
