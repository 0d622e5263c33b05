package fleet

import "math"

// TimeSource is an agent's clock. Times in published directives are in the seconds of Now.
type TimeSource interface {
	// Now returns seconds of a clock that only moves forward.
	Now() float64
	// UnixNow returns the time of day in seconds since 1970.
	UnixNow() float64
}

// Clock is a process's clock for its fleet. A test may offset its time of day, or run it at another
// rate.
type Clock struct {
	Source func() float64 // seconds of the process's clock, which only moves forward
	Offset float64        // seconds by which the time of day is wrong
	Rate   float64        // seconds of this clock for each of the source

	sourceStart float64
	unixStart   float64
}

// NewClock returns a clock that starts now, at the time of day unix.
func NewClock(source func() float64, unix, offset, rate float64) *Clock {
	return &Clock{Source: source, Offset: offset, Rate: rate, sourceStart: source(), unixStart: unix}
}

// Now returns seconds that only move forward.
func (c *Clock) Now() float64 { return c.sourceStart + (c.Source()-c.sourceStart)*c.Rate }

// UnixNow returns the time of day in seconds since 1970.
func (c *Clock) UnixNow() float64 { return c.unixStart + c.Offset + (c.Source()-c.sourceStart)*c.Rate }

// ToSource converts a time of this clock to the source's.
func (c *Clock) ToSource(at float64) float64 {
	if math.IsInf(at, 0) {
		return at
	}
	return c.sourceStart + (at-c.sourceStart)/c.Rate
}
