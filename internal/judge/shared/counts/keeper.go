package counts

import (
	"maps"
	"math"
	"slices"

	"swiftcourse/internal/judge/stance"
	"swiftcourse/internal/ring"
)

// Ask is one keeper's question to another: what it has of some rows that are to be closed, or, from one that knows nothing yet, of all.
type Ask struct {
	Number uint64
	Rows   []Heard // with what the asker has of each
	All    bool    // in place of them all rows after one
	After  uint64
	Sits   Sits
}

// Said answers: whatever is newer than what the asker has.
type Said struct {
	Number uint64
	Cold   bool // who answers does not know all yet itself: what it lacks means nothing
	Rows   []Told
	More   bool // there are more rows, after the last one
	Sits   Sits
}

const (
	// maxRows bounds the rows of a keeper: those of the largest fleet, and as many lives that are over. What is told beyond that is not taken.
	maxRows = 8192
	// quiet is after how long in seconds a row that nobody tells may be closed, some times as long as a living server takes to tell again.
	quiet = 10.0
	// closeEvery is how often those are looked for, and maxClosed how many rows, and cells of them, are closed in one go.
	closeEvery, maxClosed, maxClosedCells = 1.0, 32, 2048
	// Keepers' own rows are closed now and then, as all keepers may die at once: the voters' order, which all others have copies of, outlives them. It
	// grows with each, and is copied; renewEach is for how long in seconds for each row, so that a larger fleet has no more to copy, and a minute at least.
	renewEach, renewLeast = 0.6, 60.0
	// learnEvery is how often a keeper that knows nothing yet asks the others, learnFor how long before it counts as one that knows what there is:
	// after that what was only known to keepers that are gone is lost, which Holes tells.
	learnEvery, learnFor = 0.25, 30.0
	// maxSlice cells go in one answer: some tens of kilobytes.
	maxSlice = 1024
	// maxRate is what a server may count in a second, and burst what it may have saved up: more is nonsense.
	maxRate, burst = 1e6, 1e7
	// windowWide and windowMany make the window of a minute.
	windowWide, windowMany = 5.0, 12
	// lateAfter is for how long a server may tell nothing new before reads name it.
	lateAfter = 2 * idleEvery
)

// kept is a row.
type kept struct {
	Told
	cells  cells
	since  float64 // when this keeper heard of it first
	heard  float64 // when its server told of it
	grew   float64 // and of a higher number
	rate   float64 // tasks a second that it told of lately; below 0 where nothing is known of it yet
	passed bool    // it came by another keeper only
	// A row that closes may have been added up already: no higher number than Stands is ever said to be there, so that its server does not go on to
	// another. Whoever leads sees to it that it is added up.
}

// Keeper is a voter's part: it holds the rows of all who are there.
type Keeper struct {
	names  []string
	me     int
	sits   Sits
	need   int // keepers, itself among them, that are most
	over   func(row uint64) (number uint64, over bool)
	rows   map[uint64]*kept
	window *ring.Ring[cells]
	began  float64
	asks   uint64 // number of the last question
	asked  float64

	cold  bool
	after map[string]uint64 // how far each other has told all
	done  map[string]bool   // those who have: true for those who know all themselves

	closing []uint64 // rows that are to be closed
	under   Sits     // as they were known when others were asked
	sure    map[string]bool
	closed  float64

	refused int // words that can't be true
	holes   int // times that it took itself for one that knows all without having heard enough others
}

// NewKeeper makes a keeper that knows nothing. Its sit is higher than those of its lives before, as far as clocks tell. Over tells what is closed.
func NewKeeper(name string, keepers []string, sit uint64, over func(uint64) (uint64, bool), now float64) *Keeper {
	k := &Keeper{names: slices.Sorted(slices.Values(keepers)), need: len(keepers)/2 + 1, over: over, rows: map[uint64]*kept{}, window: ring.New[cells](windowMany, windowWide, now)}
	k.me, k.sits = slices.Index(k.names, name), make(Sits, len(keepers))
	k.sits[k.me], k.asks = sit, sit // and no answer to a life before is one to this
	k.forget(now)
	return k
}

