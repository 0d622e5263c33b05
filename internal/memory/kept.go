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
	state   Result
	result  []byte
	freshTo float64 // until when its result may serve others
	waiting []string
	body    uint64 // what the body hashes to
	once    bool   // it may run once: that it ran is told to repeats even where there is no result for them
}

// Result tells what became of a kept task.
type Result uint8

const (
	Pending Result = iota // held or running
	Done                  // its result is there
	Missing               // it was dropped, or abandoned where it may run again
	Spent                 // it ran, may not run again, and has no result for others
)

// Kept is the table of kept tasks.
type Kept struct {
	bySubject map[subject]*entry
	byID      map[string]*entry
	results   []*entry // those that hold a result, the oldest first
	bytes     int      // of results
	maxBytes  int
	seed      maphash.Seed
}

// NewKept makes an empty table that holds at most so many bytes of results. Where there would be more the oldest go, and their
// repeats fail; that a task ran is remembered all the same.
func NewKept(maxBytes int) *Kept {
	return &Kept{bySubject: map[subject]*entry{}, byID: map[string]*entry{}, maxBytes: maxBytes, seed: maphash.MakeSeed()}
}

// Len counts the entries.
func (k *Kept) Len() int { return len(k.byID) }

// Keep enters a task, or gives its entry a new lifetime; a newer repeat takes the subject over. One that may run only once is told to
// repeats for as long as the entry lives, however it ends, unless it ends unrun.
func (k *Kept) Keep(t *Task, until float64, once bool) {
	if t.Subject == "" {
		return
	}
	if e := k.byID[t.ID]; e != nil {
		e.until = until
		return
	}
	e := &entry{of: subject{t.Stage, t.Subject}, id: t.ID, until: until, body: maphash.Bytes(k.seed, t.Body), once: once}
	if old := k.bySubject[e.of]; old != nil && len(old.waiting) == 0 {
		k.Forget(old.id)
	}
	k.bySubject[e.of], k.byID[t.ID] = e, e
}

// Forget takes an entry out. One for whose answer others wait stays until its end.
func (k *Kept) Forget(id string) {
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
func (k *Kept) drop(e *entry) {
	if e.result == nil {
		return
	}
	k.bytes -= len(e.result) + 1
	e.result = nil
	if i := slices.Index(k.results, e); i >= 0 {
		k.results = slices.Delete(k.results, i, i+1)
	}
	if e.state = Missing; e.once {
		e.state = Spent
	}
}

// hold gives an entry its result; others lose theirs where all together would be too much.
func (k *Kept) hold(e *entry, result []byte) {
	e.state, e.result = Done, append(make([]byte, 0, len(result)), result...)
	k.bytes += len(result) + 1 // so that each counts
	k.results = append(k.results, e)
	for k.bytes > k.maxBytes {
		k.drop(k.results[0])
	}
}

// Earlier names the kept task that a repeat points to, "" where there is none.
func (k *Kept) Earlier(stage int, name string, came, now float64) string {
	e := k.bySubject[subject{stage, name}]
	if name == "" || e == nil || came > e.until || e.state == Missing || e.state == Done && now > e.freshTo && !e.once {
		return ""
	}
	return e.id
}

// Differs tells whether a task bears the key of another request, which may run once: the key is in use, with another body.
func (k *Kept) Differs(stage int, name string, body []byte, came float64) bool {
	e := k.bySubject[subject{stage, name}]
	return e != nil && e.once && came <= e.until && e.state != Missing && e.body != maphash.Bytes(k.seed, body)
}

// Adopt enters the result of a task that ran elsewhere for those that repeat it, and gives the name of its entry.
func (k *Kept) Adopt(t *Task, result []byte, until float64) string {
	e := &entry{of: subject{t.Stage, t.Subject}, id: "of " + t.ID, until: until, freshTo: until, body: maphash.Bytes(k.seed, t.Body), once: true}
	if old := k.bySubject[e.of]; old != nil && len(old.waiting) == 0 {
		k.Forget(old.id)
	}
	k.bySubject[e.of], k.byID[e.id] = e, e
	k.hold(e, result)
	return e.id
}

// Wait gives what the task that t repeats came to, and has t wait where that is not known yet.
func (k *Kept) Wait(t *Task, now float64) ([]byte, Result) {
	e := k.bySubject[subject{t.Stage, t.Subject}]
	switch {
	case e == nil || e.state == Done && now > e.freshTo && !e.once:
		return nil, Missing
	case e.state == Pending:
		e.waiting = append(e.waiting, t.ID)
	}
	return e.result, e.state
}

// Ended books how a kept task ended, and lists those who wait for its answer. Ran tells whether its run began, as far as is known.
func (k *Kept) Ended(id string, ran, well bool, result []byte, freshTo float64) []string {
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
		e.state = Spent
	} else if e.once { // it never ran: the next try may
		k.Forget(id)
		return waiting
	}
	if k.bySubject[e.of] != e { // forgotten meanwhile
		delete(k.byID, id)
		k.drop(e)
	}
	return waiting
}

// Sweep drops what has run out.
func (k *Kept) Sweep(now float64) {
	for id, e := range k.byID {
		if now > e.until {
			k.Forget(id)
		}
	}
}
