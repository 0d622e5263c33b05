// Package counter adds up what all servers of a fleet counted, free of I/O, clock and chance: how many tasks of each tenant and stage were asked for,
// and how they ended. Each task counts once, whatever messages are lost, late or doubled, and whoever dies; docs/shared.md has the argument.
//
// A server's counts since its start are a row, which only grows. It tells its row to a few keepers, the fleet's voters, under numbers that grow by one,
// and takes the next number only once most keepers have the last: so a row that is over ended as one of two states that its server knows, should it
// still live. A row whose server is gone is closed: added to the sums that the voters' order keeps, once, under the highest number that most keepers
// know of; each of those takes no more of it from then on. So what is kept is bounded by those who are there, though names come and go for ever.
package counter

import (
	"slices"

	"swiftcourse/internal/policy/serving"
)

// RowReport is a server's word on a row, or a keeper's who passes it on.
type RowReport struct {
	Server         string // of the server
	Incarnation    uint64 // of it
	RowID          uint64
	Sequence       uint64 // from 1 on
	BaseSequence   uint64 // the number after which Cells has all that changed; 0 where it has all there is
	Closing        bool   // from a keeper: the row is to be closed, and Stands is the highest number that was ever said to be there
	FrozenSequence uint64
	Aggregators    Incarnations          // of the keepers, as who tells knows them
	Cells          []serving.CounterCell // as they stand in the row, in order
}

// RowAck is a keeper's answer.
type RowAck struct {
	RowID       uint64
	Sequence    uint64 // that it has, 0 for nothing
	Closed      bool   // the row was closed under that number
	Aggregators Incarnations
}

// Incarnations are the lives of the keepers, in the order of their names, as one of them knows them: of one keeper's two the higher is the later. Keepers forget
// when they die: what two of them say makes a majority only where both knew the same lives, so that neither speaks for one that is gone.
type Incarnations []uint64

// merge takes over later ones, and tells whether there was one.
func (s Incarnations) merge(o Incarnations) (news bool) {
	for i := range s {
		if len(o) == len(s) && o[i] > s[i] {
			s[i], news = o[i], true
		}
	}
	return news
}

// Envelope goes to the keeper of that name.
type Envelope struct {
	To     string
	Report *RowReport
	Query  *RowQuery
}

const (
	// tellEvery is how often a row's change is told, in seconds: each change costs some hundred bytes to each keeper.
	tellEvery = 2.0
	// tellAgain is after how long it is told again to keepers that did not answer while too few have it, doubled each time up to maxAgain.
	tellAgain, maxAgain = 0.4, 6.0
	// idleEvery is how often it is told that there is nothing new, so that keepers know that they lack nothing.
	idleEvery = 5.0
	// maxCells of a row have a number of their own; the rest goes into one. Sixty stages of sixteen tenants have room.
	maxCells = 1024
)

type cells map[serving.CounterKey]serving.RequestCounts

// sortedCells lists cells in their order.
func sortedCells(of map[serving.CounterKey]serving.RequestCounts) []serving.CounterCell {
	list := make([]serving.CounterCell, 0, len(of))
	for cell, t := range of {
		list = append(list, serving.CounterCell{CounterKey: cell, RequestCounts: t})
	}
	slices.SortFunc(list, func(a, b serving.CounterCell) int { return a.CounterKey.Compare(b.CounterKey) })
	return list
}

// without is what is left of cells when others, none of them larger, are taken away.
func (c cells) without(o cells) cells {
	left := cells{}
	for cell, t := range c {
		if t = t.Sub(o[cell]); t != (serving.RequestCounts{}) {
			left[cell] = t
		}
	}
	return left
}

// Reporter is a server's part in telling what it counted.
type Reporter struct {
	name    string
	life    uint64
	keepers []string
	need    int // most of them

	all    cells // counted since the life began
	before cells // of it, in rows of this life that are over
	rows   uint64
	number uint64            // under which the row was told last
	now    cells             // the row as it is under that number
	last   cells             // and under the one before, which most keepers had
	has    map[string]RowAck // what each keeper said last
	sits   Incarnations
	news   bool // there is something to be told under the next number
	next   float64
	again  float64
	pause  float64

	Unaccounted uint64 // tasks, at most, of rows that were closed under a number that most keepers had forgotten
}

