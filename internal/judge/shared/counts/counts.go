// Package counts adds up what all servers of a fleet counted, free of I/O, clock and chance: how many tasks of each tenant and stage were asked for,
// and how they ended. Each task counts once, whatever messages are lost, late or doubled, and whoever dies; docs/shared.md has the argument.
//
// A server's counts since its start are a row, which only grows. It tells its row to a few keepers, the fleet's voters, under numbers that grow by one,
// and takes the next number only once most keepers have the last: so a row that is over ended as one of two states that its server knows, should it
// still live. A row whose server is gone is closed: added to the sums that the voters' order keeps, once, under the highest number that most keepers
// know of; each of those takes no more of it from then on. So what is kept is bounded by those who are there, though names come and go for ever.
package counts

import (
	"slices"

	"swiftcourse/internal/judge/stance"
)

// Told is a server's word on a row, or a keeper's who passes it on.
type Told struct {
	Name   string // of the server
	Life   uint64 // of it
	Row    uint64
	Number uint64 // from 1 on
	Base   uint64 // the number after which Cells has all that changed; 0 where it has all there is
	Closes bool   // from a keeper: the row is to be closed, and Stands is the highest number that was ever said to be there
	Stands uint64
	Sits   Sits                 // of the keepers, as who tells knows them
	Cells  []stance.CounterCell // as they stand in the row, in order
}

// Heard is a keeper's answer.
type Heard struct {
	Row    uint64
	Number uint64 // that it has, 0 for nothing
	Over   bool   // the row was closed under that number
	Sits   Sits
}

// Sits are the lives of the keepers, in the order of their names, as one of them knows them: of one keeper's two the higher is the later. Keepers forget
// when they die: what two of them say makes a majority only where both knew the same lives, so that neither speaks for one that is gone.
type Sits []uint64

// hear takes over later ones, and tells whether there was one.
func (s Sits) hear(o Sits) (news bool) {
	for i := range s {
		if len(o) == len(s) && o[i] > s[i] {
			s[i], news = o[i], true
		}
	}
	return news
}

// Letter goes to the keeper of that name.
type Letter struct {
	To   string
	Told *Told
	Ask  *Ask
}

const (
	// tellEvery is how often a row's change is told, in seconds: each change costs some hundred bytes to each keeper.
	tellEvery = 2.0
	// tellAgain is after how long it is told again to keepers that did not answer while too few have it, doubled each time up to maxAgain.
	tellAgain, maxAgain = 0.4, 6.0
	// idleEvery is how often it is told that there is nothing new, so that keepers know that they lack nothing.
	idleEvery = 5.0
	// MaxCells of a row have a number of their own; the rest goes into one. Sixty stages of sixteen tenants have room.
	MaxCells = 1024
)

type cells map[stance.CounterKey]stance.RequestCounts

// Sorted lists cells in their order.
func Sorted(of map[stance.CounterKey]stance.RequestCounts) []stance.CounterCell {
	list := make([]stance.CounterCell, 0, len(of))
	for cell, t := range of {
		list = append(list, stance.CounterCell{CounterKey: cell, RequestCounts: t})
	}
	slices.SortFunc(list, func(a, b stance.CounterCell) int { return a.CounterKey.Compare(b.CounterKey) })
	return list
}

// without is what is left of cells when others, none of them larger, are taken away.
func (c cells) without(o cells) cells {
	left := cells{}
	for cell, t := range c {
		if t = t.Sub(o[cell]); t != (stance.RequestCounts{}) {
			left[cell] = t
		}
	}
	return left
}

// Teller is a server's part in telling what it counted.
type Teller struct {
	name    string
	life    uint64
	keepers []string
	need    int // most of them

	all    cells // counted since the life began
	before cells // of it, in rows of this life that are over
	rows   uint64
	number uint64           // under which the row was told last
	now    cells            // the row as it is under that number
	last   cells            // and under the one before, which most keepers had
	has    map[string]Heard // what each keeper said last
	sits   Sits
	news   bool // there is something to be told under the next number
	next   float64
	again  float64
	pause  float64

	Unplaced uint64 // tasks, at most, of rows that were closed under a number that most keepers had forgotten
}

