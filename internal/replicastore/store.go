package replicastore

import (
	"container/heap"
	"math"
	"slices"
)

// maxDropScanRecords bounds the records that one Put searches for results to drop when the store
// is full, and so the time that the Put takes.
const maxDropScanRecords = 256

// entry is a stored record with its checksums and its position in the expiry queue.
type entry struct {
	Record
	recordCRC uint32 // CRC of the record, to detect memory corruption
	checksum  uint64 // checksum of the record, combined into that of its slot
	size      int    // estimated memory in bytes, part of Store.usedBytes
	heapIndex int    // index in Store.expiryQueue
}

// Store holds records, bounded in number and in bytes.
type Store struct {
	slots            [SlotCount]map[Key]*entry
	checksums        [SlotCount]uint64 // XOR of the checksums of each slot's records
	expiryQueue      expiryHeap
	usedBytes        int
	maxRecords       int
	maxBytes         int
	scratch          []byte // buffer of encode
	droppedResults   int
	corruptedRecords int
}

// Stats counts the current contents of a Store, and its drops and removals since it was created.
type Stats struct {
	Records          int
	Bytes            int
	DroppedResults   int // results dropped to free memory
	CorruptedRecords int // records removed because their CRC did not match
}

// NewStore returns an empty store for at most maxRecords records that take about maxBytes bytes.
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

// Get returns the record of a key, or nil if there is none. The caller must not modify it. If the
// record fails its CRC check, Get removes it and returns nil and false, because the claims that it
// held can no longer be known.
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

// Put stores a record, replacing the one with the same key, and reports whether it stored it. To
// stay within maxBytes it drops results, about in the order in which their records expire. It
// never drops attempts, so that a key is known to have run until its record expires. Put refuses
// a new key if the store is still full. It always stores a known key, even if the store then
// exceeds maxBytes.
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

// encode returns the encoding of an entry's record. It is valid until the next call.
func (s *Store) encode(e *entry) []byte {
	s.scratch = e.appendEncoding(s.scratch[:0])
	return s.scratch
}

// updateChecksums computes the CRC and the checksum of a new or changed entry.
func (s *Store) updateChecksums(e *entry) {
	encoding := s.encode(e)
	e.recordCRC = e.crcOf(encoding)
	e.checksum = checksumOf(encoding)
}

// freeBytes drops results until it has freed the needed bytes, and reports whether it freed them. It
// begins with the records that expire soonest and skips the record of the exempt key.
func (s *Store) freeBytes(needed int, exempt Key) bool {
	scanned := s.expiryQueue[:min(len(s.expiryQueue), maxDropScanRecords)]
	for _, e := range scanned { // the front of the heap holds roughly the earliest expiries, unsorted
		if needed <= 0 {
			break
		}
		if e.Key != exempt {
			needed -= s.dropResults(e)
		}
	}
	return needed <= 0
}

// dropResults drops the results of an entry and returns the number of freed bytes.
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

// Expire removes at most limit records that expired at or before now, and returns how many it
// removed.
func (s *Store) Expire(now float64, limit int) (removed int) {
	for removed < limit && len(s.expiryQueue) > 0 && s.expiryQueue[0].ExpiresAt <= now {
		s.remove(s.expiryQueue[0])
		removed++
	}
	return removed
}

// NextExpiry returns when the next record expires, in seconds, or +Inf if the store is empty.
func (s *Store) NextExpiry() float64 {
	if len(s.expiryQueue) == 0 {
		return math.Inf(1)
	}
	return s.expiryQueue[0].ExpiresAt
}

// Checksum returns the checksum of a slot. Two stores with equal checksums of a slot hold the same
// attempts in it.
func (s *Store) Checksum(slot int) uint64 { return s.checksums[slot] }

// ScanResult is the result of Scan.
type ScanResult struct {
	Records  []*Record // in ascending order of key; the caller must not modify them
	Complete bool      // no records of the slot follow
	Intact   bool      // no record failed its CRC check
}

// Scan returns the records of a slot in ascending order of key. If after is not nil, it returns only
// records of keys above *after. It stops once the records take maxBytes or more. Records that fail
// their CRC check are removed and not returned.
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
