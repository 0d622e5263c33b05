package replicastore

import (
	"container/heap"
	"math"
	"slices"
)

// maxShedScan bounds how many records are searched for results to drop, so that a new record
// in a full store costs little.
const maxShedScan = 256

// entry is a record as the store holds it.
type entry struct {
	Record
	crc       uint32 // over all of the record, to find a changed bit before it is read
	checksum  uint64 // the record's part of its slot's checksum
	bytes     int    // counted in Store.usedBytes
	heapIndex int    // in Store.expiryQueue
}

// Store holds records up to a number of records and a number of bytes.
type Store struct {
	slots       [SlotCount]map[Key]*entry
	checksums   [SlotCount]uint64 // XOR of the checksums of each slot's records
	expiryQueue expiryHeap
	usedBytes   int
	maxEntries  int
	maxBytes    int
	scratch     []byte
	dropped     int // results
	corrupted   int // records
}

// Stats counts what a Store holds and what it lost.
type Stats struct {
	Records          int
	Bytes            int
	DroppedResults   int // dropped to free memory
	CorruptedRecords int // changed in memory, and were removed
}

// NewStore returns an empty store that holds at most maxEntries records of maxBytes bytes.
func NewStore(maxEntries, maxBytes int) *Store {
	return &Store{maxEntries: maxEntries, maxBytes: maxBytes}
}

// Stats returns the counts of the moment.
func (s *Store) Stats() Stats {
	return Stats{
		Records:          len(s.expiryQueue),
		Bytes:            s.usedBytes,
		DroppedResults:   s.dropped,
		CorruptedRecords: s.corrupted,
	}
}

// Get returns the record of a key, nil if there is none; the caller must not change it.
// A record that changed in memory is removed, and intact is false: the store has lost what
// it knew of the key.
func (s *Store) Get(key Key) (record *Record, intact bool) {
	e := s.slots[key.Slot()][key]
	if e == nil {
		return nil, true
	}
	if e.corruptionCheck(s.scratch) != e.crc {
		s.corrupted++
		s.remove(e)
		return nil, false
	}
	return &e.Record, true
}

// Put stores a record in place of the one with its key, and reports whether it did: a new key
// is refused when the store is full. When memory runs out the oldest results are dropped, and
// only they: that a key ran is never forgotten before its record expires.
func (s *Store) Put(record Record) bool {
	old := s.slots[record.Key.Slot()][record.Key]
	e := &entry{Record: record, bytes: record.sizeInBytes()}
	growth := e.bytes
	if old != nil {
		growth -= old.bytes
	} else if len(s.expiryQueue) >= s.maxEntries {
		return false
	}
	excess := s.usedBytes + growth - s.maxBytes
	if excess > 0 && !s.shedResults(excess, record.Key) && old == nil {
		return false
	}
	if old != nil {
		s.remove(old)
	}
	s.insert(e)
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
	s.usedBytes += e.bytes
	heap.Push(&s.expiryQueue, e)
}

func (s *Store) remove(e *entry) {
	slot := e.Key.Slot()
	delete(s.slots[slot], e.Key)
	s.checksums[slot] ^= e.checksum
	s.usedBytes -= e.bytes
	heap.Remove(&s.expiryQueue, e.heapIndex)
}

// updateChecksums computes the checksums of an entry whose record was set or changed.
func (s *Store) updateChecksums(e *entry) {
	e.crc = e.corruptionCheck(s.scratch)
	s.scratch = e.appendEncoding(s.scratch[:0])
	e.checksum = e.Record.checksum(s.scratch)
}

// shedResults drops results until so many bytes are free, those of records that expire soonest
// first, and reports whether that many were found. It spares the record of the key exempt.
func (s *Store) shedResults(bytes int, exempt Key) bool {
	scanned := s.expiryQueue[:min(len(s.expiryQueue), maxShedScan)]
	for _, e := range scanned { // the front of a heap is roughly its oldest part
		if bytes <= 0 {
			break
		}
		if e.Key != exempt {
			bytes -= s.dropResults(e)
		}
	}
	return bytes <= 0
}

// dropResults drops the results of an entry and returns the bytes that this freed.
func (s *Store) dropResults(e *entry) (freed int) {
	for i := range e.Attempts {
		size := len(e.Attempts[i].Result)
		if e.Attempts[i].Result == nil {
			continue
		}
		e.Attempts = slices.Clone(e.Attempts) // a reader may hold the old ones
		e.Attempts[i].Result = nil
		freed += size
		s.dropped++
	}
	s.usedBytes -= freed
	e.bytes -= freed
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

// Checksum returns a slot's checksum. Two stores with the same checksum know the same of a slot.
func (s *Store) Checksum(slot int) uint64 { return s.checksums[slot] }

// ScanResult is what Scan found.
type ScanResult struct {
	Records  []*Record // in the order of their keys; the caller must not change them
	Complete bool      // no record of the slot is left
	Intact   bool      // no record was found changed in memory
}

// Scan lists the records of a slot in the order of their keys, from the first after the key
// after (nil for all), until they take maxBytes or more. A record that changed in memory is
// removed and left out.
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
