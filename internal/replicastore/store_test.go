package replicastore

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestStore_MatchesModel holds it against a map, by what it keeps, its sums and its bounds.
func TestStore_MatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most, maxBytes = 12, 8000
		s := NewStore(most, maxBytes)
		model := map[Key]Record{}
		now, full, dropped := 0.0, 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			k := KeyOf("s", fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "key")))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1, 2:
				r := Record{Key: k, ExpiresAt: now + rapid.Float64Range(0.1, 9).Draw(t, "for"),
					Attempts: []Attempt{NewFinishedAttempt(ClaimID{Sequence: rapid.Uint64Range(0, 3).Draw(t, "n")}, make([]byte, rapid.IntRange(0, 900).Draw(t, "size")))}}
				if _, known := model[k]; s.Put(r) {
					model[k] = r
				} else if full++; known {
					t.Fatalf("a key that is there has no place")
				}
			case 3:
				now += rapid.Float64Range(0, 3).Draw(t, "passes")
				s.Expire(now, 100)
				for k, r := range model {
					if r.ExpiresAt <= now {
						delete(model, k)
					}
				}
			case 4:
				if r, sound := s.Get(k); !sound || (r == nil) != (len(model[k].Attempts) == 0) {
					t.Fatalf("%v, %t is not %v", r, sound, model[k])
				}
			}
			var sums [SlotCount]uint64
			for k, want := range model {
				r, sound := s.Get(k)
				if !sound || r == nil || r.Attempts[0].ClaimID != want.Attempts[0].ClaimID || r.Attempts[0].ResultChecksum != want.Attempts[0].ResultChecksum || r.ExpiresAt != want.ExpiresAt {
					t.Fatalf("%v is not %v", r, want)
				}
				if r.Attempts[0].Result == nil {
					dropped++
				}
				sums[k.Slot()] ^= r.checksum(nil)
			}
			if s.Len() != len(model) || s.Len() > most || s.checksums != sums || s.Bytes() > maxBytes+900 {
				t.Fatalf("%d records of %d, %d bytes; the sums agree: %t", s.Len(), len(model), s.Bytes(), s.checksums == sums)
			}
		}
	})
}

func TestStore_FullDropsResultsKeepsAttempts(t *testing.T) {
	s := NewStore(5, 5*(240+72)+1000)
	for i := range 5 {
		if !s.Put(Record{Key: KeyOf("s", fmt.Sprint(i)), ExpiresAt: float64(i), Attempts: []Attempt{NewFinishedAttempt(ClaimID{Sequence: 1}, make([]byte, 400))}}) {
			t.Fatalf("no place for the %dth", i)
		}
	}
	if s.Put(Record{Key: KeyOf("s", "one more"), ExpiresAt: 9}) {
		t.Error("it took in more than it has room for")
	}
	with := 0
	for i := range 5 {
		r, _ := s.Get(KeyOf("s", fmt.Sprint(i)))
		if r == nil || r.FinishedAttempt() == nil {
			t.Fatalf("that %d ran is forgotten", i)
		}
		if r.FinishedAttempt().Result != nil {
			with++
		}
	}
	if with != 2 || s.DroppedResults != 3 {
		t.Errorf("%d results are kept, %d were dropped", with, s.DroppedResults)
	}
}

func TestStore_DetectsChangedBit(t *testing.T) {
	s := NewStore(5, 1<<20)
	k := KeyOf("s", "k")
	s.Put(Record{Key: k, ExpiresAt: 1, Attempts: []Attempt{{ClaimID: ClaimID{Sequence: 1}}}})
	s.FlipBit(k)
	if list, all, sound := s.Scan(k.Slot(), Key{}, true, 1000); sound || !all || len(list) != 0 {
		t.Errorf("it is told: %v %t %t", list, all, sound)
	}
	if r, sound := s.Get(k); r != nil || !sound || s.CorruptedRecords != 1 || s.Checksum(k.Slot()) != 0 {
		t.Errorf("%v, %t, %d", r, sound, s.CorruptedRecords)
	}
}

func BenchmarkStore(b *testing.B) {
	s := NewStore(100_000, 1<<30)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		s.Expire(float64(n), 4)
		s.Put(Record{Key: KeyOf("s", fmt.Sprint(n)), ExpiresAt: float64(n + 90_000), Attempts: []Attempt{{ClaimID: ClaimID{Sequence: uint64(n)}}}})
	}
}
