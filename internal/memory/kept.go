package memory

import (
	"hash/maphash"
	"slices"
)

// subject is what a repeat has in common with the task it repeats: what a read is about, or an idempotency key.
type subject struct {
	stage int
	name  string
}

// entry is a kept task: repeats point to it until it runs out.
type entry struct {
	of      subject
	id      string
	until   float64 // when its lifetime ends
	state   State
	result  []byte
	freshTo float64 // until when its result may serve others
	waiting []string
	body    uint64 // what the body hashes to
	once    bool   // it may run once: that it ran is told to repeats even where there is no result for them
}

// State tells what became of a kept task.
type State uint8

const (
	Pending      State = iota // held or running
	Available                 // its result is there
	Missing                   // it was dropped, or abandoned where it may run again
	Unrepeatable              // it ran, may not run again, and has no result for others
)

// Cache is the table of kept tasks.
type Cache struct {
	bySubject map[subject]*entry
	byID      map[string]*entry
	results   []*entry // those that hold a result, the oldest first
	bytes     int      // of results
	maxBytes  int
	seed      maphash.Seed
}

// NewCache makes an empty table that holds at most so many bytes of results. Where there would be more the oldest go, and their
// repeats fail; that a task ran is remembered all the same.
func NewCache(maxBytes int) *Cache {
	return &Cache{bySubject: map[subject]*entry{}, byID: map[string]*entry{}, maxBytes: maxBytes, seed: maphash.MakeSeed()}
}

// Len counts the entries.
func (k *Cache) Len() int { return len(k.byID) }

// Track enters a task, or gives its entry a new lifetime; a newer repeat takes the subject over. One that may run only once is told to
// repeats for as long as the entry lives, however it ends, unless it ends unrun.
func (k *Cache) Track(t *Request, until float64, once bool) {
	if t.Subject == "" {
		return
	}
	if e := k.byID[t.ID]; e != nil {
		e.until = until
		return
	}
	e := &entry{of: subject{t.Class, t.Subject}, id: t.ID, until: until, body: maphash.Bytes(k.seed, t.Body), once: once}
	if old := k.bySubject[e.of]; old != nil && len(old.waiting) == 0 {
		k.Remove(old.id)
	}
	k.bySubject[e.of], k.byID[t.ID] = e, e
}

// Remove takes an entry out. One for whose answer others wait stays until its end.
func (k *Cache) Remove(id string) {
	e := k.byID[id]
	if e == nil {
		return
	}
	if k.bySubject[e.of] == e {
		delete(k.bySubject, e.of)
	}
	if len(e.waiting) == 0 {
		delete(k.byID, id)
		k.drop(e)
	}
}

// drop lets go of an entry's result.
func (k *Cache) drop(e *entry) {
	if e.result == nil {
		return
	}
	k.bytes -= len(e.result) + 1
	e.result = nil
	if i := slices.Index(k.results, e); i >= 0 {
		k.results = slices.Delete(k.results, i, i+1)
	}
	if e.state = Missing; e.once {
		e.state = Unrepeatable
	}
}

// hold gives an entry its result; others lose theirs where all together would be too much.
func (k *Cache) hold(e *entry, result []byte) {
	e.state, e.result = Available, append(make([]byte, 0, len(result)), result...)
	k.bytes += len(result) + 1 // so that each counts
	k.results = append(k.results, e)
	for k.bytes > k.maxBytes {
		k.drop(k.results[0])
	}
}

// Original names the kept task that a repeat points to, "" where there is none.
func (k *Cache) Original(stage int, name string, came, now float64) string {
	e := k.bySubject[subject{stage, name}]
	if name == "" || e == nil || came > e.until || e.state == Missing || e.state == Available && now > e.freshTo && !e.once {
		return ""
	}
	return e.id
}

// IsConflicting tells whether a task bears the key of another request, which may run once: the key is in use, with another body.
func (k *Cache) IsConflicting(stage int, name string, body []byte, came float64) bool {
	e := k.bySubject[subject{stage, name}]
	return e != nil && e.once && came <= e.until && e.state != Missing && e.body != maphash.Bytes(k.seed, body)
}

// Import enters the result of a task that ran elsewhere for those that repeat it, and gives the name of its entry.
func (k *Cache) Import(t *Request, result []byte, until float64) string {
	e := &entry{of: subject{t.Class, t.Subject}, id: "of " + t.ID, until: until, freshTo: until, body: maphash.Bytes(k.seed, t.Body), once: true}
	if old := k.bySubject[e.of]; old != nil && len(old.waiting) == 0 {
		k.Remove(old.id)
	}
	k.bySubject[e.of], k.byID[e.id] = e, e
	k.hold(e, result)
	return e.id
}

// LookupOrWait gives what the task that t repeats came to, and has t wait where that is not known yet.
func (k *Cache) LookupOrWait(t *Request, now float64) ([]byte, State) {
	e := k.bySubject[subject{t.Class, t.Subject}]
	switch {
	case e == nil || e.state == Available && now > e.freshTo && !e.once:
		return nil, Missing
	case e.state == Pending:
		e.waiting = append(e.waiting, t.ID)
	}
	return e.result, e.state
}

// Finish books how a kept task ended, and lists those who wait for its answer. Ran tells whether its run began, as far as is known.
func (k *Cache) Finish(id string, ran, well bool, result []byte, freshTo float64) []string {
	e := k.byID[id]
	if e == nil || e.state != Pending {
		return nil
	}
	waiting := e.waiting
	e.waiting, e.state = nil, Missing
	if well {
		e.freshTo = freshTo
		k.hold(e, result)
	} else if ran && e.once {
		e.state = Unrepeatable
	} else if e.once { // it never ran: the next try may
		k.Remove(id)
		return waiting
	}
	if k.bySubject[e.of] != e { // forgotten meanwhile
		delete(k.byID, id)
		k.drop(e)
	}
	return waiting
}

// Expire drops what has run out.
func (k *Cache) Expire(now float64) {
	for id, e := range k.byID {
		if now > e.until {
			k.Remove(id)
		}
	}
}
