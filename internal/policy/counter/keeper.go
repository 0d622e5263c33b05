package counter

import (
	"maps"
	"math"
	"slices"

	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/timewindow"
)

// RowQuery is one keeper's question to another: what it has of some rows that are to be closed, or, from one that knows nothing yet, of all.
type RowQuery struct {
	Number      uint64
	Rows        []RowAck // with what the asker has of each
	All         bool     // in place of them all rows after one
	After       uint64
	Aggregators Incarnations
}

// RowQueryReply answers: whatever is newer than what the asker has.
type RowQueryReply struct {
	Number      uint64
	Recovering  bool // who answers does not know all yet itself: what it lacks means nothing
	Rows        []RowReport
	More        bool // there are more rows, after the last one
	Aggregators Incarnations
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
	RowReport
	cells  cells
	since  float64 // when this keeper heard of it first
	heard  float64 // when its server told of it
	grew   float64 // and of a higher number
	rate   float64 // tasks a second that it told of lately; below 0 where nothing is known of it yet
	passed bool    // it came by another keeper only
	// A row that closes may have been added up already: no higher number than Stands is ever said to be there, so that its server does not go on to
	// another. Whoever leads sees to it that it is added up.
}

// Aggregator is a voter's part: it holds the rows of all who are there.
type Aggregator struct {
	names  []string
	me     int
	sits   Incarnations
	need   int // keepers, itself among them, that are most
	over   func(row uint64) (number uint64, over bool)
	rows   map[uint64]*kept
	window *timewindow.Buckets[cells]
	began  float64
	asks   uint64 // number of the last question
	asked  float64

	recovering bool
	after      map[string]uint64 // how far each other has told all
	done       map[string]bool   // those who have: true for those who know all themselves

	closing []uint64     // rows that are to be closed
	under   Incarnations // as they were known when others were asked
	sure    map[string]bool
	closed  float64

	refused int // words that can't be true
	holes   int // times that it took itself for one that knows all without having heard enough others
}

// NewAggregator makes a keeper that knows nothing. Its sit is higher than those of its lives before, as far as clocks tell. Over tells what is closed.
func NewAggregator(name string, keepers []string, sit uint64, over func(uint64) (uint64, bool), now float64) *Aggregator {
	k := &Aggregator{names: slices.Sorted(slices.Values(keepers)), need: len(keepers)/2 + 1, over: over, rows: map[uint64]*kept{}, window: timewindow.New[cells](windowMany, windowWide, now)}
	k.me, k.sits = slices.Index(k.names, name), make(Incarnations, len(keepers))
	k.sits[k.me], k.asks = sit, sit // and no answer to a life before is one to this
	k.forget(now)
	return k
}

// forget has it learn anew what there is.
func (k *Aggregator) forget(now float64) {
	k.recovering, k.began, k.asked = len(k.names) > 1, now, math.Inf(-1)
	k.after, k.done, k.sure, k.closing = map[string]uint64{}, map[string]bool{}, map[string]bool{}, nil
}

// hear takes over later lives of keepers. Where somebody knows a later one of its own, it is one that began with a clock behind, and begins anew above that.
func (k *Aggregator) hear(now float64, told Incarnations) {
	mine := k.sits[k.me]
	k.sits.merge(told)
	if late := k.sits[k.me]; late != mine {
		k.sits[k.me] = late + 1
		k.forget(now)
	}
}

// Recovering tells whether it may lack rows that most keepers had.
func (k *Aggregator) Recovering() bool { return k.recovering }

// IncompleteRecoveries counts how often it took itself for one that knows all without having heard enough others.
func (k *Aggregator) IncompleteRecoveries() int { return k.holes }

// HandleReport takes a server's word.
func (k *Aggregator) HandleReport(now float64, t *RowReport) RowAck {
	k.hear(now, t.Aggregators)
	h := RowAck{RowID: t.RowID, Aggregators: slices.Clone(k.sits)}
	if h.Sequence, h.Closed = k.over(t.RowID); h.Closed {
		delete(k.rows, t.RowID)
		return h
	}
	r := k.rows[t.RowID]
	if r == nil || !r.Closing {
		r = k.take(now, t)
	}
	if r == nil {
		return h
	}
	r.heard, r.passed = now, false
	switch {
	case k.recovering: // what closes may not be known here yet
	case r.Closing:
		h.Sequence = r.FrozenSequence
	default:
		h.Sequence = r.Sequence
	}
	return h
}

