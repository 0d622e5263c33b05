package replica

import (
	"container/heap"
	"math"
	"slices"
)

// entry is a record as it is held.
type entry struct {
	Record
	crc   uint32 // over all of it, so that a changed bit is found before it is told to anyone
	sum   uint64 // its part of the slot's
	size  int
	index int // in the queue
}

// Store holds records, bounded in number and bytes.
type Store struct {
	slots            [Slots]map[Key]*entry
	sums             [Slots]uint64
	queue            queue // by when they are forgotten
	bytes            int
	maxEntries, most int
	scratch          []byte
	Dropped          int // results that were dropped to make room
	Flipped          int // records that had changed where they were held
}

// NewStore makes an empty one.
func NewStore(maxEntries, maxBytes int) *Store {
	return &Store{maxEntries: maxEntries, most: maxBytes}
}

// Len counts the records, Bytes what they take.
func (s *Store) Len() int   { return len(s.queue) }
func (s *Store) Bytes() int { return s.bytes }

// Get gives the record of a key, nil where there is none. It is not to be changed. Where it is not as it was entered it is taken out, and ok is false:
// what was known of the key is lost here then.
func (s *Store) Get(k Key) (r *Record, ok bool) {
	e := s.slots[k.Slot()][k]
	if e == nil {
		return nil, true
	}
	if e.check(s.scratch[:0]) != e.crc {
		s.Flipped++
		s.drop(e)
		return nil, false
	}
	return &e.Record, true
}

// Put enters a record in place of the one of its key. A new key has no place where the store is full, of which it tells.
// Where bytes run out the oldest results go, and only they: that a key ran is never forgotten before its time.
func (s *Store) Put(r Record) bool {
	old := s.slots[r.Key.Slot()][r.Key]
	e := &entry{Record: r, size: r.bytes()}
	grows := e.size
	if old != nil {
		grows -= old.size
	} else if len(s.queue) >= s.maxEntries {
		return false
	}
	if over := s.bytes + grows - s.most; over > 0 && !s.shed(over, r.Key) && old == nil {
		return false
	}
	if old != nil {
		s.drop(old)
	}
	s.seal(e)
	slot := r.Key.Slot()
	if s.slots[slot] == nil {
		s.slots[slot] = map[Key]*entry{}
	}
	s.slots[slot][r.Key] = e
	s.sums[slot] ^= e.sum
	s.bytes += e.size
	heap.Push(&s.queue, e)
	return true
}

func (s *Store) seal(e *entry) {
	e.crc = e.check(s.scratch[:0])
	s.scratch = e.put(s.scratch[:0])
	e.sum = e.Record.sum(s.scratch[:0])
}

// maxLooked bounds how many records are looked through for results to drop, so that a full store costs each newcomer little.
const maxLooked = 256

// shed drops results, those next to be forgotten first, until so many bytes are free.
func (s *Store) shed(over int, but Key) bool {
	for i := 0; i < len(s.queue) && i < maxLooked && over > 0; i++ { // the front of a heap is roughly its oldest part
		e := s.queue[i]
		if e.Key == but {
			continue
		}
		for j := range e.Tries {
			if t := &e.Tries[j]; t.Result != nil {
				over -= len(t.Result)
				s.bytes -= len(t.Result)
				e.size -= len(t.Result)
				e.Tries = slices.Clone(e.Tries)
				e.Tries[j].Result = nil
				s.Dropped++
			}
		}
		s.seal(e)
	}
	return over <= 0
}

func (s *Store) drop(e *entry) {
	slot := e.Key.Slot()
	delete(s.slots[slot], e.Key)
	s.sums[slot] ^= e.sum
	s.bytes -= e.size
	heap.Remove(&s.queue, e.index)
}

// Age forgets what has run out, at most so many.
func (s *Store) Age(now float64, most int) (n int) {
	for ; n < most && len(s.queue) > 0 && s.queue[0].Until <= now; n++ {
		s.drop(s.queue[0])
	}
	return n
}

// Next is when the next record runs out.
func (s *Store) Next() float64 {
	if len(s.queue) == 0 {
		return math.Inf(1)
	}
	return s.queue[0].Until
}

// Sum is a slot's: two holders whose sums are the same know the same of it.
func (s *Store) Sum(slot int) uint64 { return s.sums[slot] }

// Slice lists records of a slot in the order of keys, from after a key on, for so many bytes at most, and tells whether that was all. A record that is
// not as it was entered is left out and taken out; ok is false then.
func (s *Store) Slice(slot int, after Key, first bool, bytes int) (list []*Record, all, ok bool) {
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
		bytes -= r.bytes()
		list = append(list, r)
	}
	return list, true, ok
}

// Clear forgets a slot.
func (s *Store) Clear(slot int) {
	for _, e := range s.slots[slot] {
		s.drop(e)
	}
}

// Flip changes a bit of a record where it is held, for tests.
func (s *Store) Flip(k Key) {
	if e := s.slots[k.Slot()][k]; e != nil && len(e.Tries) > 0 {
		e.Tries = slices.Clone(e.Tries)
		e.Tries[0].State ^= 2
	}
}

// queue is a heap of entries by when they are forgotten.
type queue []*entry

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].Until < q[j].Until }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push and Pop are for container/heap.
func (q *queue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}

func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return e
}
