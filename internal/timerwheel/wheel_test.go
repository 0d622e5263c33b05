package timerwheel

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"swiftcourse/internal/fake/random"
)

func TestMain(m *testing.M) { random.RunSeeded(m, 1000) }

func TestWheel_CallbackModifiesTimers(t *testing.T) {
	var wheel Wheel
	var called []string
	record := func(s string) func() { return func() { called = append(called, s) } }
	var self Timer
	later := wheel.Schedule(1, record("cancelled before it is due"))
	moved := wheel.Schedule(1, record("rescheduled by the first"))
	wheel.Cancel(later)
	later = Timer{}
	self = wheel.Schedule(0.5, func() {
		called = append(called, "first")
		wheel.Cancel(later)
		wheel.Reschedule(moved, 2)
		wheel.Schedule(0, record("added in the past"))
		if !wheel.Cancel(self) || wheel.Cancel(self) {
			t.Error("a callback cancelled its own timer twice: want true from the first Cancel, false from the second")
		}
	})
	later = wheel.Schedule(0.7, record("cancelled by the first"))
	wheel.Schedule(1, record("second"))
	// A timer that a callback schedules for the past is called by the next Advance, not by the one
	// that called the callback.
	if wheel.Advance(1, 100); fmt.Sprint(called) != "[first second]" {
		t.Errorf("called %q by the first Advance, want [first second]", called)
	}
	if wheel.Advance(1, 100); fmt.Sprint(called) != "[first second added in the past]" || wheel.Len() != 1 {
		t.Errorf("called %q by two calls of Advance, %d timers left; want [first second added in the past], 1 left",
			called, wheel.Len())
	}
	if wheel.Advance(2, 100); len(called) != 4 || wheel.Len() != 0 || !math.IsInf(wheel.NextWakeup(), 1) {
		t.Errorf("called %q by three calls of Advance, %d timers left, next wakeup %v; want four called, 0 left, +Inf",
			called, wheel.Len(), wheel.NextWakeup())
	}
}

func TestWheelAdvance_LimitsWorkForEqualTimes(t *testing.T) {
	var wheel Wheel
	const n, limit = 100_000, 64
	for _, when := range []float64{3, 500_000} { // timers at 500,000 s move down several levels
		var called int
		for i := range n {
			wheel.Schedule(when, func() {
				if called != i {
					t.Fatalf("timer %d was called in position %d, want the order of scheduling", i, called)
				}
				called++
			})
		}
		calls := 0
		for before := 0; !wheel.Advance(when, limit); before = called {
			if called-before > limit || wheel.NextWakeup() > when {
				t.Fatalf("%d callbacks in one Advance, next wakeup at %v; want at most %d, and a wakeup by %v",
					called-before, wheel.NextWakeup(), limit, when)
			}
			calls++
		}
		if maxCalls := 2 * (n/limit + levels*n/(limit*movesPerCallback)); called != n || calls > maxCalls {
			t.Errorf("%d of %d callbacks in %d calls of Advance, want all in at most %d", called, n, calls, maxCalls)
		}
	}
	if len(wheel.entries) != 0 {
		t.Errorf("%d entries kept without timers, want 0", len(wheel.entries))
	}
}

func TestWheel_RescheduleAllocatesNothing(t *testing.T) {
	var wheel Wheel
	timer := wheel.Schedule(1, func() {})
	now := 0.0
	if n := testing.AllocsPerRun(1000, func() {
		now += 0.01
		wheel.Reschedule(timer, now+3)
		wheel.Advance(now, 10)
	}); n != 0 {
		t.Errorf("%v allocations by Reschedule and Advance, want 0", n)
	}
}

// indexOf returns the index of a timer in a list of the model, or -1.
func indexOf(list []modelTimer, id int) int {
	return slices.IndexFunc(list, func(e modelTimer) bool { return e.id == id })
}