// NewTeller begins the first row of a life.
func NewTeller(name string, life uint64, keepers []string, now float64) *Teller {
	return &Teller{name: name, life: life, keepers: keepers, need: len(keepers)/2 + 1, all: cells{}, before: cells{}, now: cells{}, last: cells{}, has: map[string]Heard{}, sits: make(Sits, len(keepers)), next: now}
}

// row is the number of the present row: lives are drawn, so rows of two are never the same.
func (t *Teller) row() uint64 { return t.life + t.rows }

// Add counts tasks.
func (t *Teller) Add(list []stance.CounterCell) {
	for _, n := range list {
		cell := n.CounterKey
		if _, known := t.all[cell]; !known && len(t.all) >= MaxCells {
			cell = stance.CounterKey{}
		}
		t.all[cell] = t.all[cell].Add(n.RequestCounts)
		t.news = true
	}
}

// agreed tells whether most keepers have the row as it was told last.
func (t *Teller) agreed() bool {
	n := 0
	for _, k := range t.keepers {
		if t.hasIt(k) {
			n++
		}
	}
	return t.number == 0 || n >= t.need
}

// hasIt tells whether a keeper said that it has the row, and knew the keepers as they are known now.
func (t *Teller) hasIt(k string) bool {
	h, said := t.has[k]
	return said && h.Number >= t.number && slices.Equal(h.Sits, t.sits)
}

// Due tells the keepers what is due.
func (t *Teller) Due(now float64) (list []Letter) {
	switch {
	case t.agreed() && now >= t.tellAt():
		t.news, t.next = false, now+tellEvery
		t.last, t.now = t.now, t.all.without(t.before)
		t.number++
		t.pause = tellAgain
	case t.number > 0 && now >= t.again:
		t.pause = min(2*t.pause, maxAgain)
	default:
		return nil
	}
	t.again = now + t.pause
	for _, k := range t.keepers {
		if !t.hasIt(k) {
			list = append(list, Letter{To: k, Told: t.tell(t.has[k].Number)})
		}
	}
	return list
}

// tellAt is when the next number is due, as long as most keepers have the last.
func (t *Teller) tellAt() float64 {
	switch {
	case t.news:
		return t.next
	case t.number > 0:
		return t.next + idleEvery - tellEvery
	}
	return 1e18 // nothing was counted
}

// tell is the row for a keeper that has it under another number.
func (t *Teller) tell(has uint64) *Told {
	told := &Told{Name: t.name, Life: t.life, Row: t.row(), Number: t.number, Sits: slices.Clone(t.sits)}
	of := t.now
	if has > 0 && has >= t.number-1 {
		told.Base, of = t.number-1, cells{}
		for cell, n := range t.now {
			if n != t.last[cell] {
				of[cell] = n
			}
		}
	}
	told.Cells = Sorted(of)
	return told
}

// Read takes a keeper's answer. A row that was closed while its server lived goes on as another: what it counted beyond the number it was closed under.
func (t *Teller) Read(now float64, from string, h *Heard) {
	if h.Row != t.row() || h.Number > t.number || !slices.Contains(t.keepers, from) {
		return
	}
	if !h.Over {
		t.sits.hear(h.Sits)
		t.has[from] = *h
		return
	}
	counted := t.now
	if h.Number < t.number {
		counted = t.last
	}
	if h.Number+1 < t.number { // most keepers had the one after, and lost it
		for cell := range t.last {
			t.Unplaced += t.last[cell].Received
		}
	}
	for cell, n := range counted {
		t.before[cell] = t.before[cell].Add(n)
	}
	t.rows++
	t.number, t.now, t.last, t.news, t.next = 0, cells{}, cells{}, true, now
	clear(t.has)
}

// Next is when Due is to be called.
func (t *Teller) Next() float64 {
	next := 1e18
	if t.agreed() {
		next = t.tellAt()
	}
	if t.number > 0 && slices.ContainsFunc(t.keepers, func(k string) bool { return !t.hasIt(k) }) {
		next = min(next, t.again)
	}
	return next
}

// Row is what the present row has, what of it most keepers are known to have, and whether that is all.
func (t *Teller) Row() (list []stance.CounterCell, agreed bool) {
	return Sorted(t.all.without(t.before)), t.agreed() && !t.news
}
