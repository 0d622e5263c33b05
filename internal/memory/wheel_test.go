package memory

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/standin/chance"
)

func TestMain(m *testing.M) { chance.Fix(m, 1000) }

// sorted is the plain model of Timers: a list in order.
type sorted struct{ line []entryOf }

type entryOf struct {
	when float64
	id   int
}

func (s *sorted) add(when float64, id int) {
	i := len(s.line)
	for i > 0 && s.line[i-1].when > when {
		i--
	}
	s.line = slices.Insert(s.line, i, entryOf{when, id})
}

func (s *sorted) drop(id int) bool {
	n := len(s.line)
	s.line = slices.DeleteFunc(s.line, func(e entryOf) bool { return e.id == id })
	return len(s.line) < n
}

// drawTime gives times of every distance, many of them equal, some in the past, and now and then the end of time.
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

func TestTimersDoAsASortedListDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ts Wheel
		var model sorted
		now := rapid.SampledFrom([]float64{0, 1.7e9}).Draw(t, "start")
		names, did, ids := map[int]Timer{}, []int(nil), 0
		add := func(when float64, chain int) {
			id := ids
			ids++
			names[id] = ts.Schedule(when, func() {
				did = append(did, id)
				if chain > 0 { // goes on while it goes off, at times in the past
					when := now + 0.05*float64(chain-1)
					ts.Reschedule(names[id], when)
					model.add(when, id)
					chain--
				}
			})
			model.add(when, id)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				for range rapid.SampledFrom([]int{1, 1, 3, 100}).Draw(t, "how many") {
					add(drawTime(t, now), rapid.SampledFrom([]int{0, 0, 2}).Draw(t, "chain"))
				}
			case 2:
				if ids > 0 {
					id, when := rapid.IntRange(0, ids-1).Draw(t, "moved"), drawTime(t, now)
					there := model.drop(id)
					if there {
						model.add(when, id)
					}
					if ts.Reschedule(names[id], when) != there {
						t.Fatalf("move of %d: not %t", id, there)
					}
				}
			case 3:
				if ids > 0 {
					id := rapid.IntRange(0, ids-1).Draw(t, "dropped")
					if there := model.drop(id); ts.Cancel(names[id]) != there || ts.Contains(names[id]) {
						t.Fatalf("drop of %d: not %t", id, there)
					}
				}
			case 4:
				now += rapid.SampledFrom([]float64{0, 0.0004, 0.05, 1, 300, 1e6}).Draw(t, "later")
				fallthrough
			case 5:
				most := rapid.SampledFrom([]int{1, 7, 1000}).Draw(t, "most")
				did = nil
				var want []int
				due := slices.Clone(model.line)
				for _, e := range due {
					if e.when <= now {
						want = append(want, e.id)
					}
				}
				all := ts.Advance(now, most)
				if all != (len(did) == len(want)) || len(did) > most || !slices.Equal(did, want[:len(did)]) {
					t.Fatalf("at %v did %v, all %t, want %v", now, did, all, want)
				}
				for _, id := range did {
					i := slices.IndexFunc(model.line, func(e entryOf) bool { return e.id == id })
					model.line = slices.Delete(model.line, i, i+1)
				}
			}
			next := ts.NextWakeup()
			if len(model.line) != ts.Len() || len(model.line) > 0 && next > model.line[0].when {
				t.Fatalf("%d timers, next %v; want %+v", ts.Len(), next, model.line)
			}
			if len(model.line) == 0 && !math.IsInf(next, 1) {
				t.Fatalf("next %v of none", next)
			}
		}
		// Whoever calls Ripe at each Next comes to every end, in a bounded number of calls.
		for calls := 0; len(model.line) > 0 && model.line[0].when < math.Inf(1); calls++ {
			now = max(now, ts.NextWakeup())
			did = nil
			ts.Advance(now, 1000)
			for _, id := range did {
				i := slices.IndexFunc(model.line, func(e entryOf) bool { return e.id == id })
				if model.line[i].when > now || slices.ContainsFunc(model.line[:i], func(e entryOf) bool { return e.when < model.line[i].when }) {
					t.Fatalf("%d out of order at %v", id, now)
				}
				model.line = slices.Delete(model.line, i, i+1)
			}
			if calls > 20*(ids+10) {
				t.Fatalf("stands at %v before %+v", now, model.line)
			}
		}
	})
}

