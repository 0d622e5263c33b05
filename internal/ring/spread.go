package ring

import "math"

// Spread counts durations in bins from 1 ms up, three to a doubling, and adds them up. Lost is for what
// had no duration to tell.
type Spread struct {
	N    int
	Sum  float64
	Lost int
	bins [48]uint32
}

// Add counts one duration, in seconds.
func (s *Spread) Add(x float64) {
	s.N++
	s.Sum += x
	s.bins[min(max(int(3*math.Log2(max(x, 1e-6)/0.001)), 0), len(s.bins)-1)]++
}

// Merge adds what o counted.
func (s *Spread) Merge(o *Spread) {
	s.N += o.N
	s.Sum += o.Sum
	s.Lost += o.Lost
	for i, n := range o.bins {
		s.bins[i] += n
	}
}

// Mean is that of the durations counted, or what is given where there are none.
func (s *Spread) Mean(or float64) float64 {
	if s.N == 0 {
		return or
	}
	return s.Sum / float64(s.N)
}

// Median is the middle of the bin in which the middle duration fell, 0 where there is none.
func (s *Spread) Median() float64 {
	half := s.N / 2
	for i, n := range s.bins {
		if half -= int(n); half < 0 {
			return 0.001 * math.Exp2((float64(i)+0.5)/3)
		}
	}
	return 0
}

// Lowest keeps the least value of each bucket of a ring.
type Lowest struct{ ring *Ring[least] }

type least struct {
	seen bool
	x    float64
}

// NewLowest returns a ring of n buckets of width seconds with nothing in them.
func NewLowest(n int, width, now float64) Lowest { return Lowest{New[least](n, width, now)} }

// Take notes one value.
func (l Lowest) Take(now, x float64) { l.ring.At(now).take(x) }

// Min is the least value still in the ring, 0 where there is none.
func (l Lowest) Min(now float64) float64 {
	var all least
	l.ring.All(now, func(b *least) {
		if b.seen {
			all.take(b.x)
		}
	})
	return all.x
}

func (l *least) take(x float64) {
	if !l.seen || x < l.x {
		l.seen, l.x = true, x
	}
}
