package circuitbreaker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// world plays servers that call one service, and pass on words, beside a plain account of what the service bears.
type world struct {
	chance *rand.Rand
	now    float64
	judges []*Breaker
	zones  [3][]string
	hears  func(from, to int) bool
	rate   float64 // calls a second that each server wants
	fate   func(server int) (well bool, took float64)
	ends   [][]call
	tries  int // calls made in the last second or so
	most   []float64
}

type call struct {
	at   float64
	well bool
	took float64
}

func newWorld(n int, rate float64) *world {
	w := &world{chance: rand.New(rand.NewPCG(7, 9)), rate: rate, hears: func(int, int) bool { return true }, ends: make([][]call, n), most: make([]float64, n)}
	for i := range n {
		name := fmt.Sprint("n", i)
		w.zones[i%3] = append(w.zones[i%3], name)
		w.judges = append(w.judges, New(name, fmt.Sprint("z", i%3), 0))
		w.most[i] = math.Inf(1)
	}
	w.fate = func(int) (bool, float64) { return true, 0.02 }
	return w
}

func (w *world) run(seconds float64) {
	const dt = 0.05
	for end := w.now + seconds; w.now < end-dt/2; {
		w.now += dt
		for i, j := range w.judges {
			var t Tally
			left := w.ends[i][:0]
			for _, c := range w.ends[i] {
				switch {
				case c.at > w.now:
					left = append(left, c)
				case c.well:
					t.Succeeded++
					t.SuccessSeconds += c.took
				default:
					t.Failed++
				}
			}
			w.ends[i] = left
			for p := w.rate * dt; p > 0; p-- {
				if w.chance.Float64() < p && float64(len(w.ends[i]))+1 <= w.most[i] {
					well, took := w.fate(i)
					w.ends[i] = append(w.ends[i], call{w.now + took, well, took})
					w.tries++
				}
			}
			j.RecordCalls(w.now, t, float64(len(w.ends[i])))
			w.most[i], _ = j.Decide(w.now, func() []string { return w.zones[i%3] })
			if w.chance.IntN(5) == 0 {
				for range 3 {
					if to := w.chance.IntN(len(w.judges)); to != i && w.hears(i, to) {
						for _, word := range j.GossipReports(w.now, uint64(i+1), 16) {
							w.judges[to].HandleReport(w.now, word)
						}
					}
				}
			}
		}
	}
}

func (w *world) in(s State) (n int) {
	for _, j := range w.judges {
		if j.state == s {
			n++
		}
	}
	return n
}

// TestADeadServiceIsFoundTriedAndComesBack: within a second, by servers that made five calls in it.
func TestADeadServiceIsFoundTriedAndComesBack(t *testing.T) {
	for _, n := range []int{20, 150} {
		w := newWorld(n, 5)
		w.run(20)
		if w.in(Closed) != n {
			t.Fatalf("%d of %d know it well", w.in(Closed), n)
		}
		w.fate = func(int) (bool, float64) { return false, 0.1 }
		w.run(1)
		if found := w.in(Open) + w.in(Throttled); found < n*9/10 {
			t.Errorf("after a second %d of %d know that it is sick, at five calls a second each", found, n)
		}
		w.run(2)
		if dead := w.in(Open); dead < n*9/10 {
			t.Errorf("after three %d of %d know it dead", dead, n)
		}
		w.tries = 0
		w.run(10)
		if w.tries > 10*3*tryers*3 || w.tries < 10 {
			t.Errorf("%d servers together try it %d times in 10 s", n, w.tries)
		}
		w.fate = func(int) (bool, float64) { return true, 0.02 }
		from := w.now
		w.tries = 0
		for w.in(HalfOpen) == 0 && w.now < from+10 {
			w.run(0.05)
		}
		w.tries = 0
		w.run(0.5)
		if herd := float64(w.tries); herd > 0.5*w.rate*float64(n)*0.5+2*tryers {
			t.Errorf("%d servers make %.0f calls in its first half second", n, herd)
		}
		w.run(8)
		if w.in(Closed) != n {
			t.Errorf("8 s after it came back %d of %d know it well", w.in(Closed), n)
		}
	}
}