// forget has it learn anew what there is.
func (k *Keeper) forget(now float64) {
	k.cold, k.began, k.asked = len(k.names) > 1, now, math.Inf(-1)
	k.after, k.done, k.sure, k.closing = map[string]uint64{}, map[string]bool{}, map[string]bool{}, nil
}

// hear takes over later lives of keepers. Where somebody knows a later one of its own, it is one that began with a clock behind, and begins anew above that.
func (k *Keeper) hear(now float64, told Sits) {
	mine := k.sits[k.me]
	k.sits.hear(told)
	if late := k.sits[k.me]; late != mine {
		k.sits[k.me] = late + 1
		k.forget(now)
	}
}

// Cold tells whether it may lack rows that most keepers had.
func (k *Keeper) Cold() bool { return k.cold }

// Holes counts how often it took itself for one that knows all without having heard enough others.
func (k *Keeper) Holes() int { return k.holes }

// Read takes a server's word.
func (k *Keeper) Read(now float64, t *Told) Heard {
	k.hear(now, t.Sits)
	h := Heard{Row: t.Row, Sits: slices.Clone(k.sits)}
	if h.Number, h.Over = k.over(t.Row); h.Over {
		delete(k.rows, t.Row)
		return h
	}
	r := k.rows[t.Row]
	if r == nil || !r.Closes {
		r = k.take(now, t)
	}
	if r == nil {
		return h
	}
	r.heard, r.passed = now, false
	switch {
	case k.cold: // what closes may not be known here yet
	case r.Closes:
		h.Number = r.Stands
	default:
		h.Number = r.Number
	}
	return h
}

// take merges a row: of two the one with the higher number is the later.
func (k *Keeper) take(now float64, t *Told) *kept {
	r := k.rows[t.Row]
	if r == nil {
		if t.Base != 0 || t.Number == 0 || t.Name == "" || len(k.rows) >= maxRows || len(t.Cells) > MaxCells+1 {
			return nil
		}
		r = k.open(now, t.Row)
	}
	if t.Number <= r.Number || t.Base > r.Number || r.Number > 0 && (t.Name != r.Name || t.Life != r.Life) {
		return r
	}
	r.Name, r.Life = t.Name, t.Life
	// Whoever has all that is told has it in order and once; a row only grows, and not by more than a server can do.
	more, held := cells{}, 0
	var sum uint64
	for _, n := range t.Cells {
		was, known := r.cells[n.CounterKey]
		if known {
			held++
		}
		if _, twice := more[n.CounterKey]; twice || !n.RequestCounts.Covers(was) {
			k.refused++
			return r
		}
		more[n.CounterKey] = n.RequestCounts.Sub(was)
		sum += more[n.CounterKey].Received
	}
	first := r.Number == 0
	if t.Base == 0 && held < len(r.cells) || len(r.cells)+len(more)-held > MaxCells+1 || !first && float64(sum) > burst+maxRate*max(0, now-r.grew) {
		k.refused++
		return r
	}
	// What was counted before this keeper knew of the row is not of the window, but for a row that has just begun.
	bucket := k.window.At(now)
	if *bucket == nil {
		*bucket = cells{}
	}
	for cell, n := range more {
		r.cells[cell] = r.cells[cell].Add(n)
		if !first || t.Number == 1 {
			(*bucket)[cell] = (*bucket)[cell].Add(n)
		}
	}
	if !first || t.Number == 1 {
		r.rate = float64(sum) / max(now-r.grew, tellEvery)
	}
	r.Number, r.grew = t.Number, now
	return r
}

// open begins to keep a row of which nothing is known.
func (k *Keeper) open(now float64, row uint64) *kept {
	r := &kept{Told: Told{Row: row}, cells: cells{}, since: now, heard: now, grew: now, rate: -1, passed: true}
	k.rows[row] = r
	return r
}

// close has a row stand as it is, also one of which nothing is known here.
func (k *Keeper) close(now float64, row uint64) {
	r := k.rows[row]
	if r == nil {
		r = k.open(now, row)
	}
	if !r.Closes {
		r.Closes, r.Stands = true, r.Number
	}
}