func TestATimerMayChangeOthersWhileItGoesOff(t *testing.T) {
	var ts Wheel
	var did []string
	say := func(s string) func() { return func() { did = append(did, s) } }
	var self Timer
	later := ts.Schedule(1, say("dropped by the first"))
	moved := ts.Schedule(1, say("moved by the first"))
	ts.Cancel(later)
	later = Timer{}
	self = ts.Schedule(0.5, func() {
		did = append(did, "first")
		ts.Cancel(later)
		ts.Reschedule(moved, 2)
		ts.Schedule(0, say("added in the past"))
		if !ts.Cancel(self) || ts.Cancel(self) {
			t.Error("dropping itself")
		}
	})
	later = ts.Schedule(0.7, say("never"))
	ts.Schedule(1, say("second"))
	if ts.Advance(1, 100); fmt.Sprint(did) != "[first second]" { // what is added in the past keeps nobody from its turn
		t.Errorf("%q", did)
	}
	if ts.Advance(1, 100); fmt.Sprint(did) != "[first second added in the past]" || ts.Len() != 1 {
		t.Errorf("%q, %d", did, ts.Len())
	}
	if ts.Advance(2, 100); len(did) != 4 || ts.Len() != 0 || !math.IsInf(ts.NextWakeup(), 1) {
		t.Errorf("%q, %d", did, ts.Len())
	}
}

func TestThousandsOfOneInstantAreDoneInParts(t *testing.T) {
	var ts Wheel
	const n, part = 100_000, 64
	for _, when := range []float64{3, 500_000} { // near, and so far that they come down level by level
		var did int
		for i := range n {
			ts.Schedule(when, func() {
				if did != i {
					t.Fatalf("%d before %d", i, did)
				}
				did++
			})
		}
		turns := 0
		for before := 0; !ts.Advance(when, part); before = did {
			if did-before > part || ts.NextWakeup() > when {
				t.Fatalf("%d done at once, next %v", did-before, ts.NextWakeup())
			}
			turns++
		}
		if most := 2 * (n/part + levels*n/(part*movesAFiring)); did != n || turns > most {
			t.Errorf("%d of %d done in %d turns, %d at most", did, n, turns, most)
		}
	}
	if len(ts.places) != 0 {
		t.Errorf("%d places kept for none", len(ts.places))
	}
}

func TestMovingATimerAllocatesNothing(t *testing.T) {
	var ts Wheel
	name := ts.Schedule(1, func() {})
	now := 0.0
	if n := testing.AllocsPerRun(1000, func() {
		now += 0.01
		ts.Reschedule(name, now+3)
		ts.Advance(now, 10)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// BenchmarkTimers tells what one operation costs among so many timers that are up to a minute away.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{100, 10_000, 1_000_000} {
		fill := func() (*Wheel, []Timer, *rand.Rand) {
			ts, names, r := &Wheel{}, make([]Timer, n), rand.New(rand.NewPCG(1, 2))
			for i := range names {
				names[i] = ts.Schedule(60*r.Float64(), func() {})
			}
			return ts, names, r
		}
		b.Run(fmt.Sprint("move/", n), func(b *testing.B) {
			ts, names, r := fill()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				ts.Reschedule(names[i%n], 60*r.Float64())
			}
		})
		b.Run(fmt.Sprint("add-drop/", n), func(b *testing.B) {
			ts, _, r := fill()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				ts.Cancel(ts.Schedule(60*r.Float64(), nil))
			}
		})
		b.Run(fmt.Sprint("fire-again/", n), func(b *testing.B) { // what goes off comes back a minute later
			ts, r, now, fired := &Wheel{}, rand.New(rand.NewPCG(1, 2)), 0.0, 0
			for range n {
				var name Timer
				name = ts.Schedule(60*r.Float64(), func() {
					fired++
					ts.Reschedule(name, now+60*r.Float64())
				})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for fired < b.N {
				now = max(now, ts.NextWakeup())
				ts.Advance(now, 64)
			}
		})
	}
}
