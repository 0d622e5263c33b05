package simulation

import (
	"math"
	"math/rand/v2"

	"swiftcourse/internal/timerwheel"
)

// clock is simulated time and the source of random draws.
type clock struct {
	now    float64 // seconds
	timers timerwheel.Wheel
	random *rand.Rand
	events int
}

// newClock makes a clock at time 0, in seconds.
func newClock(seed uint64) *clock { return &clock{random: rand.New(rand.NewPCG(seed, 1))} }

// after calls do that many seconds from now.
func (c *clock) after(seconds float64, do func()) timerwheel.Timer {
	return c.timers.Schedule(c.now+max(0, seconds), do)
}

// maxTimersPerStep does not bound the timers of an instant.
const maxTimersPerStep = math.MaxInt32 / 64

// run handles the timers until then.
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

// exponential draws a duration of that mean.
func (c *clock) exponential(mean float64) float64 { return mean * c.random.ExpFloat64() }
