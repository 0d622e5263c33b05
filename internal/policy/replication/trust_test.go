package replication

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/policy/connlimit"
)

func drawTrustRecords(t *rapid.T) []TrustRecord {
	var records []TrustRecord
	for i := range rapid.IntRange(1, 6).Draw(t, "records") {
		record := TrustRecord{
			Name:        fmt.Sprint("n", i%3),
			Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
			Sequence:    uint64(i),
		}
		for j := range rapid.IntRange(0, 8).Draw(t, "clients") {
			record.Clients = append(record.Clients, connlimit.TrustedClient{
				Addr:   netip.AddrFrom4([4]byte{10, 0, byte(i % 2), byte(j)}),
				Credit: float64(1 + j),
			})
		}
		records = append(records, record)
	}
	return records
}

// TestTrustTable_IndependentOfOrder checks that a table that observed each record once in order
// and one that observed each twice in a drawn order return the same clients.
func TestTrustTable_IndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawTrustRecords(t)
		inOrder := NewTrustTable(60)
		for _, record := range records {
			inOrder.Observe(1, record)
		}
		shuffled := NewTrustTable(60)
		for _, record := range rapid.Permutation(append(records, records...)).Draw(t, "order") {
			shuffled.Observe(2, record)
		}
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		a, b := inOrder.MergedClients(3, limit), shuffled.MergedClients(3, limit)
		if !slices.Equal(a, b) || len(a) > limit {
			t.Fatalf("clients %v in order and %v shuffled, want equal ones and at most %d", a, b, limit)
		}
	})
}

// TestTrustTable_LongFalseListDoesNotDisplaceOtherClients guards against a server that displaces
// the clients of other servers by listing many false clients with high credit. It also checks that
// records expire.
func TestTrustTable_LongFalseListDoesNotDisplaceOtherClients(t *testing.T) {
	table := NewTrustTable(60)
	trusted := netip.MustParseAddr("10.0.0.1")
	falseRecord := TrustRecord{Name: "liar", Incarnation: 1, Sequence: 1}
	for i := range 2 * MaxTrustedClients {
		addr := netip.AddrFrom4([4]byte{11, 0, byte(i >> 8), byte(i)})
		falseRecord.Clients = append(falseRecord.Clients, connlimit.TrustedClient{Addr: addr, Credit: 1e9})
	}
	table.Observe(1, falseRecord)
	table.Observe(1, TrustRecord{
		Name:        "honest",
		Incarnation: 1,
		Sequence:    1,
		Clients:     []connlimit.TrustedClient{{Addr: trusted, Credit: 3}},
	})
	clients := table.MergedClients(2, 10)
	isTrusted := func(client connlimit.TrustedClient) bool { return client.Addr == trusted }
	if len(clients) != 10 || !slices.ContainsFunc(clients, isTrusted) {
		t.Errorf("got %d clients %v, want 10 with %s among them", len(clients), clients, trusted)
	}
	if len(table.MergedClients(62, 10)) != 0 {
		t.Error("clients of records older than the retention of 60 s are returned, want none")
	}
}
