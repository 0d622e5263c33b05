package slottable

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/fake/random"
)

func TestMain(m *testing.M) { random.RunSeeded(m, 1000) }

func TestTable_MatchesMapModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table[int]
		model := map[Handle]int{}
		pointers := map[Handle]*int{}
		var removed []Handle
		for i := range rapid.IntRange(1, 400).Draw(t, "steps") {
			handles := slices.Sorted(maps.Keys(model))
			if len(handles) > 0 && rapid.IntRange(0, 2).Draw(t, "step") == 0 {
				handle := rapid.SampledFrom(handles).Draw(t, "removed")
				table.Remove(handle)
				table.Remove(handle) // the second call has no effect
				delete(model, handle)
				removed = append(removed, handle)
				continue
			}
			handle, p := table.Add()
			if *p != 0 || table.AtSlot(handle.Slot()) != p {
				t.Fatalf("new entry at %p has value %d, AtSlot(%d) returned %p; want value 0 and the entry",
					p, *p, handle.Slot(), table.AtSlot(handle.Slot()))
			}
			*p = i + 1
			model[handle] = i + 1
			pointers[handle] = p
		}
		if table.Len() != len(model) {
			t.Fatalf("%d entries, want %d", table.Len(), len(model))
		}
		for handle, value := range model {
			if p := table.Get(handle); p == nil || *p != value || p != pointers[handle] {
				t.Fatalf("handle %x has its entry at %p, want value %d at its original address %p",
					handle, p, value, pointers[handle])
			}
		}
		for _, handle := range removed {
			if table.Get(handle) != nil {
				t.Fatalf("removed handle %x is still in the table", handle)
			}
		}
		seen := map[Handle]int{}
		table.ForEach(func(handle Handle, p *int) {
			seen[handle] = *p
			table.Remove(handle)
		})
		if !maps.Equal(seen, model) || table.Len() != 0 || len(table.chunks) > 0 {
			t.Fatalf("visited %d entries, want the %d of the model; %d left in %d chunks, want 0 in 0",
				len(seen), len(model), table.Len(), len(table.chunks))
		}
	})
}

func TestTable_ShrinksAfterRemovals(t *testing.T) {
	var table Table[[64]byte]
	var handles []Handle
	for range 20_000 {
		handle, _ := table.Add()
		handles = append(handles, handle)
	}
	for _, handle := range handles[10:] {
		table.Remove(handle)
	}
	if len(table.chunks) != 1 {
		t.Errorf("%d chunks for %d entries, want 1", len(table.chunks), table.Len())
	}
	if handle, _ := table.Add(); handle.Slot() != 10 {
		t.Errorf("new entry has slot %d, want 10, the lowest free one", handle.Slot())
	}
}

// BenchmarkTable measures finding, removing and adding an entry in tables of 100 to 1,000,000
// entries.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{100, 10_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var table Table[[96]byte]
			handles := make([]Handle, n)
			random := rand.New(rand.NewPCG(1, 2))
			for i := range handles {
				handles[i], _ = table.Add()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				i := random.IntN(n)
				if table.Get(handles[i]) == nil {
					b.Fatalf("entry %d is not found", i)
				}
				table.Remove(handles[i])
				handles[i], _ = table.Add()
			}
		})
	}
}