// NewReporter begins the first row of a life.
func NewReporter(name string, life uint64, keepers []string, now float64) *Reporter {
	return &Reporter{name: name, life: life, keepers: keepers, need: len(keepers)/2 + 1, all: cells{}, before: cells{}, now: cells{}, last: cells{}, has: map[string]RowAck{}, sits: make(Incarnations, len(keepers)), next: now}
}

// row is the number of the present row: lives are drawn, so rows of two are never the same.
func (t *Reporter) row() uint64 { return t.life + t.rows }

// Add counts tasks.
func (t *Reporter) Add(list []serving.CounterCell) {
	for _, n := range list {
		cell := n.CounterKey
		if _, known := t.all[cell]; !known && len(t.all) >= maxCells {
			cell = serving.CounterKey{}
		}
		t.all[cell] = t.all[cell].Add(n.RequestCounts)
		t.news = true
	}
}

// agreed tells whether most keepers have the row as it was told last.
func (t *Reporter) agreed() bool {
	n := 0
	for _, k := range t.keepers {
		if t.hasIt(k) {
			n++
		}
	}
	return t.number == 0 || n >= t.need
}

// hasIt tells whether a keeper said that it has the row, and knew the keepers as they are known now.
func (t *Reporter) hasIt(k string) bool {
	h, said := t.has[k]
	return said && h.Sequence >= t.number && slices.Equal(h.Aggregators, t.sits)
}

// DueReports tells the keepers what is due.
func (t *Reporter) DueReports(now float64) (list []Envelope) {
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
			list = append(list, Envelope{To: k, Report: t.tell(t.has[k].Sequence)})
		}
	}
	return list
}

// tellAt is when the next number is due, as long as most keepers have the last.
func (t *Reporter) tellAt() float64 {
	switch {
	case t.news:
		return t.next
	case t.number > 0:
		return t.next + idleEvery - tellEvery
	}
	return 1e18 // nothing was counted
}

// tell is the row for a keeper that has it under another number.
func (t *Reporter) tell(has uint64) *RowReport {
	told := &RowReport{Server: t.name, Incarnation: t.life, RowID: t.row(), Sequence: t.number, Aggregators: slices.Clone(t.sits)}
	of := t.now
	if has > 0 && has >= t.number-1 {
		told.BaseSequence, of = t.number-1, cells{}
		for cell, n := range t.now {
			if n != t.last[cell] {
				of[cell] = n
			}
		}
	}
	told.Cells = sortedCells(of)
	return told
}

// HandleAck takes a keeper's answer. A row that was closed while its server lived goes on as another: what it counted beyond the number it was closed under.
func (t *Reporter) HandleAck(now float64, from string, h *RowAck) {
	if h.RowID != t.row() || h.Sequence > t.number || !slices.Contains(t.keepers, from) {
		return
	}
	if !h.Closed {
		t.sits.merge(h.Aggregators)
		t.has[from] = *h
		return
	}
	counted := t.now
	if h.Sequence < t.number {
		counted = t.last
	}
	if h.Sequence+1 < t.number { // most keepers had the one after, and lost it
		for cell := range t.last {
			t.Unaccounted += t.last[cell].Received
		}
	}
	for cell, n := range counted {
		t.before[cell] = t.before[cell].Add(n)
	}
	t.rows++
	t.number, t.now, t.last, t.news, t.next = 0, cells{}, cells{}, true, now
	clear(t.has)
}

// NextWakeup is when Due is to be called.
func (t *Reporter) NextWakeup() float64 {
	next := 1e18
	if t.agreed() {
		next = t.tellAt()
	}
	if t.number > 0 && slices.ContainsFunc(t.keepers, func(k string) bool { return !t.hasIt(k) }) {
		next = min(next, t.again)
	}
	return next
}

// CurrentRow is what the present row has, what of it most keepers are known to have, and whether that is all.
func (t *Reporter) CurrentRow() (list []serving.CounterCell, agreed bool) {
	return sortedCells(t.all.without(t.before)), t.agreed() && !t.news
}