// Asked answers another keeper.
func (k *Keeper) Asked(now float64, q *Ask) *Said {
	k.hear(now, q.Sits)
	s := &Said{Number: q.Number, Cold: k.cold, Sits: slices.Clone(k.sits)}
	left := maxSlice
	put := func(r *kept) bool {
		if left -= 1 + len(r.cells); left < 0 && len(s.Rows) > 0 {
			s.More = true
			return false
		}
		s.Rows = append(s.Rows, r.told())
		return true
	}
	if q.All {
		for _, row := range slices.Sorted(maps.Keys(k.rows)) {
			if row > q.After && !put(k.rows[row]) {
				break
			}
		}
		return s
	}
	for _, h := range q.Rows {
		if _, over := k.over(h.Row); over || k.cold || len(k.rows) >= maxRows {
			s.Cold = s.Cold || !over
			continue
		}
		k.close(now, h.Row)
		if r := k.rows[h.Row]; r.Number > h.Number && !put(r) {
			s.Cold = true // it is not all: another time
			break
		}
	}
	return s
}

// Said takes another keeper's answer. It tells the rows that are to be closed now, none as long as too few have answered.
func (k *Keeper) Said(now float64, from string, s *Said) []Told {
	k.hear(now, s.Sits)
	if s.Number != k.asks || !slices.Contains(k.names, from) {
		return nil
	}
	for i := range s.Rows {
		if _, over := k.over(s.Rows[i].Row); !over {
			k.pass(now, &s.Rows[i])
		}
	}
	if k.cold {
		k.learn(from, s)
		return nil
	}
	if s.Cold || k.closing == nil || !slices.Equal(k.sits, k.under) || !slices.Equal(k.sits, s.Sits) {
		return nil
	}
	if k.sure[from] = true; 1+len(k.sure) < k.need {
		return nil
	}
	return k.ripe()
}

// pass takes a row that another keeper has, and how it stands there.
func (k *Keeper) pass(now float64, t *Told) {
	r := k.rows[t.Row]
	if t.Number > 0 {
		r = k.take(now, t)
	} else if r == nil && t.Closes && len(k.rows) < maxRows {
		r = k.open(now, t.Row)
	}
	if r == nil || !t.Closes {
		return
	}
	if !r.Closes || t.Stands < r.Stands {
		r.Closes, r.Stands = true, t.Stands
	}
}

// told is the row as it is passed on.
func (r *kept) told() Told {
	t := r.Told
	t.Cells = Sorted(r.cells)
	return t
}

// learn notes how far another has told all it has.
func (k *Keeper) learn(from string, s *Said) {
	if s.More {
		k.after[from] = s.Rows[len(s.Rows)-1].Row
		return
	}
	k.done[from] = !s.Cold
	knowing := 0
	for _, knows := range k.done {
		if knows {
			knowing++
		}
	}
	// Each row that most keepers had is at one at least of these; where all others have told what they have there is no more.
	switch {
	case knowing >= len(k.names)-k.need+1:
		k.cold = false
	case len(k.done) == len(k.names)-1: // as at a fleet's first start
		k.cold = false
		k.holes++
	}
}

// ripe are the rows to be closed, as they are known now.
func (k *Keeper) ripe() (list []Told) {
	for _, row := range k.closing {
		if r := k.rows[row]; r != nil {
			list = append(list, r.told())
		}
	}
	k.closing = nil
	return list
}

