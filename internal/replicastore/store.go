package replicastore

import (
	"container/heap"
	"math"
	"slices"
)

// entry is a record as it is held.
type entry struct {
	Record
	crc       uint32 // over all of it, so that a changed bit is found before it is told to anyone
	checksum  uint64 // its part of the slot's
	bytes     int
	heapIndex int // in the queue
}

// Store holds records, bounded in number and bytes.
type Store struct {
	slots                [SlotCount]map[Key]*entry
	checksums            [SlotCount]uint64
	expiryQueue          expiryHeap // by when they are forgotten
	usedBytes            int
	maxEntries, maxBytes int
	scratch              []byte
	DroppedResults       int // results that were dropped to make room
	CorruptedRecords     int // records that had changed where they were held
}

// NewStore makes an empty one.
func NewStore(maxEntries, maxBytes int) *Store {
	return &Store{maxEntries: maxEntries, maxBytes: maxBytes}
}

// Len counts the records, Bytes what they take.
func (s *Store) Len() int   { return len(s.expiryQueue) }
func (s *Store) Bytes() int { return s.usedBytes }

// Get gives the record of a key, nil where there is none. It is not to be changed. Where it is not as it was entered it is taken out, and ok is false:
// what was known of the key is lost here then.
func (s *Store) Get(k Key) (r *Record, ok bool) {
	e := s.slots[k.Slot()][k]
	if e == nil {
		return nil, true
	}
	if e.corruptionCheck(s.scratch[:0]) != e.crc {
		s.CorruptedRecords++
		s.remove(e)
		return nil, false
	}
	return &e.Record, true
}

// Put enters a record in place of the one of its key. A new key has no place where the store is full, of which it tells.
// Where bytes run out the oldest results go, and only they: that a key ran is never forgotten before its time.
func (s *Store) Put(r Record) bool {
	old := s.slots[r.Key.Slot()][r.Key]
	e := &entry{Record: r, bytes: r.sizeInBytes()}
	grows := e.bytes
	if old != nil {
		grows -= old.bytes
	} else if len(s.expiryQueue) >= s.maxEntries {
		return false
	}
	if over := s.usedBytes + grows - s.maxBytes; over > 0 && !s.shedResults(over, r.Key) && old == nil {
		return false
	}
	if old != nil {
		s.remove(old)
	}
	s.updateChecksums(e)
	slot := r.Key.Slot()
	if s.slots[slot] == nil {
		s.slots[slot] = map[Key]*entry{}
	}
	s.slots[slot][r.Key] = e
	s.checksums[slot] ^= e.checksum
	s.usedBytes += e.bytes
	heap.Push(&s.expiryQueue, e)
	return true
}

func (s *Store) updateChecksums(e *entry) {
	e.crc = e.corruptionCheck(s.scratch[:0])
	s.scratch = e.appendEncoding(s.scratch[:0])
	e.checksum = e.Record.checksum(s.scratch[:0])
}

// maxShedScan bounds how many records are looked through for results to drop, so that a full store costs each newcomer little.
const maxShedScan = 256

// shedResults drops results, those next to be forgotten first, until so many bytes are free.
func (s *Store) shedResults(over int, but Key) bool {
	for i := 0; i < len(s.expiryQueue) && i < maxShedScan && over > 0; i++ { // the front of a heap is roughly its oldest part
		e := s.expiryQueue[i]
		if e.Key == but {
			continue
		}
		for j := range e.Attempts {
			if t := &e.Attempts[j]; t.Result != nil {
				over -= len(t.Result)
				s.usedBytes -= len(t.Result)
				e.bytes -= len(t.Result)
				e.Attempts = slices.Clone(e.Attempts)
				e.Attempts[j].Result = nil
				s.DroppedResults++
			}
		}
		s.updateChecksums(e)
	}
	return over <= 0
}

func (s *Store) remove(e *entry) {
	slot := e.Key.Slot()
	delete(s.slots[slot], e.Key)
	s.checksums[slot] ^= e.checksum
	s.usedBytes -= e.bytes
	heap.Remove(&s.expiryQueue, e.heapIndex)
}

// Expire forgets what has run out, at most so many.
func (s *Store) Expire(now float64, most int) (n int) {
	for ; n < most && len(s.expiryQueue) > 0 && s.expiryQueue[0].ExpiresAt <= now; n++ {
		s.remove(s.expiryQueue[0])
	}
	return n
}

// NextExpiry is when the next record runs out.
func (s *Store) NextExpiry() float64 {
	if len(s.expiryQueue) == 0 {
		return math.Inf(1)
	}
	return s.expiryQueue[0].ExpiresAt
}

// Checksum is a slot's: two holders whose sums are the same know the same of it.
func (s *Store) Checksum(slot int) uint64 { return s.checksums[slot] }

// Scan lists records of a slot in the order of keys, from after a key on, for so many bytes at most, and tells whether that was all. A record that is
// not as it was entered is left out and taken out; ok is false then.
func (s *Store) Scan(slot int, after Key, first bool, bytes int) (list []*Record, all, ok bool) {
	ok = true
	var keys []Key
	for k := range s.slots[slot] {
		if first || k.Compare(after) > 0 {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, Key.Compare)
	for i, k := range keys {
		if bytes <= 0 && i > 0 {
			return list, false, ok
		}
		r, sound := s.Get(k)
		if !sound {
			ok = false
			continue
		}
		bytes -= r.sizeInBytes()
		list = append(list, r)
	}
	return list, true, ok
}

// ClearSlot forgets a slot.
func (s *Store) ClearSlot(slot int) {
	for _, e := range s.slots[slot] {
		s.remove(e)
	}
}

// FlipBit changes a bit of a record where it is held, for tests.
func (s *Store) FlipBit(k Key) {
	if e := s.slots[k.Slot()][k]; e != nil && len(e.Attempts) > 0 {
		e.Attempts = slices.Clone(e.Attempts)
		e.Attempts[0].State ^= 2
	}
}

// expiryHeap is a heap of entries by when they are forgotten.
type expiryHeap []*entry

func (q expiryHeap) Len() int           { return len(q) }
func (q expiryHeap) Less(i, j int) bool { return q[i].ExpiresAt < q[j].ExpiresAt }
func (q expiryHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push and Pop are for container/heap.
func (q *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*q)
	*q = append(*q, e)
}

func (q *expiryHeap) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return e
}
