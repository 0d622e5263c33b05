package timerwheel

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// modelTimer is a timer of the reference model of a Wheel.
type modelTimer struct {
	when float64
	id   int
}

// sortedList is the reference model of a Wheel: a list of timers in the order of their calls.
type sortedList struct{ timers []modelTimer }

func (s *sortedList) add(when float64, id int) {
	i := len(s.timers)
	for i > 0 && s.timers[i-1].when > when {
		i--
	}
	s.timers = slices.Insert(s.timers, i, modelTimer{when, id})
}

// remove removes a timer and reports whether it was in the list.
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

// drawTime draws a time at any distance from now. Many of the times are equal, some are in the past
// and some are +Inf.
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

// wheelComparison applies the same operations to a Wheel and to its model.
type wheelComparison struct {
	*rapid.T
	wheel  Wheel
	model  sortedList
	now    float64
	timers []Timer // indexed by id
	called []int   // ids of the timers that the latest Advance called
}

func TestWheel_MatchesSortedListModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &wheelComparison{T: t}
		c.now = rapid.SampledFrom([]float64{0, 1.7e9}).Draw(t, "start")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.step(rapid.IntRange(0, 5).Draw(t, "step"))
			c.checkNext()
		}
		c.finish()
	})
}

// step applies one operation with random arguments to the wheel and the model.
func (c *wheelComparison) step(kind int) {
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
func (c *wheelComparison) schedule(when float64, chain int) {
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

func (c *wheelComparison) reschedule() {
	id := rapid.IntRange(0, len(c.timers)-1).Draw(c.T, "moved")
	when := drawTime(c.T, c.now)
	exists := c.model.remove(id)
	if exists {
		c.model.add(when, id)
	}
	if c.wheel.Reschedule(c.timers[id], when) != exists {
		c.Fatalf("Reschedule of timer %d returned %t, want %t", id, !exists, exists)
	}
}

func (c *wheelComparison) cancel() {
	id := rapid.IntRange(0, len(c.timers)-1).Draw(c.T, "cancelled")
	exists := c.model.remove(id)
	if c.wheel.Cancel(c.timers[id]) != exists || c.wheel.Contains(c.timers[id]) {
		c.Fatalf("after Cancel of timer %d Contains returns %t; want true from Cancel if the timer exists (%t), "+
			"false from Contains", id, c.wheel.Contains(c.timers[id]), exists)
	}
}

// advance calls Advance once and requires that it calls the timers that are due in the model, in the
// model's order and up to the limit.
func (c *wheelComparison) advance() {
	limit := rapid.SampledFrom([]int{1, 7, 1000}).Draw(c.T, "limit")
	c.called = nil
	want := c.model.due(c.now)
	complete := c.wheel.Advance(c.now, limit)
	inOrder := len(c.called) <= limit && slices.Equal(c.called, want[:len(c.called)])
	if complete != (len(c.called) == len(want)) || !inOrder {
		c.Fatalf("at %v with limit %d called timers %v, complete %t; want the first timers of %v, all if complete",
			c.now, limit, c.called, complete, want)
	}
	for _, id := range c.called {
		i := indexOf(c.model.timers, id)
		c.model.timers = slices.Delete(c.model.timers, i, i+1)
	}
}

// checkNext requires the model's number of timers, and a NextWakeup that is not after the first of
// them, or +Inf if there are none.
func (c *wheelComparison) checkNext() {
	next := c.wheel.NextWakeup()
	timers := c.model.timers
	if len(timers) != c.wheel.Len() || len(timers) > 0 && next > timers[0].when {
		c.Fatalf("%d timers, next wakeup at %v; want %d timers, and a wakeup not after the first of %+v",
			c.wheel.Len(), next, len(timers), timers)
	}
	if len(timers) == 0 && !math.IsInf(next, 1) {
		c.Fatalf("next wakeup at %v without timers, want +Inf", next)
	}
}

// finish calls Advance at each NextWakeup until all timers with a finite time were called, and
// requires that this takes a bounded number of calls.
func (c *wheelComparison) finish() {
	for calls := 0; len(c.model.timers) > 0 && c.model.timers[0].when < math.Inf(1); calls++ {
		c.now = max(c.now, c.wheel.NextWakeup())
		c.called = nil
		c.wheel.Advance(c.now, 1000)
		for _, id := range c.called {
			c.requireNext(id)
		}
		if calls > 20*(len(c.timers)+10) {
			c.Fatalf("%d calls of Advance up to time %v; want no timers left, got %+v", calls, c.now, c.model.timers)
		}
	}
}

// requireNext removes a timer that was called from the model. It requires that the timer was due and
// that the model has none with an earlier time.
func (c *wheelComparison) requireNext(id int) {
	timers := c.model.timers
	i := indexOf(timers, id)
	earlier := func(e modelTimer) bool { return e.when < timers[i].when }
	if timers[i].when > c.now || slices.ContainsFunc(timers[:i], earlier) {
		c.Fatalf("timer %d was called at %v; want it due, and no earlier timer in %+v", id, c.now, timers)
	}
	c.model.timers = slices.Delete(timers, i, i+1)
}
