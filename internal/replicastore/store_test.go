package replicastore

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Bounds of the stores under test.
const (
	testMaxRecords = 12
	testMaxBytes   = 8000
	testMaxResult  = 900
)

// storeModel is a plain map that a Store is compared with.
type storeModel struct {
	store   *Store
	records map[Key]Record
	now     float64
}

func (m *storeModel) put(t *rapid.T, key Key) {
	expiresAt := m.now + rapid.Float64Range(0.1, 9).Draw(t, "lifetime")
	id := ClaimID{Sequence: rapid.Uint64Range(0, 3).Draw(t, "sequence")}
	result := make([]byte, rapid.IntRange(0, testMaxResult).Draw(t, "result size"))
	record := Record{Key: key, ExpiresAt: expiresAt, Attempts: []Attempt{NewFinishedAttempt(id, result)}}
	_, known := m.records[key]
	stored := m.store.Put(record)
	if known && !stored {
		t.Fatalf("the store refuses to replace a record")
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
		t.Fatalf("got %v, intact %t; the model has it: %t", record, intact, known)
	}
}

// check compares contents, checksums and bounds.
func (m *storeModel) check(t *rapid.T) {
	t.Helper()
	var checksums [SlotCount]uint64
	for key, want := range m.records {
		record, intact := m.store.Get(key)
		if !intact || record == nil {
			t.Fatalf("got %v, intact %t, want %v", record, intact, want)
		}
		got, expected := record.Attempts[0], want.Attempts[0]
		if got.ClaimID != expected.ClaimID || got.ResultChecksum != expected.ResultChecksum ||
			record.ExpiresAt != want.ExpiresAt {
			t.Fatalf("got %v, want %v", record, want)
		}
		checksums[key.Slot()] ^= checksumOf(record.appendEncoding(nil))
	}
	stats := m.store.Stats()
	if stats.Records != len(m.records) || stats.Records > testMaxRecords {
		t.Fatalf("%d records, want %d, at most %d", stats.Records, len(m.records), testMaxRecords)
	}
	if m.store.checksums != checksums {
		t.Fatalf("the slots' checksums are not those of their records")
	}
	if stats.Bytes > testMaxBytes+testMaxResult {
		t.Fatalf("%d bytes, want at most %d", stats.Bytes, testMaxBytes+testMaxResult)
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

func TestStore_FullDropsResultsKeepsAttempts(t *testing.T) {
	store := NewStore(5, 5*(recordOverhead+attemptOverhead)+1000)
	for i := range 5 {
		finished := NewFinishedAttempt(ClaimID{Sequence: 1}, make([]byte, 400))
		record := Record{Key: KeyOf("s", fmt.Sprint(i)), ExpiresAt: float64(i), Attempts: []Attempt{finished}}
		if !store.Put(record) {
			t.Fatalf("record %d is refused", i)
		}
	}
	if store.Put(Record{Key: KeyOf("s", "one more"), ExpiresAt: 9}) {
		t.Error("a record over the bound is stored")
	}
	results := 0
	for i := range 5 {
		record, _ := store.Get(KeyOf("s", fmt.Sprint(i)))
		if record == nil || record.FinishedAttempt() == nil {
			t.Fatalf("the attempt of record %d is forgotten", i)
		}
		if record.FinishedAttempt().Result != nil {
			results++
		}
	}
	if dropped := store.Stats().DroppedResults; results != 2 || dropped != 3 {
		t.Errorf("%d results are kept and %d dropped, want 2 and 3", results, dropped)
	}
}

// flipBit changes a bit of a record in the store's memory.
func flipBit(store *Store, key Key) {
	e := store.slots[key.Slot()][key]
	e.Attempts = slices.Clone(e.Attempts)
	e.Attempts[0].State ^= 2
}

func TestStore_DetectsChangedBit(t *testing.T) {
	store := NewStore(5, 1<<20)
	key := KeyOf("s", "k")
	store.Put(Record{Key: key, ExpiresAt: 1, Attempts: []Attempt{{ClaimID: ClaimID{Sequence: 1}}}})
	flipBit(store, key)
	scan := store.Scan(key.Slot(), nil, 1000)
	if scan.Intact || !scan.Complete || len(scan.Records) != 0 {
		t.Errorf("the scan of the changed record is %+v", scan)
	}
	record, intact := store.Get(key)
	if record != nil || !intact {
		t.Errorf("after the scan got %v, intact %t", record, intact)
	}
	if corrupted := store.Stats().CorruptedRecords; corrupted != 1 || store.Checksum(key.Slot()) != 0 {
		t.Errorf("%d records counted as corrupted, checksum %x", corrupted, store.Checksum(key.Slot()))
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
