package timerwheel

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"swiftcourse/internal/fake/random"
)

func TestMain(m *testing.M) { random.RunSeeded(m, 1000) }

func TestWheel_CallbackMayChangeOtherTimers(t *testing.T) {
	var wheel Wheel
	var called []string
	note := func(s string) func() { return func() { called = append(called, s) } }
	var self Timer
	later := wheel.Schedule(1, note("cancelled by the first"))
	moved := wheel.Schedule(1, note("moved by the first"))
	wheel.Cancel(later)
	later = Timer{}
	self = wheel.Schedule(0.5, func() {
		called = append(called, "first")
		wheel.Cancel(later)
		wheel.Reschedule(moved, 2)
		wheel.Schedule(0, note("added in the past"))
		if !wheel.Cancel(self) || wheel.Cancel(self) {
			t.Error("cancelling itself")
		}
	})
	later = wheel.Schedule(0.7, note("never"))
	wheel.Schedule(1, note("second"))
	// What is added in the past waits for the next call, after those that were there before.
	if wheel.Advance(1, 100); fmt.Sprint(called) != "[first second]" {
		t.Errorf("%q", called)
	}
	if wheel.Advance(1, 100); fmt.Sprint(called) != "[first second added in the past]" || wheel.Len() != 1 {
		t.Errorf("%q, %d", called, wheel.Len())
	}
	if wheel.Advance(2, 100); len(called) != 4 || wheel.Len() != 0 || !math.IsInf(wheel.NextWakeup(), 1) {
		t.Errorf("%q, %d", called, wheel.Len())
	}
}

func TestWheel_ThousandsOfOneInstantRunInParts(t *testing.T) {
	var wheel Wheel
	const n, part = 100_000, 64
	for _, when := range []float64{3, 500_000} { // near, and so far that they come down level by level
		var called int
		for i := range n {
			wheel.Schedule(when, func() {
				if called != i {
					t.Fatalf("%d before %d", i, called)
				}
				called++
			})
		}
		calls := 0
		for before := 0; !wheel.Advance(when, part); before = called {
			if called-before > part || wheel.NextWakeup() > when {
				t.Fatalf("%d called at once, next %v", called-before, wheel.NextWakeup())
			}
			calls++
		}
		if most := 2 * (n/part + levels*n/(part*movesPerCallback)); called != n || calls > most {
			t.Errorf("%d of %d called in %d calls of Advance, %d at most", called, n, calls, most)
		}
	}
	if len(wheel.entries) != 0 {
		t.Errorf("%d entries kept for no timer", len(wheel.entries))
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
		t.Errorf("%v allocations", n)
	}
}

// indexOf returns the place of a timer in a list of the model, or -1.
func indexOf(list []modelTimer, id int) int {
	return slices.IndexFunc(list, func(e modelTimer) bool { return e.id == id })
}
