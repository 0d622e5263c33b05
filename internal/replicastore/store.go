package replicastore

import (
	"container/heap"
	"math"
	"slices"
)

// maxDropScan bounds how many records are searched for results to drop when a store is full, and
// with it the cost of one Put.
const maxDropScan = 256

// entry is a record as the store holds it.
type entry struct {
	Record
	recordCRC uint32 // Record.crcOf, to detect memory corruption
	checksum  uint64 // the record's part of its slot's checksum
	size      int    // counted in Store.usedBytes
	heapIndex int    // in Store.expiryQueue
}

// Store holds records up to a number of records and a number of bytes.
type Store struct {
	slots            [SlotCount]map[Key]*entry
	checksums        [SlotCount]uint64 // XOR of the checksums of each slot's records
	expiryQueue      expiryHeap
	usedBytes        int
	maxRecords       int
	maxBytes         int
	scratch          []byte // reused by encode
	droppedResults   int
	corruptedRecords int
}

// Stats counts what a Store holds, and what it dropped and removed since it was made.
type Stats struct {
	Records          int
	Bytes            int
	DroppedResults   int // dropped to free memory
	CorruptedRecords int // failed their CRC, and were removed
}

// NewStore returns an empty store that holds at most maxRecords records, of about maxBytes bytes.
// Replacing a record may exceed maxBytes, see Put.
func NewStore(maxRecords, maxBytes int) *Store {
	return &Store{maxRecords: maxRecords, maxBytes: maxBytes}
}

// Stats returns the store's current counts.
func (s *Store) Stats() Stats {
	return Stats{
		Records:          len(s.expiryQueue),
		Bytes:            s.usedBytes,
		DroppedResults:   s.droppedResults,
		CorruptedRecords: s.corruptedRecords,
	}
}

// Get returns the record of a key, nil if there is none; the caller must not change it.
// A record that fails its CRC is removed; then Get returns nil, and intact is false, as the store
// can't tell which claims of the key it held.
func (s *Store) Get(key Key) (record *Record, intact bool) {
	e := s.slots[key.Slot()][key]
	if e == nil {
		return nil, true
	}
	if e.crcOf(s.encode(e)) != e.recordCRC {
		s.corruptedRecords++
		s.remove(e)
		return nil, false
	}
	return &e.Record, true
}

// Put stores a record in place of the one with its key, and reports whether it did. Over maxBytes
// the results that expire soonest are dropped, but never an attempt: a key stays known to have run
// until its record expires. A new key is refused when the store stays full; a known one is always
// stored, even over maxBytes.
func (s *Store) Put(record Record) bool {
	old := s.slots[record.Key.Slot()][record.Key]
	added := &entry{Record: record, size: record.sizeInBytes()}
	growth := added.size
	if old != nil {
		growth -= old.size
	} else if len(s.expiryQueue) >= s.maxRecords {
		return false
	}
	if excess := s.usedBytes + growth - s.maxBytes; excess > 0 {
		fits := s.freeBytes(excess, record.Key)
		if !fits && old == nil {
			return false
		}
	}
	if old != nil {
		s.remove(old)
	}
	s.insert(added)
	return true
}

func (s *Store) insert(e *entry) {
	s.updateChecksums(e)
	slot := e.Key.Slot()
	if s.slots[slot] == nil {
		s.slots[slot] = map[Key]*entry{}
	}
	s.slots[slot][e.Key] = e
	s.checksums[slot] ^= e.checksum
	s.usedBytes += e.size
	heap.Push(&s.expiryQueue, e)
}

func (s *Store) remove(e *entry) {
	slot := e.Key.Slot()
	delete(s.slots[slot], e.Key)
	s.checksums[slot] ^= e.checksum
	s.usedBytes -= e.size
	heap.Remove(&s.expiryQueue, e.heapIndex)
}

// encode returns an entry's encoding, which is valid until the next call.
func (s *Store) encode(e *entry) []byte {
	s.scratch = e.appendEncoding(s.scratch[:0])
	return s.scratch
}

// updateChecksums computes the CRC and the checksum of an entry whose record was set or changed.
func (s *Store) updateChecksums(e *entry) {
	encoding := s.encode(e)
	e.recordCRC = e.crcOf(encoding)
	e.checksum = checksumOf(encoding)
}

// freeBytes drops results to free a number of bytes, and reports whether it freed that many. It
// begins with the records that expire soonest, and spares the record of the key exempt.
func (s *Store) freeBytes(needed int, exempt Key) bool {
	scanned := s.expiryQueue[:min(len(s.expiryQueue), maxDropScan)]
	for _, e := range scanned { // a heap's front holds about the earliest, in no exact order
		if needed <= 0 {
			break
		}
		if e.Key != exempt {
			needed -= s.dropResults(e)
		}
	}
	return needed <= 0
}

// dropResults drops the results of an entry and returns the bytes that this freed.
func (s *Store) dropResults(e *entry) (freed int) {
	for i := range e.Attempts {
		result := e.Attempts[i].Result
		if result == nil {
			continue
		}
		e.Attempts = slices.Clone(e.Attempts) // a caller of Get may still hold the old slice
		e.Attempts[i].Result = nil
		freed += len(result)
		s.droppedResults++
	}
	s.usedBytes -= freed
	e.size -= freed
	s.updateChecksums(e)
	return freed
}

// Expire removes at most limit records that have expired by now, in seconds, and returns how many.
func (s *Store) Expire(now float64, limit int) (removed int) {
	for removed < limit && len(s.expiryQueue) > 0 && s.expiryQueue[0].ExpiresAt <= now {
		s.remove(s.expiryQueue[0])
		removed++
	}
	return removed
}

// NextExpiry returns when the next record expires, in seconds, +Inf if the store is empty.
func (s *Store) NextExpiry() float64 {
	if len(s.expiryQueue) == 0 {
		return math.Inf(1)
	}
	return s.expiryQueue[0].ExpiresAt
}

// Checksum returns a slot's checksum. Stores whose checksums of a slot are equal hold the same
// attempts of its keys.
func (s *Store) Checksum(slot int) uint64 { return s.checksums[slot] }

// ScanResult is the result of Scan.
type ScanResult struct {
	Records  []*Record // in the order of their keys; the caller must not change them
	Complete bool      // no record of the slot is left
	Intact   bool      // no record failed its CRC
}

// Scan lists the records of a slot in the order of their keys, from the first after the key
// after (nil for all), until they take maxBytes or more. A record that fails its CRC is removed and
// left out.
func (s *Store) Scan(slot int, after *Key, maxBytes int) ScanResult {
	var keys []Key
	for key := range s.slots[slot] {
		if after == nil || key.Compare(*after) > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, Key.Compare)
	result := ScanResult{Complete: true, Intact: true}
	for i, key := range keys {
		if maxBytes <= 0 && i > 0 {
			result.Complete = false
			break
		}
		record, intact := s.Get(key)
		if !intact {
			result.Intact = false
			continue
		}
		maxBytes -= record.sizeInBytes()
		result.Records = append(result.Records, record)
	}
	return result
}

// ClearSlot removes all records of a slot.
func (s *Store) ClearSlot(slot int) {
	for _, e := range s.slots[slot] {
		s.remove(e)
	}
}
