package recentids

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// Compares a set with a plain map under any order of calls.
func TestSet_AgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxCount := rapid.IntRange(1, 20).Draw(t, "limit")
		set := New(maxCount * entryBytes)
		model := map[string]float64{}
		now := 0.0
		added := 0.0 // expiry of the latest ID
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := strconv.Itoa(rapid.IntRange(0, 30).Draw(t, "id"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				if !set.HasRoom() {
					break
				}
				added = max(added, now+rapid.Float64Range(0.1, 5).Draw(t, "lifetime"))
				set.Add(id, added)
				model[id] = added
			case 2:
				set.Remove(id)
				delete(model, id)
			case 3:
				now += rapid.Float64Range(0, 2).Draw(t, "pause")
				set.Expire(now)
				for other, expiresAt := range model {
					if expiresAt <= now {
						delete(model, other)
					}
				}
			}
			if limit := 2*len(model) + minCompactedLength + maxCount; len(set.queue) > limit {
				t.Fatalf("%d entries in the queue for %d IDs, want at most %d", len(set.queue), len(model), limit)
			}
			_, want := model[id]
			if got := set.Contains(id); got != want || set.Len() != len(model) || set.Len() > maxCount {
				t.Fatalf("ID %s contained %t, %d IDs; want %t, %d, at most %d",
					id, got, set.Len(), want, len(model), maxCount)
			}
		}
		if set.Expire(added); set.Len() != 0 || !set.HasRoom() {
			t.Fatalf("%d IDs after the last expiry, room %t; want 0, true", set.Len(), set.HasRoom())
		}
	})
}
