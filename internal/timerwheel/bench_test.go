package timerwheel

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// newRandom returns the random source for the times of the benchmarks' timers. Its seed is fixed.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// filledWheel returns a wheel with n timers, each due within the next minute, and the timers.
func filledWheel(n int, random *rand.Rand) (*Wheel, []Timer) {
	wheel := &Wheel{}
	timers := make([]Timer, n)
	for i := range timers {
		timers[i] = wheel.Schedule(60*random.Float64(), func() {})
	}
	return wheel, timers
}

// BenchmarkWheel measures single operations on wheels with 100 to 1,000,000 timers that are due
// within the next minute.
func BenchmarkWheel(b *testing.B) {
	for _, n := range []int{100, 10_000, 1_000_000} {
		b.Run(fmt.Sprint("reschedule/", n), func(b *testing.B) { benchmarkReschedule(b, n) })
		b.Run(fmt.Sprint("schedule-cancel/", n), func(b *testing.B) { benchmarkScheduleCancel(b, n) })
		b.Run(fmt.Sprint("fire-again/", n), func(b *testing.B) { benchmarkFireAgain(b, n) })
	}
}

func benchmarkReschedule(b *testing.B, n int) {
	random := newRandom()
	wheel, timers := filledWheel(n, random)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		wheel.Reschedule(timers[i%n], 60*random.Float64())
	}
}

func benchmarkScheduleCancel(b *testing.B, n int) {
	random := newRandom()
	wheel, _ := filledWheel(n, random)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		wheel.Cancel(wheel.Schedule(60*random.Float64(), nil))
	}
}

// benchmarkFireAgain measures Advance with callbacks that reschedule their timers by up to a minute.
func benchmarkFireAgain(b *testing.B, n int) {
	random := newRandom()
	wheel := &Wheel{}
	now := 0.0
	fired := 0
	for range n {
		var timer Timer
		timer = wheel.Schedule(60*random.Float64(), func() {
			fired++
			wheel.Reschedule(timer, now+60*random.Float64())
		})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for fired < b.N {
		now = max(now, wheel.NextWakeup())
		wheel.Advance(now, 64)
	}
}
