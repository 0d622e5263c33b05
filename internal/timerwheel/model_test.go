package timerwheel

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// modelTimer is a timer of the plain model of a Wheel.
type modelTimer struct {
	when float64
	id   int
}

// sortedList is the plain model of a Wheel: a list in the order of running.
type sortedList struct{ timers []modelTimer }

func (s *sortedList) add(when float64, id int) {
	i := len(s.timers)
	for i > 0 && s.timers[i-1].when > when {
		i--
	}
	s.timers = slices.Insert(s.timers, i, modelTimer{when, id})
}

// remove takes a timer out and reports whether it was there.
func (s *sortedList) remove(id int) bool {
	before := len(s.timers)
	s.timers = slices.DeleteFunc(s.timers, func(e modelTimer) bool { return e.id == id })
	return len(s.timers) < before
}

// due returns the ids of the timers that are due at now, in order.
func (s *sortedList) due(now float64) []int {
	var ids []int
	for _, e := range s.timers {
		if e.when <= now {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// drawTime draws times of every distance, many of them equal, some in the past, and now and then
// the end of time.
func drawTime(t *rapid.T, now float64) float64 {
	switch rapid.IntRange(0, 9).Draw(t, "distance") {
	case 0:
		return math.Inf(1)
	case 1:
		return max(0, now-rapid.Float64Range(0, 5).Draw(t, "ago"))
	case 2:
		return now
	case 3:
		return now + rapid.Float64Range(0, 0.002).Draw(t, "within a slot")
	case 4:
		return now + rapid.Float64Range(0, 1e7).Draw(t, "far")
	}
	return now + float64(rapid.IntRange(0, 40).Draw(t, "steps"))*0.05
}

// comparison runs a Wheel beside its model.
type comparison struct {
	*rapid.T
	wheel  Wheel
	model  sortedList
	now    float64
	timers []Timer // by id
	called []int   // ids, by the latest Advance
}

func TestWheel_DoesAsASortedListDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &comparison{T: t}
		c.now = rapid.SampledFrom([]float64{0, 1.7e9}).Draw(t, "start")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.step(rapid.IntRange(0, 5).Draw(t, "step"))
			c.checkNext()
		}
		c.finish()
	})
}

// step does one random operation on both.
func (c *comparison) step(kind int) {
	switch kind {
	case 0, 1:
		for range rapid.SampledFrom([]int{1, 1, 3, 100}).Draw(c.T, "how many") {
			c.schedule(drawTime(c.T, c.now), rapid.SampledFrom([]int{0, 0, 2}).Draw(c.T, "chain"))
		}
	case 2:
		if len(c.timers) > 0 {
			c.reschedule()
		}
	case 3:
		if len(c.timers) > 0 {
			c.cancel()
		}
	case 4:
		c.now += rapid.SampledFrom([]float64{0, 0.0004, 0.05, 1, 300, 1e6}).Draw(c.T, "later")
		c.advance()
	case 5:
		c.advance()
	}
}

// schedule adds a timer whose callback reschedules it chain times, for times that may be in the
// past.
func (c *comparison) schedule(when float64, chain int) {
	id := len(c.timers)
	c.timers = append(c.timers, Timer{})
	c.timers[id] = c.wheel.Schedule(when, func() {
		c.called = append(c.called, id)
		if chain > 0 {
			when := c.now + 0.05*float64(chain-1)
			c.wheel.Reschedule(c.timers[id], when)
			c.model.add(when, id)
			chain--
		}
	})
	c.model.add(when, id)
}

func (c *comparison) reschedule() {
	id := rapid.IntRange(0, len(c.timers)-1).Draw(c.T, "moved")
	when := drawTime(c.T, c.now)
	there := c.model.remove(id)
	if there {
		c.model.add(when, id)
	}
	if c.wheel.Reschedule(c.timers[id], when) != there {
		c.Fatalf("rescheduling %d: not %t", id, there)
	}
}

func (c *comparison) cancel() {
	id := rapid.IntRange(0, len(c.timers)-1).Draw(c.T, "cancelled")
	there := c.model.remove(id)
	if c.wheel.Cancel(c.timers[id]) != there || c.wheel.Contains(c.timers[id]) {
		c.Fatalf("cancelling %d: not %t", id, there)
	}
}

// advance calls Advance once and requires what the model has due, in its order and within the
// limit.
func (c *comparison) advance() {
	limit := rapid.SampledFrom([]int{1, 7, 1000}).Draw(c.T, "limit")
	c.called = nil
	want := c.model.due(c.now)
	complete := c.wheel.Advance(c.now, limit)
	inOrder := len(c.called) <= limit && slices.Equal(c.called, want[:len(c.called)])
	if complete != (len(c.called) == len(want)) || !inOrder {
		c.Fatalf("at %v called %v, complete %t, want %v", c.now, c.called, complete, want)
	}
	for _, id := range c.called {
		i := indexOf(c.model.timers, id)
		c.model.timers = slices.Delete(c.model.timers, i, i+1)
	}
}

// checkNext requires the right number of timers, and a wakeup that is not after the first of them.
func (c *comparison) checkNext() {
	next := c.wheel.NextWakeup()
	timers := c.model.timers
	if len(timers) != c.wheel.Len() || len(timers) > 0 && next > timers[0].when {
		c.Fatalf("%d timers, next %v; want %+v", c.wheel.Len(), next, timers)
	}
	if len(timers) == 0 && !math.IsInf(next, 1) {
		c.Fatalf("next %v of none", next)
	}
}

// finish calls Advance at each NextWakeup, which has to come to every timer's end in a bounded
// number of calls.
func (c *comparison) finish() {
	for calls := 0; len(c.model.timers) > 0 && c.model.timers[0].when < math.Inf(1); calls++ {
		c.now = max(c.now, c.wheel.NextWakeup())
		c.called = nil
		c.wheel.Advance(c.now, 1000)
		for _, id := range c.called {
			c.requireNext(id)
		}
		if calls > 20*(len(c.timers)+10) {
			c.Fatalf("stands at %v before %+v", c.now, c.model.timers)
		}
	}
}

// requireNext takes a timer that was called out of the model, and requires that none before it has
// an earlier time.
func (c *comparison) requireNext(id int) {
	timers := c.model.timers
	i := indexOf(timers, id)
	earlier := func(e modelTimer) bool { return e.when < timers[i].when }
	if timers[i].when > c.now || slices.ContainsFunc(timers[:i], earlier) {
		c.Fatalf("%d out of order at %v", id, c.now)
	}
	c.model.timers = slices.Delete(timers, i, i+1)
}
