package bytebudget

import (
	"testing"

	"pgregory.net/rapid"
)

// The sum of all reservations must stay within the limit, and a client that holds no more than its
// share must always get it, whatever the others hold.
func TestBudget_LimitHoldsAndSharesAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 10_000).Draw(t, "limit")
		clients := rapid.IntRange(1, 8).Draw(t, "clients")
		budget := New(limit)
		held := make([]int, clients)
		total := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			client := rapid.IntRange(0, clients-1).Draw(t, "client")
			if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				n := rapid.IntRange(0, held[client]).Draw(t, "bytes")
				budget.Release(n)
				held[client] -= n
				total -= n
				continue
			}
			n := rapid.IntRange(0, limit+1).Draw(t, "bytes")
			reserved := budget.Reserve(n, held[client], clients)
			if share := limit / 2 / clients; !reserved && held[client]+n <= share {
				t.Fatalf("client with %d bytes was refused %d more; its share is %d", held[client], n, share)
			}
			if reserved {
				held[client] += n
				total += n
			}
			if budget.Used() != total || total > limit {
				t.Fatalf("%d bytes used, want %d and at most %d", budget.Used(), total, limit)
			}
		}
	})
}

func TestBudget_WithoutLimit(t *testing.T) {
	budget := New(0)
	if !budget.Reserve(1<<40, 0, 1) || budget.Used() != 1<<40 {
		t.Errorf("%d bytes used, want %d", budget.Used(), 1<<40)
	}
}