// take merges a row: of two the one with the higher number is the later.
func (k *Aggregator) take(now float64, t *RowReport) *kept {
	r := k.rows[t.RowID]
	if r == nil {
		if t.BaseSequence != 0 || t.Sequence == 0 || t.Server == "" || len(k.rows) >= maxRows || len(t.Cells) > maxCells+1 {
			return nil
		}
		r = k.open(now, t.RowID)
	}
	if t.Sequence <= r.Sequence || t.BaseSequence > r.Sequence || r.Sequence > 0 && (t.Server != r.Server || t.Incarnation != r.Incarnation) {
		return r
	}
	r.Server, r.Incarnation = t.Server, t.Incarnation
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
	first := r.Sequence == 0
	if t.BaseSequence == 0 && held < len(r.cells) || len(r.cells)+len(more)-held > maxCells+1 || !first && float64(sum) > burst+maxRate*max(0, now-r.grew) {
		k.refused++
		return r
	}
	// What was counted before this keeper knew of the row is not of the window, but for a row that has just begun.
	bucket := k.window.Current(now)
	if *bucket == nil {
		*bucket = cells{}
	}
	for cell, n := range more {
		r.cells[cell] = r.cells[cell].Add(n)
		if !first || t.Sequence == 1 {
			(*bucket)[cell] = (*bucket)[cell].Add(n)
		}
	}
	if !first || t.Sequence == 1 {
		r.rate = float64(sum) / max(now-r.grew, tellEvery)
	}
	r.Sequence, r.grew = t.Sequence, now
	return r
}

// open begins to keep a row of which nothing is known.
func (k *Aggregator) open(now float64, row uint64) *kept {
	r := &kept{RowReport: RowReport{RowID: row}, cells: cells{}, since: now, heard: now, grew: now, rate: -1, passed: true}
	k.rows[row] = r
	return r
}

// close has a row stand as it is, also one of which nothing is known here.
func (k *Aggregator) close(now float64, row uint64) {
	r := k.rows[row]
	if r == nil {
		r = k.open(now, row)
	}
	if !r.Closing {
		r.Closing, r.FrozenSequence = true, r.Sequence
	}
}

// HandleQuery answers another keeper.
func (k *Aggregator) HandleQuery(now float64, q *RowQuery) *RowQueryReply {
	k.hear(now, q.Aggregators)
	s := &RowQueryReply{Number: q.Number, Recovering: k.recovering, Aggregators: slices.Clone(k.sits)}
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
		if _, over := k.over(h.RowID); over || k.recovering || len(k.rows) >= maxRows {
			s.Recovering = s.Recovering || !over
			continue
		}
		k.close(now, h.RowID)
		if r := k.rows[h.RowID]; r.Sequence > h.Sequence && !put(r) {
			s.Recovering = true // it is not all: another time
			break
		}
	}
	return s
}

// HandleQueryReply takes another keeper's answer. It tells the rows that are to be closed now, none as long as too few have answered.
func (k *Aggregator) HandleQueryReply(now float64, from string, s *RowQueryReply) []RowReport {
	k.hear(now, s.Aggregators)
	if s.Number != k.asks || !slices.Contains(k.names, from) {
		return nil
	}
	for i := range s.Rows {
		if _, over := k.over(s.Rows[i].RowID); !over {
			k.pass(now, &s.Rows[i])
		}
	}
	if k.recovering {
		k.learn(from, s)
		return nil
	}
	if s.Recovering || k.closing == nil || !slices.Equal(k.sits, k.under) || !slices.Equal(k.sits, s.Aggregators) {
		return nil
	}
	if k.sure[from] = true; 1+len(k.sure) < k.need {
		return nil
	}
	return k.ripe()
}

// pass takes a row that another keeper has, and how it stands there.
func (k *Aggregator) pass(now float64, t *RowReport) {
	r := k.rows[t.RowID]
	if t.Sequence > 0 {
		r = k.take(now, t)
	} else if r == nil && t.Closing && len(k.rows) < maxRows {
		r = k.open(now, t.RowID)
	}
	if r == nil || !t.Closing {
		return
	}
	if !r.Closing || t.FrozenSequence < r.FrozenSequence {
		r.Closing, r.FrozenSequence = true, t.FrozenSequence
	}
}

// told is the row as it is passed on.
func (r *kept) told() RowReport {
	t := r.RowReport
	t.Cells = sortedCells(r.cells)
	return t
}

// learn notes how far another has told all it has.
func (k *Aggregator) learn(from string, s *RowQueryReply) {
	if s.More {
		k.after[from] = s.Rows[len(s.Rows)-1].RowID
		return
	}
	k.done[from] = !s.Recovering
	knowing := 0
	for _, knows := range k.done {
		if knows {
			knowing++
		}
	}
	// Each row that most keepers had is at one at least of these; where all others have told what they have there is no more.
	switch {
	case knowing >= len(k.names)-k.need+1:
		k.recovering = false
	case len(k.done) == len(k.names)-1: // as at a fleet's first start
		k.recovering = false
		k.holes++
	}
}

// ripe are the rows to be closed, as they are known now.
func (k *Aggregator) ripe() (list []RowReport) {
	for _, row := range k.closing {
		if r := k.rows[row]; r != nil {
			list = append(list, r.told())
		}
	}
	k.closing = nil
	return list
}

