package replica

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestStoreAgainstAPlainModel holds it against a map, by what it keeps, its sums and its bounds.
func TestStoreAgainstAPlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most, maxBytes = 12, 8000
		s := NewStore(most, maxBytes)
		model := map[Key]Record{}
		now, full, dropped := 0.0, 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			k := KeyOf("s", fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "key")))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1, 2:
				r := Record{Key: k, Until: now + rapid.Float64Range(0.1, 9).Draw(t, "for"),
					Tries: []Try{Finish(Claim{N: rapid.Uint64Range(0, 3).Draw(t, "n")}, make([]byte, rapid.IntRange(0, 900).Draw(t, "size")))}}
				if _, known := model[k]; s.Put(r) {
					model[k] = r
				} else if full++; known {
					t.Fatalf("a key that is there has no place")
				}
			case 3:
				now += rapid.Float64Range(0, 3).Draw(t, "passes")
				s.Age(now, 100)
				for k, r := range model {
					if r.Until <= now {
						delete(model, k)
					}
				}
			case 4:
				if r, sound := s.Get(k); !sound || (r == nil) != (len(model[k].Tries) == 0) {
					t.Fatalf("%v, %t is not %v", r, sound, model[k])
				}
			}
			var sums [Slots]uint64
			for k, want := range model {
				r, sound := s.Get(k)
				if !sound || r == nil || r.Tries[0].Claim != want.Tries[0].Claim || r.Tries[0].Sum != want.Tries[0].Sum || r.Until != want.Until {
					t.Fatalf("%v is not %v", r, want)
				}
				if r.Tries[0].Result == nil {
					dropped++
				}
				sums[k.Slot()] ^= r.sum(nil)
			}
			if s.Len() != len(model) || s.Len() > most || s.sums != sums || s.Bytes() > maxBytes+900 {
				t.Fatalf("%d records of %d, %d bytes; the sums agree: %t", s.Len(), len(model), s.Bytes(), s.sums == sums)
			}
		}
	})
}

func TestAFullStoreDropsResultsAndNotThatAKeyRan(t *testing.T) {
	s := NewStore(5, 5*(240+72)+1000)
	for i := range 5 {
		if !s.Put(Record{Key: KeyOf("s", fmt.Sprint(i)), Until: float64(i), Tries: []Try{Finish(Claim{N: 1}, make([]byte, 400))}}) {
			t.Fatalf("no place for the %dth", i)
		}
	}
	if s.Put(Record{Key: KeyOf("s", "one more"), Until: 9}) {
		t.Error("it took in more than it has room for")
	}
	with := 0
	for i := range 5 {
		r, _ := s.Get(KeyOf("s", fmt.Sprint(i)))
		if r == nil || r.Ended() == nil {
			t.Fatalf("that %d ran is forgotten", i)
		}
		if r.Ended().Result != nil {
			with++
		}
	}
	if with != 2 || s.Dropped != 3 {
		t.Errorf("%d results are kept, %d were dropped", with, s.Dropped)
	}
}

func TestAChangedBitIsFound(t *testing.T) {
	s := NewStore(5, 1<<20)
	k := KeyOf("s", "k")
	s.Put(Record{Key: k, Until: 1, Tries: []Try{{Claim: Claim{N: 1}}}})
	s.Flip(k)
	if list, all, sound := s.Slice(k.Slot(), Key{}, true, 1000); sound || !all || len(list) != 0 {
		t.Errorf("it is told: %v %t %t", list, all, sound)
	}
	if r, sound := s.Get(k); r != nil || !sound || s.Flipped != 1 || s.Sum(k.Slot()) != 0 {
		t.Errorf("%v, %t, %d", r, sound, s.Flipped)
	}
}

func BenchmarkStore(b *testing.B) {
	s := NewStore(100_000, 1<<30)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		s.Age(float64(n), 4)
		s.Put(Record{Key: KeyOf("s", fmt.Sprint(n)), Until: float64(n + 90_000), Tries: []Try{{Claim: Claim{N: uint64(n)}}}})
	}
}
