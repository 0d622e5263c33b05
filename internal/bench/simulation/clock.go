package simulation

import (
	"math"
	"math/rand/v2"

	"swiftcourse/internal/timerwheel"
)

// clock is the simulated time with its timers and the source of random numbers.
type clock struct {
	now    float64 // seconds
	timers timerwheel.Wheel
	random *rand.Rand
	events int // number of timers fired
}

// newClock returns a clock at time 0.
func newClock(seed uint64) *clock { return &clock{random: rand.New(rand.NewPCG(seed, 1))} }

// after schedules a call of callback in the given number of seconds.
func (c *clock) after(seconds float64, callback func()) timerwheel.Timer {
	return c.timers.Schedule(c.now+max(0, seconds), callback)
}

// maxTimersPerStep is more than the number of timers due at any instant, so that all of them fire
// in one step.
const maxTimersPerStep = math.MaxInt32 / 64

// run advances the clock to a time, in seconds, and fires the timers that are due by then.
func (c *clock) run(until float64) {
	for {
		next := c.timers.NextWakeup()
		if next > until {
			c.now = until
			return
		}
		c.now = max(c.now, next)
		before := c.timers.Len()
		c.timers.Advance(c.now, maxTimersPerStep)
		c.events += max(1, before-c.timers.Len())
	}
}

// exponential draws from the exponential distribution with the given mean.
func (c *clock) exponential(mean float64) float64 { return mean * c.random.ExpFloat64() }

// poisson draws from the Poisson distribution with the given mean, by counting exponential
// intervals.
func (c *clock) poisson(mean float64) (count int) {
	for at := c.exponential(1); at < mean; at += c.exponential(1) {
		count++
	}
	return count
}