// Maintain does what is due: a cold one asks the others, one that leads looks for rows whose servers are gone. Gone tells whether a name belongs to another
// life by now, or to none. It tells rows that are to be closed, as Said does.
func (k *Aggregator) Maintain(now float64, leads bool, gone func(name string, life uint64) bool) (letters []Envelope, ripe []RowReport) {
	if k.recovering {
		if now >= k.began+learnFor {
			k.recovering = false
			k.holes++
			return nil, nil
		}
		if now >= k.asked+learnEvery {
			k.asked = now
			k.asks++
			for i, to := range k.names {
				if i != k.me && !k.done[to] {
					letters = append(letters, Envelope{To: to, Query: &RowQuery{Number: k.asks, All: true, After: k.after[to], Aggregators: slices.Clone(k.sits)}})
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
	q, many := &RowQuery{Number: k.asks + 1}, 0
	for _, row := range slices.Sorted(maps.Keys(k.rows)) {
		r := k.rows[row]
		old := now >= r.since+max(renewLeast, renewEach*float64(len(k.rows))) && slices.Contains(k.names, r.Server)
		if r.Closing || old || (r.passed || now >= r.heard+quiet) && gone(r.Server, r.Incarnation) {
			if many += len(r.cells); len(q.Rows) >= maxClosed || many > maxClosedCells && len(q.Rows) > 0 {
				break
			}
			k.close(now, row)
			k.closing = append(k.closing, row)
			q.Rows = append(q.Rows, RowAck{RowID: row, Sequence: r.Sequence})
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
	q.Aggregators = k.under
	for i, to := range k.names {
		if i != k.me {
			letters = append(letters, Envelope{To: to, Query: q})
		}
	}
	return letters, nil
}

// NextWakeup is when Due is to be called.
func (k *Aggregator) NextWakeup() float64 {
	if k.recovering {
		return min(k.asked+learnEvery, k.began+learnFor)
	}
	return k.closed + closeEvery
}

// LateReport is a server of which nothing was heard lately.
type LateReport struct {
	Server            string  `json:"Name"`
	SilentSeconds     float64 `json:"Silent"` // seconds
	RequestsPerSecond float64 `json:"Rate"`   // tasks a second that it told of before
}

// Summary is what a keeper knows. Everything in it was counted, so what is true is no less; what it may lack is told.
type Summary struct {
	Total                []serving.CounterCell // since the fleet's founding
	LastMinute           []serving.CounterCell `json:"Minute"`  // told in the last minute
	OpenRows             int                   `json:"Rows"`    // lives that told, and are not closed
	LateReports          []LateReport          `json:"Late"`    // those heard of for the last time some seconds ago, the longest silent first
	MaxMissing           float64               `json:"Lacks"`   // tasks that those, and those between two words, may have had asked of them since, at their rates
	Recovering           bool                  `json:"Cold"`    // it does not know all that others know yet
	IncompleteRecoveries int                   `json:"Holes"`   // times that this keeper began without enough others that knew all; once at the fleet's first start
	RejectedReports      int                   `json:"Refused"` // words that can't be true
}

// maxLate names are told.
const maxLate = 64

// Summary adds up; sums are those of rows that are over.
func (k *Aggregator) Summary(now float64, sums []serving.CounterCell) *Summary {
	total, minute := cells{}, cells{}
	for _, n := range sums {
		total[n.CounterKey] = n.RequestCounts
	}
	rated, known, unrated := 0.0, 0.0, 0.0
	rep := &Summary{OpenRows: len(k.rows), Recovering: k.recovering, IncompleteRecoveries: k.holes, RejectedReports: k.refused}
	for _, row := range slices.Sorted(maps.Keys(k.rows)) {
		r := k.rows[row]
		if _, over := k.over(row); over {
			rep.OpenRows--
			continue // it is among the sums
		}
		for cell, n := range r.cells {
			total[cell] = total[cell].Add(n)
		}
		if r.rate >= 0 {
			rated, known = rated+r.rate, known+1
			rep.MaxMissing += r.rate * max(0, now-r.grew)
		} else {
			unrated += max(0, now-r.grew)
		}
		if now > r.grew+lateAfter {
			rep.LateReports = append(rep.LateReports, LateReport{Server: r.Server, SilentSeconds: now - r.grew, RequestsPerSecond: max(0, r.rate)})
		}
	}
	rep.MaxMissing += unrated * rated / max(1, known) // those of whom nothing is known are taken for such as the others
	slices.SortStableFunc(rep.LateReports, func(a, b LateReport) int {
		if a.SilentSeconds > b.SilentSeconds {
			return -1
		}
		return 1
	})
	rep.LateReports = rep.LateReports[:min(len(rep.LateReports), maxLate)]
	k.window.ForEach(now, func(c *cells) {
		for cell, n := range *c {
			minute[cell] = minute[cell].Add(n)
		}
	})
	rep.Total, rep.LastMinute = sortedCells(total), sortedCells(minute)
	return rep
}
