package replicastore

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Limits of the store and of the drawn results in TestStore_MatchesModel.
const (
	testMaxRecords     = 12
	testMaxBytes       = 8000
	testMaxResultBytes = 900
)

// storeModel is a Store with a map of the records that it must hold.
type storeModel struct {
	store   *Store
	records map[Key]Record
	now     float64
}

func (m *storeModel) put(t *rapid.T, key Key) {
	expiresAt := m.now + rapid.Float64Range(0.1, 9).Draw(t, "lifetime")
	id := ClaimID{Sequence: rapid.Uint64Range(0, 3).Draw(t, "sequence")}
	result := make([]byte, rapid.IntRange(0, testMaxResultBytes).Draw(t, "result size"))
	record := Record{Key: key, ExpiresAt: expiresAt, Attempts: []Attempt{NewFinishedAttempt(id, result)}}
	_, known := m.records[key]
	stored := m.store.Put(record)
	if known && !stored {
		t.Fatalf("Put refused to replace the record of key %x", key)
	}
	if stored {
		m.records[key] = record
	}
}

func (m *storeModel) expire(t *rapid.T) {
	m.now += rapid.Float64Range(0, 3).Draw(t, "elapsed")
	m.store.Expire(m.now, 100)
	for key, record := range m.records {
		if record.ExpiresAt <= m.now {
			delete(m.records, key)
		}
	}
}

func (m *storeModel) get(t *rapid.T, key Key) {
	_, known := m.records[key]
	record, intact := m.store.Get(key)
	if !intact || (record != nil) != known {
		t.Fatalf("Get: got %v, intact %t, want a record: %t, intact true", record, intact, known)
	}
}

// check compares the store's records and checksums with the model, and checks its limits.
func (m *storeModel) check(t *rapid.T) {
	t.Helper()
	var checksums [SlotCount]uint64
	for key, want := range m.records {
		record, intact := m.store.Get(key)
		if !intact || record == nil {
			t.Fatalf("Get: got %v, intact %t, want %v, intact true", record, intact, want)
		}
		got, expected := record.Attempts[0], want.Attempts[0]
		if got.ClaimID != expected.ClaimID || got.ResultChecksum != expected.ResultChecksum ||
			record.ExpiresAt != want.ExpiresAt {
			t.Fatalf("Get: got %v, want %v", record, want)
		}
		checksums[key.Slot()] ^= checksumOf(record.appendEncoding(nil))
	}
	stats := m.store.Stats()
	if stats.Records != len(m.records) || stats.Records > testMaxRecords {
		t.Fatalf("got %d records, want %d and at most %d", stats.Records, len(m.records), testMaxRecords)
	}
	if m.store.checksums != checksums {
		t.Fatalf("the checksum of a slot is not the XOR of its records' checksums")
	}
	if stats.Bytes > testMaxBytes+testMaxResultBytes {
		t.Fatalf("store takes %d bytes, want at most %d", stats.Bytes, testMaxBytes+testMaxResultBytes)
	}
}

func TestStore_MatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &storeModel{store: NewStore(testMaxRecords, testMaxBytes), records: map[Key]Record{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := KeyOf("s", fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "key")))
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1, 2:
				model.put(t, key)
			case 3:
				model.expire(t)
			case 4:
				model.get(t, key)
			}
			model.check(t)
		}
	})
}

func TestStore_DropsResultsButNotAttemptsWhenFull(t *testing.T) {
	store := NewStore(5, 5*(recordOverheadBytes+attemptOverheadBytes)+1000)
	for i := range 5 {
		finished := NewFinishedAttempt(ClaimID{Sequence: 1}, make([]byte, 400))
		record := Record{Key: KeyOf("s", fmt.Sprint(i)), ExpiresAt: float64(i), Attempts: []Attempt{finished}}
		if !store.Put(record) {
			t.Fatalf("Put refused record %d, want records 0 to 4 stored", i)
		}
	}
	if store.Put(Record{Key: KeyOf("s", "one more"), ExpiresAt: 9}) {
		t.Error("Put stored a sixth record, want it refused by a store of at most 5")
	}
	results := 0
	for i := range 5 {
		record, _ := store.Get(KeyOf("s", fmt.Sprint(i)))
		if record == nil || record.FinishedAttempt() == nil {
			t.Fatalf("record %d has lost its finished attempt", i)
		}
		if record.FinishedAttempt().Result != nil {
			results++
		}
	}
	if dropped := store.Stats().DroppedResults; results != 2 || dropped != 3 {
		t.Errorf("%d results kept and %d dropped, want 2 and 3", results, dropped)
	}
}

// flipBit flips a bit of a stored record.
func flipBit(store *Store, key Key) {
	e := store.slots[key.Slot()][key]
	e.Attempts = slices.Clone(e.Attempts)
	e.Attempts[0].State ^= 2
}

func TestStore_DetectsFlippedBit(t *testing.T) {
	store := NewStore(5, 1<<20)
	key := KeyOf("s", "k")
	store.Put(Record{Key: key, ExpiresAt: 1, Attempts: []Attempt{{ClaimID: ClaimID{Sequence: 1}}}})
	flipBit(store, key)
	scan := store.Scan(key.Slot(), nil, 1000)
	if scan.Intact || !scan.Complete || len(scan.Records) != 0 {
		t.Errorf("Scan of a corrupted record: got %+v, want complete, not intact, without records", scan)
	}
	record, intact := store.Get(key)
	if record != nil || !intact {
		t.Errorf("Get after Scan: got %v, intact %t, want no record, intact true", record, intact)
	}
	if corrupted := store.Stats().CorruptedRecords; corrupted != 1 || store.Checksum(key.Slot()) != 0 {
		t.Errorf("got %d corrupted records and slot checksum %x, want 1 and 0", corrupted, store.Checksum(key.Slot()))
	}
}

func BenchmarkStore(b *testing.B) {
	store := NewStore(100_000, 1<<30)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		store.Expire(float64(n), 4)
		store.Put(Record{
			Key:       KeyOf("s", fmt.Sprint(n)),
			ExpiresAt: float64(n + 90_000),
			Attempts:  []Attempt{{ClaimID: ClaimID{Sequence: uint64(n)}}},
		})
	}
}