// Due does what is due: a cold one asks the others, one that leads looks for rows whose servers are gone. Gone tells whether a name belongs to another
// life by now, or to none. It tells rows that are to be closed, as Said does.
func (k *Keeper) Due(now float64, leads bool, gone func(name string, life uint64) bool) (letters []Letter, ripe []Told) {
	if k.cold {
		if now >= k.began+learnFor {
			k.cold = false
			k.holes++
			return nil, nil
		}
		if now >= k.asked+learnEvery {
			k.asked = now
			k.asks++
			for i, to := range k.names {
				if i != k.me && !k.done[to] {
					letters = append(letters, Letter{To: to, Ask: &Ask{Number: k.asks, All: true, After: k.after[to], Sits: slices.Clone(k.sits)}})
				}
			}
		}
		return letters, nil
	}
	if now < k.closed+closeEvery {
		return nil, nil
	}
	k.closed = now
	maps.DeleteFunc(k.rows, func(row uint64, _ *kept) bool { _, over := k.over(row); return over })
	k.closing = nil
	if !leads {
		return nil, nil
	}
	q, many := &Ask{Number: k.asks + 1}, 0
	for _, row := range slices.Sorted(maps.Keys(k.rows)) {
		r := k.rows[row]
		old := now >= r.since+max(renewLeast, renewEach*float64(len(k.rows))) && slices.Contains(k.names, r.Name)
		if r.Closes || old || (r.passed || now >= r.heard+quiet) && gone(r.Name, r.Life) {
			if many += len(r.cells); len(q.Rows) >= maxClosed || many > maxClosedCells && len(q.Rows) > 0 {
				break
			}
			k.close(now, row)
			k.closing = append(k.closing, row)
			q.Rows = append(q.Rows, Heard{Row: row, Number: r.Number})
		}
	}
	if k.closing == nil {
		return nil, nil
	}
	k.asks++
	clear(k.sure)
	if k.need == 1 {
		return nil, k.ripe()
	}
	k.under = slices.Clone(k.sits)
	q.Sits = k.under
	for i, to := range k.names {
		if i != k.me {
			letters = append(letters, Letter{To: to, Ask: q})
		}
	}
	return letters, nil
}

// Next is when Due is to be called.
func (k *Keeper) Next() float64 {
	if k.cold {
		return min(k.asked+learnEvery, k.began+learnFor)
	}
	return k.closed + closeEvery
}

// Late is a server of which nothing was heard lately.
type Late struct {
	Name   string  `json:"Name"`
	Silent float64 `json:"Silent"` // seconds
	Rate   float64 `json:"Rate"`   // tasks a second that it told of before
}

// Report is what a keeper knows. Everything in it was counted, so what is true is no less; what it may lack is told.
type Report struct {
	Total   []stance.CounterCell // since the fleet's founding
	Minute  []stance.CounterCell `json:"Minute"`  // told in the last minute
	Rows    int                  `json:"Rows"`    // lives that told, and are not closed
	Late    []Late               `json:"Late"`    // those heard of for the last time some seconds ago, the longest silent first
	Lacks   float64              `json:"Lacks"`   // tasks that those, and those between two words, may have had asked of them since, at their rates
	Cold    bool                 `json:"Cold"`    // it does not know all that others know yet
	Holes   int                  `json:"Holes"`   // times that this keeper began without enough others that knew all; once at the fleet's first start
	Refused int                  `json:"Refused"` // words that can't be true
}

// maxLate names are told.
const maxLate = 64

// Report adds up; sums are those of rows that are over.
func (k *Keeper) Report(now float64, sums []stance.CounterCell) *Report {
	total, minute := cells{}, cells{}
	for _, n := range sums {
		total[n.CounterKey] = n.RequestCounts
	}
	rated, known, unrated := 0.0, 0.0, 0.0
	rep := &Report{Rows: len(k.rows), Cold: k.cold, Holes: k.holes, Refused: k.refused}
	for _, row := range slices.Sorted(maps.Keys(k.rows)) {
		r := k.rows[row]
		if _, over := k.over(row); over {
			rep.Rows--
			continue // it is among the sums
		}
		for cell, n := range r.cells {
			total[cell] = total[cell].Add(n)
		}
		if r.rate >= 0 {
			rated, known = rated+r.rate, known+1
			rep.Lacks += r.rate * max(0, now-r.grew)
		} else {
			unrated += max(0, now-r.grew)
		}
		if now > r.grew+lateAfter {
			rep.Late = append(rep.Late, Late{Name: r.Name, Silent: now - r.grew, Rate: max(0, r.rate)})
		}
	}
	rep.Lacks += unrated * rated / max(1, known) // those of whom nothing is known are taken for such as the others
	slices.SortStableFunc(rep.Late, func(a, b Late) int {
		if a.Silent > b.Silent {
			return -1
		}
		return 1
	})
	rep.Late = rep.Late[:min(len(rep.Late), maxLate)]
	k.window.All(now, func(c *cells) {
		for cell, n := range *c {
			minute[cell] = minute[cell].Add(n)
		}
	})
	rep.Total, rep.Minute = Sorted(total), Sorted(minute)
	return rep
}
