package memory

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestTableDoesAsAMapDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table[int]
		model, gone, pointers := map[Handle]int{}, []Handle(nil), map[Handle]*int{}
		for i := range rapid.IntRange(1, 400).Draw(t, "steps") {
			if names := slices.Sorted(maps.Keys(model)); len(names) > 0 && rapid.IntRange(0, 2).Draw(t, "step") == 0 {
				name := rapid.SampledFrom(names).Draw(t, "dropped")
				table.Remove(name)
				table.Remove(name) // a second time changes nothing
				delete(model, name)
				gone = append(gone, name)
				continue
			}
			name, p := table.Add()
			if *p != 0 || table.AtSlot(name.Slot()) != p {
				t.Fatalf("%d from the start, or not at its slot", *p)
			}
			*p, model[name], pointers[name] = i+1, i+1, p
		}
		if table.Len() != len(model) {
			t.Fatalf("%d entries, not %d", table.Len(), len(model))
		}
		for name, value := range model {
			if p := table.Get(name); p == nil || *p != value || p != pointers[name] {
				t.Fatalf("%x: %v", name, p)
			}
		}
		for _, name := range gone {
			if table.Get(name) != nil {
				t.Fatalf("%x is still there", name)
			}
		}
		seen := map[Handle]int{}
		table.ForEach(func(name Handle, p *int) {
			seen[name] = *p
			table.Remove(name)
		})
		if !maps.Equal(seen, model) || table.Len() != 0 || len(table.chunks) > 0 {
			t.Fatalf("saw %v, want %v; %d left in %d chunks", len(seen), len(model), table.Len(), len(table.chunks))
		}
	})
}

func TestACrowdThatLeftTakesNoMemory(t *testing.T) {
	var table Table[[64]byte]
	var names []Handle
	for range 20_000 {
		name, _ := table.Add()
		names = append(names, name)
	}
	for _, name := range names[10:] {
		table.Remove(name)
	}
	if len(table.chunks) != 1 {
		t.Errorf("%d chunks for %d entries", len(table.chunks), table.Len())
	}
	if name, _ := table.Add(); name.Slot() != 10 {
		t.Errorf("slot %d is used before 10", name.Slot())
	}
}

// BenchmarkTable tells what adding, finding and dropping one entry costs among so many.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{100, 10_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var table Table[[96]byte]
			names, r := make([]Handle, n), rand.New(rand.NewPCG(1, 2))
			for i := range names {
				names[i], _ = table.Add()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				i := r.IntN(n)
				if table.Get(names[i]) == nil {
					b.Fatal("lost")
				}
				table.Remove(names[i])
				names[i], _ = table.Add()
			}
		})
	}
}