// TestOneLiarShutsNothingOut, nor keeps in what is dead, nor does one server with a bad link of its own.
func TestOneLiarShutsNothingOut(t *testing.T) {
	w := newWorld(12, 2)
	w.run(5)
	w.fate = func(i int) (bool, float64) { return i != 3, 0.05 }
	lie := func(tally Tally) {
		for step := range 100 {
			for _, j := range w.judges {
				j.HandleReport(w.now, Report{Server: "liar", Incarnation: 1, Sequence: uint64(w.now * 1000), Tally: tally})
				j.HandleReport(w.now, Report{Server: fmt.Sprint("x", step), Zone: "z0", Incarnation: 1, Sequence: 1, Tally: Tally{Succeeded: -5}})
			}
			w.run(0.05)
		}
	}
	lie(Tally{Failed: 1e6})
	if shut := w.in(Open) + w.in(Throttled); shut > 1 {
		t.Errorf("one that lies and one with a bad link have %d of 12 shut it out", shut)
	}
	w.fate = func(int) (bool, float64) { return false, 0.05 }
	w.run(2)
	lie(Tally{Succeeded: 1e6, SuccessSeconds: 1e4})
	if dead := w.in(Open); dead < 11 {
		t.Errorf("one that lies keeps it in: %d of 12 know it dead", dead)
	}
}

// TestSickForOneZoneIsNotSickForAll, and one that hears nothing goes by its own.
func TestSickForOneZoneIsNotSickForAll(t *testing.T) {
	w := newWorld(30, 2)
	w.run(10)
	w.fate = func(i int) (bool, float64) { return i%3 != 0, 0.05 }
	w.run(4)
	for i, j := range w.judges {
		if out := j.state == Open || j.state == Throttled; out != (i%3 == 0) {
			t.Errorf("%s in zone %s knows it %s", j.name, j.zone, j.state)
		}
	}
	w = newWorld(6, 10)
	w.hears = func(int, int) bool { return false }
	w.run(5)
	w.fate = func(i int) (bool, float64) { return i != 2, 0.05 }
	w.run(3)
	if w.judges[2].state != Open || w.in(Closed) != 5 {
		t.Errorf("alone it knows it %s; %d others know it well", w.judges[2].state, w.in(Closed))
	}
	clear(w.zones[:]) // it knows of nobody
	w.tries = 0
	w.fate = func(i int) (bool, float64) { return true, 0.02 }
	w.run(6)
	if w.in(Closed) != 6 {
		t.Errorf("%d of 6 know it well again", w.in(Closed))
	}
}

// TestFlapsAndDrags: one that flaps each second is not called well and dead in turn; one ten times as slow is slow, and no calls are withheld.
func TestFlapsAndDrags(t *testing.T) {
	w := newWorld(10, 20)
	w.run(10)
	w.fate = func(int) (bool, float64) { return true, 0.25 }
	w.run(4)
	if slow := w.in(Degraded); slow < 9 || !math.IsInf(w.most[0], 1) {
		t.Errorf("%d of 10 know it slow, %g may be out", slow, w.most[0])
	}
	w.fate = func(int) (bool, float64) { return true, 0.02 }
	w.run(4)
	was, turns := make([]State, 10), 0
	w.fate = func(int) (bool, float64) { return math.Mod(w.now, 2) < 1, 0.05 }
	for range 400 {
		w.run(0.05)
		for i, j := range w.judges {
			if j.state != was[i] {
				was[i] = j.state
				turns++
			}
		}
	}
	if each := float64(turns) / 10; each > 40 { // well, sick, dead, returning
		t.Errorf("a service that flaps ten times changes each server's mind %.0f times", each)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 1000} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			w := newWorld(n, 1)
			for i := range MaxReports {
				w.judges[0].HandleReport(0, Report{Server: fmt.Sprint("n", i+1), Incarnation: 1, Sequence: 1, Tally: Tally{Succeeded: 3, SuccessSeconds: 0.1}})
			}
			b.ReportAllocs()
			for b.Loop() {
				w.judges[0].Decide(1, func() []string { return w.zones[0] })
			}
		})
	}
}
