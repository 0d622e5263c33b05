package fleet

import "math"

// TimeSource is an agent's clock. Times in published directives are on the scale of Now.
type TimeSource interface {
	// Now returns the seconds of a monotonic clock.
	Now() float64
	// UnixNow returns the time of day in seconds since 1970.
	UnixNow() float64
}

// Clock is the clock of a process's agent. To simulate clock errors, a test may offset its time of
// day or change its rate.
type Clock struct {
	Source        func() float64 // monotonic clock of the process, in seconds
	OffsetSeconds float64        // error of the time of day, in seconds
	Rate          float64        // seconds of this clock for each second of Source

	sourceStart float64
	unixStart   float64
}

// NewClock returns a clock that starts at the current time of source. The true time of day at the
// start is unix.
func NewClock(source func() float64, unix, offset, rate float64) *Clock {
	return &Clock{Source: source, OffsetSeconds: offset, Rate: rate, sourceStart: source(), unixStart: unix}
}

// Now returns the seconds of this clock, which is monotonic.
func (c *Clock) Now() float64 { return c.sourceStart + (c.Source()-c.sourceStart)*c.Rate }

// UnixNow returns the time of day in seconds since 1970.
func (c *Clock) UnixNow() float64 {
	return c.unixStart + c.OffsetSeconds + (c.Source()-c.sourceStart)*c.Rate
}

// ToSource converts a time on the scale of Now to the scale of Source.
func (c *Clock) ToSource(at float64) float64 {
	if math.IsInf(at, 0) {
		return at
	}
	return c.sourceStart + (at-c.sourceStart)/c.Rate
}
